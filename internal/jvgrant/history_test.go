package jvgrant

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
	"github.com/jasminevale/jasminevale/internal/jvproperty"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// fault is a deliberate fault of the keeper or its surroundings that the property must notice.
type fault string

const (
	faultNone     fault = ""
	faultEmpty    fault = "a restart takes everything for unspent"
	faultBound    fault = "a router spends beyond its stated bound"
	faultPending  fault = "a router forgets a bound that may be added yet"
	faultBlind    fault = "a router takes without the condition on the topic's end"
	faultTrust    fault = "a clock that was set back by a minute is believed"
	faultMajority fault = "most clocks are set back"
	workspaceW          = "w"
	routersPlayed       = 5
	smallPlayed         = 12 // More than are played.
	largePlayed         = 2  // Fewer than are played.
	prepaidPlayed       = 30_000
)

// step is one move of a history; its numbers are drawn before the history is played.
type step struct {
	Action int
	Router int
	Amount int
}

// node is one machine with the router on it.
type node struct {
	name   string
	boot   int
	booted time.Time
	// shift is what the machine's time of day is off by.
	shift      time.Duration
	grants     *line
	statements *line
	keeper     *Allocator
	open       []jvescrow.Reservation
	// used is what requests at this machine truly used, over all its starts.
	used int64
}

// history plays routers against one topic and counts what requests truly used.
type history struct {
	fault      fault
	grants     *memoryTopic
	statements *memoryTopic
	nodes      []*node
	prepaid    int64
	seed       uint64
	// small is the size above which the fleet counts as large.
	small int
	// none is true while the configuration has no workspaces.
	none bool
}

// play returns what went wrong, or "".
func play(t *testing.T, f fault, small int, steps []step) (problem string) {
	synctest.Test(t, func(*testing.T) {
		h := &history{fault: f, small: small, grants: newMemoryTopic(), statements: newMemoryTopic(), prepaid: prepaidPlayed}
		for n := range routersPlayed {
			o := &node{name: fmt.Sprint("r", n), booted: time.Now(), grants: &line{topic: h.grants, fate: fateDone}, statements: &line{topic: h.statements, fate: fateDone}}
			h.nodes = append(h.nodes, o)
			h.start(o)
		}
		for n, s := range steps {
			h.step(s)
			if problem = h.judge(); problem != "" {
				problem = fmt.Sprintf("step %d: %s", n, problem)
				return
			}
		}
	})
	return problem
}

// judge tells what is wrong: the fleet used or holds more than was prepaid, or a router counts
// less as used than it did use.
func (h *history) judge() string {
	var used int64
	for _, o := range h.nodes {
		used += o.used
		if counted := o.keeper.escrow.Account(workspaceW).Committed(); o.keeper.Ready() && counted < o.used {
			return fmt.Sprintf("%s counts %d tokens and used %d", o.name, counted, o.used)
		}
	}
	if used > h.prepaid {
		return fmt.Sprintf("%d tokens used of %d", used, h.prepaid)
	}
	var held int64
	for _, i := range h.grants.newest() {
		_, _, holding, err := decodeHolding(i)
		if err != nil {
			return err.Error()
		}
		held += holding.Net()
	}
	if held > h.prepaid {
		return fmt.Sprintf("%d tokens held of %d", held, h.prepaid)
	}
	return ""
}

// random draws the same numbers in each play.
func (h *history) random() float64 {
	h.seed = h.seed*6364136223846793005 + 1442695040888963407
	return float64(h.seed>>11) / (1 << 53)
}

