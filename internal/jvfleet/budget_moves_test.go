package jvfleet

import (
	"fmt"
	"slices"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

func (h *history) topUp() {
	id := fmt.Sprint("topup-", h.draw("id", 2))
	h.operate(jvrecord.Record{Topup: &jvrecord.Topup{
		ID: id, Profile: profileP, Tokens: 40, Expiry: h.time + 1_000_000,
	}})
}

func (h *history) claim(o *holder) {
	need := int64(1 + h.draw("need", 30))
	o.queue = append(o.queue, jvrecord.Record{Claim: &jvrecord.Claim{Profile: profileP, Need: need, Want: 2 * need}})
	if h.fault == mutantEarlyGrant {
		o.session.escrow.RaiseGranted(profileP, o.session.escrow.Account(profileP).Granted+need, 0)
	}
}

// obtain claims and reads the grant back, as with a log that answers.
func (h *history) obtain(o *holder) {
	h.claim(o)
	h.catchUp(o)
}

// catchUp delivers all that a holder has queued and lets it read the log.
func (h *history) catchUp(o *holder) {
	for range 2 {
		h.deliver(o)
		h.sync(o)
	}
}

// serve runs a request to its end or leaves it under way.
func (h *history) serve(o *holder) {
	h.open(o)
	h.reserve(o)
	if h.draw("ends", 2) > 0 {
		h.settle(o)
	}
}

// giveUp lets both witnesses of a holder promise and the log have it, while the holder, dead
// or only paused, does not read on.
func (h *history) giveUp(o *holder) {
	for _, w := range o.names {
		if w.dead || w.left || w.batch != nil || len(w.queue) > 0 {
			return
		}
	}
	for _, w := range o.names {
		marks := w.guard.promise(o.session.origin)
		w.queue = append(w.queue, jvrecord.Record{Promise: &jvrecord.Promise{Holder: o.session.origin, Marks: marks}})
		h.catchUp(w)
	}
}

// lose appends a batch whose answer is lost: the holder does not read it back, and appends it
// again at some time.
func (h *history) lose(o *holder) {
	h.deliver(o)
}

func (h *history) reserve(o *holder) {
	r, err := o.session.escrow.Reserve(profileP, int64(1+h.draw("tokens", 20)))
	if err == nil {
		o.open = append(o.open, sessionReservation{Reservation: r, session: o.session})
	}
}

func (h *history) settle(o *holder) {
	if len(o.open) == 0 {
		return
	}
	r := o.open[0]
	o.open = o.open[1:]
	used := max(0, r.Tokens-int64(h.draw("unused", 4)))
	h.used += used
	switch {
	case h.draw("known", 2) == 1:
		r.settle(used)
	case h.fault == mutantUnknownZero:
		r.settle(0)
	default:
		r.settle(r.Tokens)
	}
}

func (h *history) lend(from, to *holder) {
	if from == to {
		return
	}
	s := from.session
	sum := s.lend(to.session.origin, profileP, int64(1+h.draw("loan", 20)), to.session.borrowedFrom(s.origin, profileP))
	if h.fault == mutantLendUndebited {
		s.escrow.Borrow(profileP, max(0, sum-to.session.borrowedFrom(s.origin, profileP)))
	}
	if h.draw("answered", 3) > 0 {
		to.session.borrow(s.origin, profileP, sum)
	}
}

func (h *history) giveBack(o *holder) {
	back := o.session.escrow.Return(profileP, int64(1+h.draw("back", 30)))
	if h.fault == mutantReturnTwice {
		o.session.escrow.Borrow(profileP, back)
	}
}

func (h *history) queueReport(o *holder) {
	if o.report != nil || o.batch != nil {
		return
	}
	o.report = o.session.report()
	o.queue = append(o.queue, jvrecord.Record{Report: o.report})
}

// name begins to name witnesses: marks freeze until the log has the record.
func (h *history) name(o *holder) {
	var others []*holder
	for _, w := range h.holders {
		if w != o && !w.dead && !w.left {
			others = append(others, w)
		}
	}
	if o.naming != nil || o.batch != nil || len(others) < jvledger.WitnessCount {
		return
	}
	at := h.draw("witness", len(others)-1)
	o.naming = []*holder{others[at], others[(at+1)%len(others)]}
	hello := &jvrecord.Hello{VM: o.session.origin, Zone: "a", Marks: o.session.escrow.FreezeMarks()}
	for _, w := range o.naming {
		hello.Witnesses = append(hello.Witnesses, w.session.origin)
	}
	o.queue = append(o.queue, jvrecord.Record{Hello: hello})
}

// open asks one witness to acknowledge a mark; its answer may come after the set has changed.
func (h *history) open(o *holder) {
	asked := o.names
	if h.fault == mutantStaleWitness && len(o.before) > 0 {
		asked = o.before
	}
	if len(asked) == 0 {
		return
	}
	a := o.session.escrow.Account(profileP)
	mark, due := jvescrow.ClaimPolicy{TrancheRequests: 8}.NextMark(a, 2)
	if !due {
		return
	}
	epoch := o.session.escrow.Epoch()
	w := asked[h.draw("asked", len(asked)-1)]
	if h.fault == mutantOpenAlone {
		o.session.escrow.RaiseMark(epoch, profileP, mark)
		return
	}
	acknowledged := !w.dead && !w.left && w.guard.acknowledge(o.session.origin, map[string]int64{profileP: mark})
	if acknowledged || h.fault == mutantAckPromised {
		o.session.escrow.RaiseMark(epoch, profileP, mark)
	}
}

// promise lets a witness give up a holder, whether that is dead or only slow.
func (h *history) promise(w *holder) {
	for _, o := range h.holders {
		origin := h.state.Origins[o.session.origin]
		if origin == nil || origin.Closed || !slices.Contains(origin.Witnesses, w.session.origin) {
			continue
		}
		if w.batch != nil || h.draw("give up", 2) > 0 {
			continue
		}
		marks := w.guard.promise(o.session.origin)
		w.queue = append(w.queue, jvrecord.Record{Promise: &jvrecord.Promise{Holder: o.session.origin, Marks: marks}})
		return
	}
}

// kill ends a holder; what it had reserved may have been used in full.
func (h *history) kill(o *holder) {
	o.dead = true
	for _, r := range o.open {
		h.used += r.Tokens
	}
	o.open = nil
	if h.fault == mutantSameOrigin {
		back := &holder{session: newSession(o.session.origin), guard: newHolderTable(), number: o.number}
		h.holders = append(h.holders, back)
		h.sync(back)
	}
}

// leave ends a holder as planned, with requests under way counted at their worst case.
func (h *history) leave(o *holder) {
	if o.batch != nil || o.report != nil || o.naming != nil {
		return
	}
	for _, r := range o.open {
		h.used += r.Tokens
	}
	o.open = nil
	o.session.escrow.CloseAndSettle()
	o.queue = append(o.queue, jvrecord.Record{Report: o.session.report()}, jvrecord.Record{Leave: &jvrecord.Leave{}})
	h.deliver(o)
	o.left = true
}

// repeat appends an old batch once more, as a late duplicate does.
func (h *history) repeat() {
	h.appendData(h.log[h.draw("old", len(h.log)-1)].Data)
}

// restore goes on from a snapshot.
func (h *history) restore() {
	s, err := jvledger.Restore(jvledger.DefaultRules(), h.state.Snapshot())
	require.NoError(h.t, err)
	h.state = s
}

// check compares what was truly used, or may still be, with what was prepaid.
