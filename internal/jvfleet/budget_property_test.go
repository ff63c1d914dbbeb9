package jvfleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvproperty"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// mutant is a fault injected into a holder, which the property must detect.
type mutant string

const (
	mutantNone             mutant = ""
	mutantEarlyGrant       mutant = "spends a claim before it is read back"
	mutantUnknownZero      mutant = "settles an unknown use at zero"
	mutantLendWithoutDebit mutant = "lends without a debit"
	mutantSpendReturned    mutant = "spends tokens that it has returned"
	mutantNoWitness        mutant = "raises marks without a witness"
	mutantAckAfterPromise  mutant = "acknowledges marks after a promise"
	mutantSameOrigin       mutant = "restarts under its old origin with empty accounts"
	mutantStaleWitness     mutant = "raises marks acknowledged by a witness of an earlier set"
)

// historyProfile is the only profile in the histories.
const historyProfile = "p"

// holder is one origin in a history. It has a router's real session and holder table; the history
// stands in for the router's journal.
type holder struct {
	session *session
	// witnessed holds the holders that this one is a witness of.
	witnessed *holderTable
	lastBatch uint64 // number of the last batch
	// queue holds the records of the next batch; pendingBatch is appended, but not read back yet.
	queue         []jvrecord.Record
	pendingBatch  []byte
	pendingNumber uint64
	// pendingReport and pendingWitnesses are in the queue or in the pending batch.
	pendingReport    *jvrecord.Report
	pendingWitnesses []*holder
	witnesses        []*holder
	formerWitnesses  []*holder
	reservations     []sessionReservation
	killed           bool
	left             bool // stopped as planned
}

// history is a random sequence of actions of holders on one state machine.
type history struct {
	t       *rapid.T
	mutant  mutant
	state   *jvledger.State
	log     []jvledger.Entry
	now     int64 // log time in Unix milliseconds
	holders []*holder
	started int // number of holders started
	// used is the number of tokens that requests have used.
	used int64
}

func newHistory(t *rapid.T, m mutant) *history {
	h := &history{t: t, mutant: m, state: jvledger.NewState(jvledger.DefaultRules()), now: 1}
	profile := []byte(`{"name":"p","workspace":"w","pool":"e","work":"quick","model":"m","output":10,"deadline":1000,"priority":1,"attempts":2,"ahead":40}`)
	h.appendAsOperator(jvrecord.Record{Publish: &jvrecord.Publish{
		ID: "1", Items: []jvrecord.Item{{Kind: jvrecord.ItemProfile, Name: historyProfile, Body: profile}},
	}})
	for range 4 {
		h.startHolder()
	}
	return h
}

func (h *history) startHolder() {
	h.started++
	o := &holder{session: newSession(fmt.Sprintf("vm-%d", h.started)), witnessed: newHolderTable()}
	h.holders = append(h.holders, o)
	o.queue = append(o.queue, jvrecord.Record{Hello: &jvrecord.Hello{VM: o.session.origin, Zone: "a"}})
	h.deliver(o)
	h.readLog(o)
}

// appendAsOperator appends records under a new origin, as an operator's command does.
func (h *history) appendAsOperator(records ...jvrecord.Record) {
	origin := fmt.Sprint("operator-", len(h.log))
	h.appendEntry(jvcodec.Encode(&jvrecord.Batch{Origin: origin, Number: 1, Records: records}))
}

// appendEntry appends a batch to the log and applies it to the state.
func (h *history) appendEntry(data []byte) {
	h.now += 10
	e := jvledger.Entry{Offset: uint64(len(h.log)), Time: h.now, Data: data}
	h.log = append(h.log, e)
	_, err := h.state.Apply(e)
	require.NoError(h.t, err)
}

// deliver appends the holder's pending batch, or else a new batch of the queued records.
func (h *history) deliver(o *holder) {
	if o.pendingBatch == nil {
		if len(o.queue) == 0 {
			return
		}
		o.lastBatch++
		o.pendingNumber = o.lastBatch
		o.pendingBatch = jvcodec.Encode(&jvrecord.Batch{Origin: o.session.origin, Number: o.lastBatch, Records: o.queue})
		o.queue = nil
	}
	h.appendEntry(o.pendingBatch)
}

// readLog lets a holder read the log to its end.
func (h *history) readLog(o *holder) {
	if a, ok := h.state.Account(historyProfile, o.session.origin); ok {
		o.session.escrow.RaiseGranted(historyProfile, a.Granted, a.Borrowed)
	}
	origin := h.state.Origins[o.session.origin]
	if o.pendingBatch == nil || origin == nil || origin.LastBatch < o.pendingNumber {
		return
	}
	o.pendingBatch = nil
	if o.pendingReport != nil {
		o.session.confirm(o.pendingReport)
		o.pendingReport = nil
	}
	if o.pendingWitnesses != nil && !origin.Closed {
		o.formerWitnesses, o.witnesses, o.pendingWitnesses = o.witnesses, o.pendingWitnesses, nil
		o.session.escrow.UnfreezeMarks(true)
	}
	if origin.Closed {
		o.session.escrow.Close()
	}
}