func (h *history) start(o *node) {
	options := DefaultOptions()
	options.Router = o.name
	options.Grants = []jvkeyed.Topic{o.grants}
	options.Statements = o.statements
	if h.fault == faultBlind {
		options.Grants = []jvkeyed.Topic{&blindLine{line: o.grants}}
	}
	options.Timer = jvtimer.NewService()
	options.Logger = logr.Discard()
	options.Random = h.random
	if h.small > 0 {
		options.SmallFleetSize = h.small
	}
	options.ReadClocks = func() ClockReading {
		return ClockReading{BootID: fmt.Sprint(o.name, o.boot), Uptime: time.Since(o.booted), WallClock: time.Now().Add(o.shift)}
	}
	options.ConfigLoaded = func() bool { return true }
	options.Prepaid = func(string) (int64, bool) { return h.prepaid, true }
	options.Workspaces = func() []string {
		if h.none {
			return nil
		}
		return []string{workspaceW}
	}
	o.keeper = NewAllocator(options)
	o.open = nil
	h.round(o)
}

// blindLine appends wherever the topic ends.
type blindLine struct{ *line }

func (b *blindLine) AppendAt(ctx context.Context, _ uint64, items []jvkeyed.Record) (uint64, error) {
	if b.fate == fateRaced {
		b.fate = fateDone
		b.race()
	}
	return b.line.AppendAt(ctx, b.topic.end(), items)
}

func (h *history) round(o *node) {
	o.keeper.makeRound(context.Background())
	if h.fault == faultEmpty {
		o.keeper.escrow.Refund(workspaceW, o.keeper.lost[workspaceW])
		o.keeper.lost[workspaceW] = 0
	}
	if h.fault == faultPending {
		o.keeper.speaker.pending = nil
		o.keeper.speaker.unsure = false
	}
}

func (h *history) step(s step) {
	o := h.nodes[s.Router%len(h.nodes)]
	switch s.Action % 13 {
	case 0, 1, 2, 3:
		h.reserve(o, int64(100+s.Amount%5_000))
	case 4:
		h.settle(o, s.Amount)
	case 5, 6:
		h.round(o)
	case 7:
		time.Sleep(time.Duration(s.Amount%4000) * time.Millisecond)
	case 8:
		fates := []fate{fateDone, fateRaced, fateLost, fateLate, fateCut, fateBusy, fateReads}
		o.grants.fate = fates[s.Amount%len(fates)]
		o.statements.fate = fates[s.Amount/len(fates)%len(fates)]
		o.grants.race = func() { h.round(h.nodes[(s.Router+1)%len(h.nodes)]) }
	case 9:
		h.restart(o, s.Amount)
	case 10:
		h.grants.release()
		h.statements.release()
	case 11:
		h.everyone(s.Amount)
	case 12:
		h.prepaid += int64(s.Amount % 300)
	}
}

func (h *history) reserve(o *node, tokens int64) {
	if h.fault == faultBound {
		if r, err := o.keeper.escrow.Reserve(workspaceW, tokens); err == nil {
			o.open = append(o.open, r)
			o.used += tokens
		}
		return
	}
	o.keeper.ask(workspaceW, tokens)
	r, err := o.keeper.take(workspaceW, tokens)
	if err != nil {
		w := &want{workspace: workspaceW, tokens: tokens}
		o.keeper.want(w)
		h.round(o)
		o.keeper.drop(w)
		r, err = o.keeper.take(workspaceW, tokens)
	}
	if err != nil {
		return
	}
	o.open = append(o.open, r)
	o.used += tokens // The whole worst case may be used from now on.
}

func (h *history) settle(o *node, amount int) {
	if len(o.open) == 0 {
		return
	}
	r := o.open[0]
	o.open = o.open[1:]
	used := r.Tokens * int64(amount%101) / 100
	o.used -= r.Tokens - used
	o.keeper.Settle(r, used)
}

// restart kills a router, with or without its machine; what it had under way was used up.
func (h *history) restart(o *node, amount int) {
	time.Sleep(time.Duration(amount%2500) * time.Millisecond)
	if amount%2 == 0 {
		o.boot++
		o.booted = time.Now().Add(-time.Duration(amount%97) * time.Second)
		// One machine's clock is set, by more than what clocks differ by and less than the guard.
		if o == h.nodes[0] {
			o.shift = []time.Duration{0, -1100 * time.Millisecond, -2900 * time.Millisecond, 1100 * time.Millisecond, 2900 * time.Millisecond}[amount/2%5]
		}
		if h.fault == faultTrust {
			o.shift = -time.Minute
		}
	}
	if h.fault == faultMajority {
		o.shift = -time.Duration(amount%7) * time.Second
	}
	h.start(o)
}

