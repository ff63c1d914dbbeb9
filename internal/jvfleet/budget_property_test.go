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

// mutant is a deliberate fault of a holder, which the property must catch.
type mutant string

const (
	mutantNone          mutant = ""
	mutantEarlyGrant    mutant = "spends a claim before it is read back"
	mutantUnknownZero   mutant = "settles an unknown use at zero"
	mutantLendUndebited mutant = "lends without a debit"
	mutantReturnTwice   mutant = "goes on spending what it returned"
	mutantOpenAlone     mutant = "opens marks without a witness"
	mutantAckPromised   mutant = "acknowledges marks after a promise"
	mutantSameOrigin    mutant = "comes back under its old origin with empty accounts"
	mutantStaleWitness  mutant = "opens marks by a witness of an earlier set"
)

// profileP is the one profile of these histories.
const profileP = "p"

// holder is one process start in a history: the router's real session and guard, with its
// batches under way.
type holder struct {
	session *session
	guard   *holderTable
	number  uint64
	queue   []jvrecord.Record
	batch   []byte
	batched uint64
	report  *jvrecord.Report
	naming  []*holder
	names   []*holder
	before  []*holder
	open    []sessionReservation
	dead    bool
	left    bool
}

// history is a random run of holders against one fold.
type history struct {
	t       *rapid.T
	fault   mutant
	state   *jvledger.State
	log     []jvledger.Entry
	time    int64
	holders []*holder
	serial  int
	// used is what requests truly used.
	used int64
}

func newHistory(t *rapid.T, fault mutant) *history {
	h := &history{t: t, fault: fault, state: jvledger.NewState(jvledger.DefaultRules()), time: 1}
	profile := []byte(`{"name":"p","workspace":"w","pool":"e","work":"quick","model":"m","output":10,"deadline":1000,"priority":1,"attempts":2,"ahead":40}`)
	h.operate(jvrecord.Record{Publish: &jvrecord.Publish{
		ID: "1", Items: []jvrecord.Item{{Kind: jvrecord.ItemProfile, Name: profileP, Body: profile}},
	}})
	for range 4 {
		h.start()
	}
	return h
}

func (h *history) start() {
	h.serial++
	o := &holder{session: newSession(fmt.Sprintf("vm-%d", h.serial)), guard: newHolderTable()}
	h.holders = append(h.holders, o)
	o.queue = append(o.queue, jvrecord.Record{Hello: &jvrecord.Hello{VM: o.session.origin, Zone: "a"}})
	h.deliver(o)
	h.sync(o)
}

// operate appends records as an operator's command does, under an origin of its own.
func (h *history) operate(records ...jvrecord.Record) {
	origin := fmt.Sprint("operator-", len(h.log))
	h.appendData(jvcodec.Encode(&jvrecord.Batch{Origin: origin, Number: 1, Records: records}))
}

func (h *history) appendData(data []byte) {
	h.time += 10
	e := jvledger.Entry{Offset: uint64(len(h.log)), Time: h.time, Data: data}
	h.log = append(h.log, e)
	_, err := h.state.Apply(e)
	require.NoError(h.t, err)
}

// deliver appends the holder's outstanding batch, or makes one of what is queued.
func (h *history) deliver(o *holder) {
	if o.batch == nil {
		if len(o.queue) == 0 {
			return
		}
		o.number++
		o.batched = o.number
		o.batch = jvcodec.Encode(&jvrecord.Batch{Origin: o.session.origin, Number: o.number, Records: o.queue})
		o.queue = nil
	}
	h.appendData(o.batch)
}

// sync lets a holder read the log up to now.
func (h *history) sync(o *holder) {
	if a, ok := h.state.Account(profileP, o.session.origin); ok {
		o.session.escrow.RaiseGranted(profileP, a.Granted, a.Borrowed)
	}
	origin := h.state.Origins[o.session.origin]
	if o.batch == nil || origin == nil || origin.LastBatch < o.batched {
		return
	}
	o.batch = nil
	if o.report != nil {
		o.session.confirm(o.report)
		o.report = nil
	}
	if o.naming != nil && !origin.Closed {
		o.before, o.names, o.naming = o.names, o.naming, nil
		o.session.escrow.UnfreezeMarks(true)
	}
	if origin.Closed {
		o.session.escrow.Close()
	}
}

