package jvgrant

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvproperty"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// mutant is a fault injected into the allocator or its environment that the property must detect.
type mutant string

const (
	mutantNone          mutant = ""
	mutantNothingLost   mutant = "a restart counts nothing as lost"
	mutantIgnoreBound   mutant = "a router spends beyond its published bound"
	mutantDropPending   mutant = "a router drops a bound that may still be published"
	mutantUnconditional mutant = "a router takes tokens by an unconditional append"
	mutantClockSetBack  mutant = "a clock that was set back by a minute is relied on"
	mutantMostClocks    mutant = "most clocks are set back"
	testWorkspace              = "w"
	testRouters                = 5
	testSmallFleet             = 12 // More than testRouters.
	testLargeFleet             = 2  // Fewer than testRouters.
	testPrepaid                = 30_000
)

// step is one step of a history; all steps are drawn before the history runs.
type step struct {
	Action int
	Router int
	Amount int
}

// node is one machine with its router.
type node struct {
	name   string
	boot   int
	booted time.Time
	// clockOffset is the error of the machine's wall clock.
	clockOffset time.Duration
	grants      *topicClient
	statements  *topicClient
	allocator   *Allocator
	// mute is true while no message reaches the router or comes from it; frozen while it stands still.
	mute, frozen bool
	reservations []jvescrow.Reservation
	// used is what requests at this machine actually used, over all its restarts.
	used int64
}

// history is a simulated fleet: routers that share two topics, and what their requests actually used.
type history struct {
	mutant     mutant
	grants     *fakeTopic
	statements *fakeTopic
	nodes      []*node
	prepaid    int64
	// seedMu guards seed: the rounds of a router may run at once.
	seedMu sync.Mutex
	seed   uint64
	// lost is the share of messages that are lost; apart is true if routers exchange none.
	lost  float64
	apart bool
	// small is the size above which the fleet counts as large.
	small int
	// noWorkspaces is true while the configuration has no workspaces.
	noWorkspaces bool
}

// runHistory returns the first violation, or "".
func runHistory(t *testing.T, m mutant, small int, steps []step) (violation string) {
	synctest.Test(t, func(*testing.T) {
		h := &history{mutant: m, small: small, grants: newFakeTopic(), statements: newFakeTopic(), prepaid: testPrepaid}
		for n := range testRouters {
			o := &node{name: fmt.Sprint("r", n), booted: time.Now(), grants: &topicClient{topic: h.grants, result: callDone}, statements: &topicClient{topic: h.statements, result: callDone}}
			h.nodes = append(h.nodes, o)
			h.start(o)
		}
		for n, s := range steps {
			h.step(s)
			if violation = h.check(); violation != "" {
				violation = fmt.Sprintf("step %d: %s", n, violation)
				return
			}
		}
	})
	return violation
}