// meet gives all calls of a router one fate.
func (o *node) meet(f fate) {
	o.grants.fate = f
	o.statements.fate = f
}

// everyone lets all routers meet the same thing at once.
func (h *history) everyone(amount int) {
	switch amount % 3 {
	case 0:
		for _, o := range h.nodes {
			o.meet(fateCut)
		}
	case 1:
		for _, o := range h.nodes {
			o.meet(fateDone)
			h.round(o)
		}
	case 2:
		for n, o := range h.nodes {
			h.restart(o, amount/3*2+n%2)
		}
	}
}

func historyProperty(t *testing.T, f fault, small int) func(*rapid.T) {
	return func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			return step{
				Action: rapid.IntRange(0, 12).Draw(r, "action"),
				Router: rapid.IntRange(0, routersPlayed-1).Draw(r, "router"),
				Amount: rapid.IntRange(0, 100_000).Draw(r, "amount"),
			}
		}), 100, 400).Draw(r, "steps")
		require.Empty(r, play(t, f, small, steps))
	}
}

// TestNeverMoreThanPrepaid: whatever is cut, lost, late or killed, and however often, requests
// use no more of a budget than was prepaid.
func TestNeverMoreThanPrepaid(t *testing.T) {
	rapid.Check(t, historyProperty(t, faultNone, smallPlayed))
}

// TestFaultsAreNoticed: the property fails with each deliberate fault.
func TestFaultsAreNoticed(t *testing.T) {
	for _, f := range []fault{faultEmpty, faultBound, faultPending, faultBlind, faultTrust, faultMajority} {
		t.Run(string(f), func(t *testing.T) {
			caught, how := jvproperty.Caught(t, historyProperty(t, f, smallPlayed))
			require.True(t, caught, "not noticed")
			t.Log(how)
		})
	}
}

// TestLateStatementOfAnEarlierStart: whichever of two starts drew the higher epoch, a late
// statement of the first never takes the place of one of the second.
func TestLateStatementOfAnEarlierStart(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			h := &history{grants: newMemoryTopic(), statements: newMemoryTopic(), prepaid: prepaidPlayed, seed: uint64(seed)}
			o := &node{name: "r", booted: time.Now(), grants: &line{topic: h.grants, fate: fateDone}, statements: &line{topic: h.statements, fate: fateDone}}
			h.nodes = []*node{o}
			o.statements.next = []fate{fateDone, fateLate} // The claim is done, the statement held up.
			h.start(o)
			first := o.keeper.speaker.epoch
			h.start(o)
			h.round(o)
			h.round(o)
			require.NotNil(t, o.keeper.speaker.told)
			require.NotEqual(t, first, o.keeper.speaker.epoch)
			h.statements.release()
			newest := h.statements.newest()
			require.Len(t, newest, 1)
			s, err := decodeStatement(newest[0])
			require.NoError(t, err)
			require.Equal(t, o.keeper.speaker.told.Epoch, s.Epoch)
		})
	}
}

// TestNoBudgets: a fleet without workspaces is ready, and a budget that is added later works.
func TestNoBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{grants: newMemoryTopic(), statements: newMemoryTopic(), prepaid: prepaidPlayed}
		o := &node{name: "r", booted: time.Now(), grants: &line{topic: h.grants, fate: fateDone}, statements: &line{topic: h.statements, fate: fateDone}}
		h.nodes = []*node{o}
		h.none = true
		h.start(o)
		require.True(t, o.keeper.Ready())
		h.none = false
		h.reserve(o, 100)
		require.EqualValues(t, 100, o.used)
	})
}