// drawHolder draws a running holder, or returns nil if there is none.
func (h *history) drawHolder(label string) *holder {
	running := slices.DeleteFunc(slices.Clone(h.holders), func(o *holder) bool { return o.killed || o.left })
	if len(running) == 0 {
		return nil
	}
	return rapid.SampledFrom(running).Draw(h.t, label)
}

// draw draws a number from 0 to highest.
func (h *history) draw(label string, highest int) int {
	return rapid.IntRange(0, highest).Draw(h.t, label)
}

// check compares the tokens that were used, or may still be, with those that were prepaid.
func (h *history) check() {
	budget := h.state.Budgets[historyProfile]
	if budget == nil {
		return
	}
	use := h.used
	for _, o := range h.holders {
		for _, r := range o.reservations {
			use += r.Tokens
		}
	}
	require.LessOrEqual(h.t, use, budget.Prepaid, "tokens used and reserved exceed those prepaid")
	require.Empty(h.t, h.state.UnbalancedProfile(), "a budget does not add up: %+v", budget)
	require.Zero(h.t, h.state.Breaches, "a holder reported more tokens than the state grants it")
}

// action returns an action of a holder that is drawn.
func (h *history) action(do func(*holder)) func(*rapid.T) {
	return func(t *rapid.T) {
		h.t = t
		if o := h.drawHolder("holder"); o != nil {
			do(o)
		}
	}
}

// rareAction returns an action that takes effect one time in six, so that holders that end do not
// strand the whole budget early in a history.
func (h *history) rareAction(do func(*holder)) func(*rapid.T) {
	return h.action(func(o *holder) {
		if h.draw("really", 5) == 0 {
			do(o)
		}
	})
}

// runHistory draws a history and fails if the property does not hold.
func runHistory(t *rapid.T, m mutant) {
	h := newHistory(t, m)
	t.Repeat(map[string]func(*rapid.T){
		"":        func(t *rapid.T) { h.t = t; h.check() },
		"topup":   func(t *rapid.T) { h.t = t; h.topUp() },
		"claim":   h.action(h.claim),
		"deliver": h.action(func(o *holder) { h.deliver(o); h.readLog(o) }),
		"lose":    h.action(h.loseResponse),
		"sync":    h.action(h.readLog),
		"obtain":  h.action(h.claimAndCatchUp),
		"serve":   h.action(h.serve),
		"serve2":  h.action(h.serve),
		"reserve": h.action(h.reserve),
		"settle":  h.action(h.settle),
		"lend":    h.action(func(o *holder) { h.lend(o, h.drawHolder("borrower")) }),
		"back":    h.action(h.returnTokens),
		"report":  h.action(h.queueReport),
		"name":    h.action(h.nameWitnesses),
		"rename":  h.action(func(o *holder) { h.nameWitnesses(o); h.catchUp(o) }),
		"rename2": h.action(func(o *holder) { h.nameWitnesses(o); h.catchUp(o); h.serve(o) }),
		"giveup":  h.action(h.reclaim),
		"giveup2": h.action(h.reclaim),
		"open":    h.action(h.openTranche),
		"promise": h.action(h.promise),
		"kill":    h.rareAction(func(o *holder) { h.kill(o); h.startHolder() }),
		"leave":   h.rareAction(func(o *holder) { h.leave(o); h.startHolder() }),
		"repeat":  func(t *rapid.T) { h.t = t; h.duplicateBatch() },
		"restore": func(t *rapid.T) { h.t = t; h.restore() },
	})
	replayed := jvledger.NewState(jvledger.DefaultRules())
	for _, e := range h.log {
		_, err := replayed.Apply(e)
		require.NoError(t, err)
	}
	require.Equal(t, replayed.Hash(), h.state.Hash(), "a state restored from snapshots differs from one replayed from the start of the log")
}

// TestBudgetProperty guards against overspending: lost responses, duplicate batches, loans,
// reclaims and crashes must not let holders use more tokens than were prepaid.
func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runHistory(t, mutantNone) })
}

// TestBudgetMutants guards against a property that misses faults: it must fail for each mutant.
func TestBudgetMutants(t *testing.T) {
	for _, m := range []mutant{
		mutantEarlyGrant, mutantUnknownZero, mutantLendWithoutDebit, mutantSpendReturned,
		mutantNoWitness, mutantAckAfterPromise, mutantSameOrigin, mutantStaleWitness,
	} {
		t.Run(string(m), func(t *testing.T) {
			caught, how := jvproperty.CheckFails(t, func(t *rapid.T) { runHistory(t, m) })
			require.True(t, caught, "the property did not detect the mutant")
			t.Log(how)
		})
	}
}