// pick draws a holder that lives; it returns nil where there is none.
func (h *history) pick(label string) *holder {
	live := slices.DeleteFunc(slices.Clone(h.holders), func(o *holder) bool { return o.dead || o.left })
	if len(live) == 0 {
		return nil
	}
	return rapid.SampledFrom(live).Draw(h.t, label)
}

func (h *history) draw(label string, most int) int { return rapid.IntRange(0, most).Draw(h.t, label) }

func (h *history) check() {
	budget := h.state.Budgets[profileP]
	if budget == nil {
		return
	}
	use := h.used
	for _, o := range h.holders {
		for _, r := range o.open {
			use += r.Tokens
		}
	}
	require.LessOrEqual(h.t, use, budget.Prepaid, "tokens used and reserved against tokens prepaid")
	require.Empty(h.t, h.state.UnbalancedProfile(), "a budget does not add up: %+v", budget)
	require.Zero(h.t, h.state.Breaches, "a holder reported more than the fold knows it to hold")
}

func (h *history) with(do func(*holder)) func(*rapid.T) {
	return func(t *rapid.T) {
		h.t = t
		if o := h.pick("holder"); o != nil {
			do(o)
		}
	}
}

// seldom does something one time in six, so that budgets outlive their holders.
func (h *history) seldom(do func(*holder)) func(*rapid.T) {
	return h.with(func(o *holder) {
		if h.draw("really", 5) == 0 {
			do(o)
		}
	})
}

// runHistory draws a history; it fails where the property is broken.
func runHistory(t *rapid.T, fault mutant) {
	h := newHistory(t, fault)
	t.Repeat(map[string]func(*rapid.T){
		"":        func(t *rapid.T) { h.t = t; h.check() },
		"topup":   func(t *rapid.T) { h.t = t; h.topUp() },
		"claim":   h.with(h.claim),
		"deliver": h.with(func(o *holder) { h.deliver(o); h.sync(o) }),
		"lose":    h.with(h.lose),
		"sync":    h.with(h.sync),
		"obtain":  h.with(h.obtain),
		"serve":   h.with(h.serve),
		"serve2":  h.with(h.serve),
		"reserve": h.with(h.reserve),
		"settle":  h.with(h.settle),
		"lend":    h.with(func(o *holder) { h.lend(o, h.pick("borrower")) }),
		"back":    h.with(h.giveBack),
		"report":  h.with(h.queueReport),
		"name":    h.with(h.name),
		"rename":  h.with(func(o *holder) { h.name(o); h.catchUp(o) }),
		"rename2": h.with(func(o *holder) { h.name(o); h.catchUp(o); h.serve(o) }),
		"giveup":  h.with(h.giveUp),
		"giveup2": h.with(h.giveUp),
		"open":    h.with(h.open),
		"promise": h.with(h.promise),
		"kill":    h.seldom(func(o *holder) { h.kill(o); h.start() }),
		"leave":   h.seldom(func(o *holder) { h.leave(o); h.start() }),
		"repeat":  func(t *rapid.T) { h.t = t; h.repeat() },
		"restore": func(t *rapid.T) { h.t = t; h.restore() },
	})
	again := jvledger.NewState(jvledger.DefaultRules())
	for _, e := range h.log {
		_, err := again.Apply(e)
		require.NoError(t, err)
	}
	require.Equal(t, again.Hash(), h.state.Hash(), "a fold restored from snapshots differs from one from the beginning")
}

// TestBudgetProperty: spend stays within what was prepaid in every history.
func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runHistory(t, mutantNone) })
}

// TestBudgetMutants: the property fails for every deliberate fault of a holder.
func TestBudgetMutants(t *testing.T) {
	for _, fault := range []mutant{
		mutantEarlyGrant, mutantUnknownZero, mutantLendUndebited, mutantReturnTwice,
		mutantOpenAlone, mutantAckPromised, mutantSameOrigin, mutantStaleWitness,
	} {
		t.Run(string(fault), func(t *testing.T) {
			caught, how := jvproperty.CheckFails(t, func(t *rapid.T) { runHistory(t, fault) })
			require.True(t, caught, "the property did not notice the fault")
			t.Log(how)
		})
	}
}