// check returns a violation, or "": the fleet used or holds more than was prepaid, or a router counts
// less as used than it actually used.
func (h *history) check() string {
	var used int64
	for _, o := range h.nodes {
		used += o.used
		if counted := o.allocator.escrow.Account(testWorkspace).Committed(); o.allocator.Ready() && counted < o.used {
			return fmt.Sprintf("%s counts %d tokens as used and used %d", o.name, counted, o.used)
		}
	}
	if used > h.prepaid {
		return fmt.Sprintf("%d tokens used of %d", used, h.prepaid)
	}
	var held int64
	for _, r := range h.grants.newest() {
		_, _, holding, err := decodeHolding(r)
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

// random returns the same sequence of numbers in each run.
func (h *history) random() float64 {
	h.seedMu.Lock()
	defer h.seedMu.Unlock()
	h.seed = h.seed*6364136223846793005 + 1442695040888963407
	return float64(h.seed>>11) / (1 << 53)
}

// options returns the options of a router's process.
func (h *history) options(o *node) Options {
	options := DefaultOptions()
	options.Router = o.name
	options.Grants = []jvkeyed.Topic{o.grants}
	options.Statements = o.statements
	if h.mutant == mutantUnconditional {
		options.Grants = []jvkeyed.Topic{&unconditionalClient{topicClient: o.grants}}
	}
	options.Timer = jvtimer.NewService()
	options.Logger = logr.Discard()
	options.Random = h.random
	if h.small > 0 {
		options.SmallFleetSize = h.small
	}
	options.ReadClocks = func() ClockReading {
		return ClockReading{BootID: fmt.Sprint(o.name, o.boot), Uptime: time.Since(o.booted), WallClock: time.Now().Add(o.clockOffset)}
	}
	options.Others = func() (list []jvmember.Member) {
		if h.apart {
			return nil
		}
		for n, other := range h.nodes {
			if other != o {
				list = append(list, jvmember.Member{Name: other.name, Zone: fmt.Sprint("z", n%2)})
			}
		}
		return list
	}
	options.Send = func(to jvmember.Member, data []byte) {
		h.send(o, h.nodes[slices.IndexFunc(h.nodes, func(n *node) bool { return n.name == to.Name })], data)
	}
	options.ConfigLoaded = func() bool { return true }
	options.Prepaid = func(string) (int64, bool) { return h.prepaid, true }
	options.Workspaces = func() []string {
		if h.noWorkspaces {
			return nil
		}
		return []string{testWorkspace}
	}
	return options
}

// send delivers a message and its replies, unless they are lost.
func (h *history) send(from, to *node, data []byte) {
	if from.mute || to.mute || to.frozen || to.allocator == nil || from.allocator == nil || h.lost > 0 && h.random() < h.lost {
		return
	}
	_ = to.allocator.Receive(data, func(reply []byte) { h.send(to, from, reply) })
}

// start starts a process of a router.
func (h *history) start(o *node) {
	o.allocator = NewAllocator(h.options(o))
	o.reservations = nil
	h.round(o)
}

// unconditionalClient appends wherever the topic ends, also where AppendAt names another offset.
type unconditionalClient struct{ *topicClient }

func (c *unconditionalClient) AppendAt(ctx context.Context, _ uint64, records []jvkeyed.Record) (jvkeyed.Mark, error) {
	if c.result == callRaced {
		c.result = callDone
		c.race()
	}
	return c.topicClient.AppendAt(ctx, c.topic.end(), records)
}

func (h *history) round(o *node) {
	o.allocator.runRound(context.Background())
	if h.mutant == mutantNothingLost {
		o.allocator.escrow.Refund(testWorkspace, o.allocator.lost[testWorkspace])
		o.allocator.lost[testWorkspace] = 0
	}
	if h.mutant == mutantDropPending {
		o.allocator.publisher.pending = nil
		o.allocator.publisher.inDoubt = false
	}
}

func (h *history) step(s step) {
	o := h.nodes[s.Router%len(h.nodes)]
	switch s.Action % 15 {
	case 0, 1, 2, 3:
		h.reserve(o, int64(100+s.Amount%5_000))
	case 4:
		h.settle(o, s.Amount)
	case 5, 6:
		h.round(o)
	case 7:
		time.Sleep(time.Duration(s.Amount%4000) * time.Millisecond)
	case 8:
		results := []callResult{callDone, callRaced, callResponseLost, callDelayed, callUnreachable, callRefused, callReadsOnly}
		o.grants.result = results[s.Amount%len(results)]
		o.statements.result = results[s.Amount/len(results)%len(results)]
		o.grants.race = func() { h.round(h.nodes[(s.Router+1)%len(h.nodes)]) }
	case 9:
		h.restart(o, s.Amount)
	case 10:
		h.grants.release()
		h.statements.release()
	case 11:
		h.stepAll(s.Amount)
	case 12:
		h.prepaid += int64(s.Amount % 300)
	case 13:
		o.allocator.Leave(time.Duration(s.Amount%3) * time.Second)
	case 14:
		o.allocator.Close(context.Background())
	}
}

func (h *history) reserve(o *node, tokens int64) {
	if h.mutant == mutantIgnoreBound {
		if r, err := o.allocator.escrow.Reserve(testWorkspace, tokens); err == nil {
			o.reservations = append(o.reservations, r)
			o.used += tokens
		}
		return
	}
	o.allocator.addDemand(testWorkspace, tokens)
	r, err := o.allocator.tryReserve(testWorkspace, tokens)
	if err != nil {
		w := &waiter{workspace: testWorkspace, tokens: tokens}
		o.allocator.addWaiter(w)
		h.round(o)
		o.allocator.removeWaiter(w)
		r, err = o.allocator.tryReserve(testWorkspace, tokens)
	}
	if err != nil {
		return
	}
	o.reservations = append(o.reservations, r)
	o.used += tokens // From now on the whole worst case may be used.
}

func (h *history) settle(o *node, amount int) {
	if len(o.reservations) == 0 {
		return
	}
	r := o.reservations[0]
	o.reservations = o.reservations[1:]
	used := r.Tokens * int64(amount%101) / 100
	o.used -= r.Tokens - used
	o.allocator.Settle(r, used)
}

// restart kills a router, with or without a reboot of its machine. The worst case of its running
// requests stays counted as used.
func (h *history) restart(o *node, amount int) {
	time.Sleep(time.Duration(amount%2500) * time.Millisecond)
	if amount%2 == 0 {
		o.boot++
		o.booted = time.Now().Add(-time.Duration(amount%97) * time.Second)
		// One machine's clock is set, by more than maxClockSkew and less than maxClockSetback.
		if o == h.nodes[0] {
			o.clockOffset = []time.Duration{0, -1100 * time.Millisecond, -2900 * time.Millisecond, 1100 * time.Millisecond, 2900 * time.Millisecond}[amount/2%5]
		}
		if h.mutant == mutantClockSetBack {
			o.clockOffset = -time.Minute
		}
	}
	if h.mutant == mutantMostClocks {
		o.clockOffset = -time.Duration(amount%7) * time.Second
	}
	h.start(o)
}

// setResult gives all calls of a router the same result.
func (o *node) setResult(r callResult) {
	o.grants.result = r
	o.statements.result = r
}

// stepAll applies one event to all routers.
func (h *history) stepAll(amount int) {
	switch amount % 3 {
	case 0:
		for _, o := range h.nodes {
			o.setResult(callUnreachable)
		}
	case 1:
		for _, o := range h.nodes {
			o.setResult(callDone)
			h.round(o)
		}
	case 2:
		for n, o := range h.nodes {
			h.restart(o, amount/3*2+n%2)
		}
	}
}

func historyProperty(t *testing.T, m mutant, small int) func(*rapid.T) {
	return func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			return step{
				Action: rapid.IntRange(0, 14).Draw(r, "action"),
				Router: rapid.IntRange(0, testRouters-1).Draw(r, "router"),
				Amount: rapid.IntRange(0, 100_000).Draw(r, "amount"),
			}
		}), 100, 400).Draw(r, "steps")
		require.Empty(r, runHistory(t, m, small, steps))
	}
}

