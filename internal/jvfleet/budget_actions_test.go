package jvfleet

import (
	"fmt"
	"slices"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// topUp adds tokens to the budget; an id that was drawn before makes it a duplicate.
func (h *history) topUp() {
	id := fmt.Sprint("topup-", h.draw("id", 2))
	h.appendAsOperator(jvrecord.Record{Topup: &jvrecord.Topup{
		ID: id, Profile: historyProfile, Tokens: 40, Expiry: h.now + 1_000_000,
	}})
}

func (h *history) claim(o *holder) {
	need := int64(1 + h.draw("need", 30))
	o.queue = append(o.queue, jvrecord.Record{Claim: &jvrecord.Claim{Profile: historyProfile, Need: need, Want: 2 * need}})
	if h.mutant == mutantEarlyGrant {
		o.session.escrow.RaiseGranted(historyProfile, o.session.escrow.Account(historyProfile).Granted+need, 0)
	}
}

// claimAndCatchUp queues a claim and reads its grant back.
func (h *history) claimAndCatchUp(o *holder) {
	h.claim(o)
	h.catchUp(o)
}

// catchUp appends the records that a holder has pending or queued, and lets it read the log.
func (h *history) catchUp(o *holder) {
	for range 2 {
		h.deliver(o)
		h.readLog(o)
	}
}

// serve reserves for a request, and settles it or leaves the reservation open.
func (h *history) serve(o *holder) {
	h.openTranche(o)
	h.reserve(o)
	if h.draw("ends", 2) > 0 {
		h.settle(o)
	}
}

// reclaim appends the promises of both witnesses of a holder, so that its tokens are reclaimed. The
// holder, whether killed or only paused, does not read this in the log.
func (h *history) reclaim(o *holder) {
	for _, w := range o.witnesses {
		if w.killed || w.left || w.pendingBatch != nil || len(w.queue) > 0 {
			return
		}
	}
	for _, w := range o.witnesses {
		marks := w.witnessed.promise(o.session.origin)
		w.queue = append(w.queue, jvrecord.Record{Promise: &jvrecord.Promise{Holder: o.session.origin, Marks: marks}})
		h.catchUp(w)
	}
}

// loseResponse appends a batch whose response is lost: the holder does not read it back, and may
// append it again later.
func (h *history) loseResponse(o *holder) {
	h.deliver(o)
}

// reserve reserves the worst case of a request.
func (h *history) reserve(o *holder) {
	r, err := o.session.escrow.Reserve(historyProfile, int64(1+h.draw("tokens", 20)))
	if err == nil {
		o.reservations = append(o.reservations, sessionReservation{Reservation: r, session: o.session})
	}
}

// settle settles the oldest reservation, at the worst case if the use is unknown.
func (h *history) settle(o *holder) {
	if len(o.reservations) == 0 {
		return
	}
	r := o.reservations[0]
	o.reservations = o.reservations[1:]
	used := max(0, r.Tokens-int64(h.draw("unused", 4)))
	h.used += used
	switch {
	case h.draw("known", 2) == 1:
		r.settle(used)
	case h.mutant == mutantUnknownZero:
		r.settle(0)
	default:
		r.settle(r.Tokens)
	}
}

// lend lends tokens to another holder; the response with the loan may be lost.
func (h *history) lend(from, to *holder) {
	if from == to {
		return
	}
	s := from.session
	sum := s.lend(to.session.origin, historyProfile, int64(1+h.draw("loan", 20)), to.session.borrowedFrom(s.origin, historyProfile))
	if h.mutant == mutantLendWithoutDebit {
		s.escrow.Borrow(historyProfile, max(0, sum-to.session.borrowedFrom(s.origin, historyProfile)))
	}
	if h.draw("answered", 3) > 0 {
		to.session.borrow(s.origin, historyProfile, sum)
	}
}

func (h *history) returnTokens(o *holder) {
	returned := o.session.escrow.Return(historyProfile, int64(1+h.draw("back", 30)))
	if h.mutant == mutantSpendReturned {
		o.session.escrow.Borrow(historyProfile, returned)
	}
}

// queueReport queues a report, at most one at a time.
func (h *history) queueReport(o *holder) {
	if o.pendingReport != nil || o.pendingBatch != nil {
		return
	}
	o.pendingReport = o.session.report()
	o.queue = append(o.queue, jvrecord.Record{Report: o.pendingReport})
}

// nameWitnesses queues a hello record with two new witnesses and freezes marks until the log has
// it.
func (h *history) nameWitnesses(o *holder) {
	var others []*holder
	for _, w := range h.holders {
		if w != o && !w.killed && !w.left {
			others = append(others, w)
		}
	}
	if o.pendingWitnesses != nil || o.pendingBatch != nil || len(others) < jvledger.WitnessCount {
		return
	}
	at := h.draw("witness", len(others)-1)
	o.pendingWitnesses = []*holder{others[at], others[(at+1)%len(others)]}
	hello := &jvrecord.Hello{VM: o.session.origin, Zone: "a", Marks: o.session.escrow.FreezeMarks()}
	for _, w := range o.pendingWitnesses {
		hello.Witnesses = append(hello.Witnesses, w.session.origin)
	}
	o.queue = append(o.queue, jvrecord.Record{Hello: hello})
}

// openTranche requests the acknowledgement of a higher mark from one witness; the response may come
// after the set of witnesses has changed.
func (h *history) openTranche(o *holder) {
	witnesses := o.witnesses
	if h.mutant == mutantStaleWitness && len(o.formerWitnesses) > 0 {
		witnesses = o.formerWitnesses
	}
	if len(witnesses) == 0 {
		return
	}
	a := o.session.escrow.Account(historyProfile)
	mark, due := jvescrow.ClaimPolicy{TrancheRequests: 8}.NextMark(a, 2)
	if !due {
		return
	}
	epoch := o.session.escrow.Epoch()
	w := witnesses[h.draw("asked", len(witnesses)-1)]
	if h.mutant == mutantNoWitness {
		o.session.escrow.RaiseMark(epoch, historyProfile, mark)
		return
	}
	acknowledged := !w.killed && !w.left && w.witnessed.acknowledge(o.session.origin, map[string]int64{historyProfile: mark})
	if acknowledged || h.mutant == mutantAckAfterPromise {
		o.session.escrow.RaiseMark(epoch, historyProfile, mark)
	}
}

// promise queues a witness's promise for a holder, whether that was killed or is only slow.
func (h *history) promise(w *holder) {
	for _, o := range h.holders {
		origin := h.state.Origins[o.session.origin]
		if origin == nil || origin.Closed || !slices.Contains(origin.Witnesses, w.session.origin) {
			continue
		}
		if w.pendingBatch != nil || h.draw("give up", 2) > 0 {
			continue
		}
		marks := w.witnessed.promise(o.session.origin)
		w.queue = append(w.queue, jvrecord.Record{Promise: &jvrecord.Promise{Holder: o.session.origin, Marks: marks}})
		return
	}
}

// kill ends a holder without a report; its open reservations count as used in full.
func (h *history) kill(o *holder) {
	o.killed = true
	for _, r := range o.reservations {
		h.used += r.Tokens
	}
	o.reservations = nil
	if h.mutant == mutantSameOrigin {
		restarted := &holder{session: newSession(o.session.origin), witnessed: newHolderTable(), lastBatch: o.lastBatch}
		h.holders = append(h.holders, restarted)
		h.readLog(restarted)
	}
}

// leave stops a holder as planned; its open reservations count as used in full.
func (h *history) leave(o *holder) {
	if o.pendingBatch != nil || o.pendingReport != nil || o.pendingWitnesses != nil {
		return
	}
	for _, r := range o.reservations {
		h.used += r.Tokens
	}
	o.reservations = nil
	o.session.escrow.CloseAndSettle()
	o.queue = append(o.queue, jvrecord.Record{Report: o.session.report()}, jvrecord.Record{Leave: &jvrecord.Leave{}})
	h.deliver(o)
	o.left = true
}

// duplicateBatch appends an earlier batch again, as a late retry does.
func (h *history) duplicateBatch() {
	h.appendEntry(h.log[h.draw("old", len(h.log)-1)].Data)
}

// restore replaces the state by one that is restored from its snapshot.
func (h *history) restore() {
	s, err := jvledger.Restore(jvledger.DefaultRules(), h.state.Snapshot())
	require.NoError(h.t, err)
	h.state = s
}