// TestNeverMoreThanPrepaid guards against overspending a budget: with calls that fail, lose their
// responses or take effect late, and with routers and machines that restart, requests use no more than
// was prepaid.
func TestNeverMoreThanPrepaid(t *testing.T) {
	rapid.Check(t, historyProperty(t, mutantNone, testSmallFleet))
}

// TestFaultsAreNoticed guards against a property that detects nothing: it must fail with each mutant.
func TestFaultsAreNoticed(t *testing.T) {
	for _, m := range []mutant{mutantNothingLost, mutantIgnoreBound, mutantDropPending, mutantUnconditional, mutantClockSetBack, mutantMostClocks} {
		t.Run(string(m), func(t *testing.T) {
			caught, how := jvproperty.CheckFails(t, historyProperty(t, m, testSmallFleet))
			require.True(t, caught, "mutant not detected")
			t.Log(how)
		})
	}
}

// TestLateStatementOfAnEarlierStart guards against a delayed statement of an earlier process that
// replaces one of the current process, whichever of the two drew the higher epoch.
func TestLateStatementOfAnEarlierStart(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			h := &history{grants: newFakeTopic(), statements: newFakeTopic(), prepaid: testPrepaid, seed: uint64(seed)}
			o := &node{name: "r", booted: time.Now(), grants: &topicClient{topic: h.grants, result: callDone}, statements: &topicClient{topic: h.statements, result: callDone}}
			h.nodes = []*node{o}
			o.statements.next = []callResult{callDone, callDelayed} // The epoch is claimed, the statement is delayed.
			h.start(o)
			first := o.allocator.publisher.epoch
			h.start(o)
			h.round(o)
			h.round(o)
			require.NotNil(t, o.allocator.publisher.published)
			require.NotEqual(t, first, o.allocator.publisher.epoch)
			h.statements.release()
			newest := h.statements.newest()
			require.Len(t, newest, 1)
			s, err := decodeStatement(newest[0])
			require.NoError(t, err)
			require.Equal(t, o.allocator.publisher.published.Epoch, s.Epoch)
		})
	}
}

// TestNoBudgets guards against a router that is not ready without workspaces, or that does not serve
// a budget that is added later.
func TestNoBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{grants: newFakeTopic(), statements: newFakeTopic(), prepaid: testPrepaid}
		o := &node{name: "r", booted: time.Now(), grants: &topicClient{topic: h.grants, result: callDone}, statements: &topicClient{topic: h.statements, result: callDone}}
		h.nodes = []*node{o}
		h.noWorkspaces = true
		h.start(o)
		require.True(t, o.allocator.Ready())
		h.noWorkspaces = false
		h.reserve(o, 100)
		require.EqualValues(t, 100, o.used)
	})
}
