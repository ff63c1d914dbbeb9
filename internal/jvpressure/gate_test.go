package jvpressure

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// TestDivide checks the limits of machines: uses and reserve fit into the descriptors, requests and connections into the
// memory, and machines without numbers have no limits.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := Machine{
			Descriptors: rapid.Int64Range(MinDescriptors, 1<<20).Draw(r, "descriptors"),
			MemoryBytes: rapid.Int64Range(32<<20, 8<<30).Draw(r, "memory"),
			Processors:  rapid.Float64Range(0.05, 8).Draw(r, "processors"),
		}
		l, err := m.Divide()
		require.NoError(r, err)
		reserved := m.Descriptors - l.Callers - l.Routers - l.Requests - l.IdleTargets
		require.GreaterOrEqual(r, reserved, int64(minReserved)-4, "beside uses of one descriptor each")
		require.LessOrEqual(r, (l.Callers-min(l.Callers, l.Requests))*connectionBytes+l.Requests*requestBytes, m.MemoryBytes*4/5)
		require.LessOrEqual(r, l.HeldBytes+l.Callers*connectionBytes, m.MemoryBytes*4/5)
		slower := m
		slower.Processors /= 10
		same, err := slower.Divide()
		require.NoError(r, err)
		require.Equal(r, l, same, "what requests hold limits them, not the processors")
		m.MemoryBytes = 0
		unknown, err := m.Divide()
		require.NoError(r, err)
		require.LessOrEqual(r, float64(unknown.Requests), max(1, 1000*m.Processors))
		require.Zero(r, unknown.HeldBytes)
		require.Positive(r, min(l.Callers, l.Routers, l.Requests, l.IdleTargets))
	})
	l, err := Machine{MemoryBytes: 1 << 20}.Divide()
	require.NoError(t, err)
	require.EqualValues(t, minMemoryBytes, l.MemoryBytes, "a process that has no request is not full")
	l, err = Machine{}.Divide()
	require.NoError(t, err)
	require.Equal(t, Limits{}, l)
	for _, m := range []Machine{{Descriptors: MinDescriptors - 1}, {Descriptors: -1}, {MemoryBytes: -1}, {Processors: -1}} {
		_, err := m.Divide()
		require.Equal(t, KindDescriptors, jvfault.KindOf[Kind](err))
	}
}

// TestFill checks that a capacity is used up by demands, none of which gets more than it wants, and that none that wants
// more gets less than another by its weight.
func TestFill(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		demands := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) demand {
			return demand{rate: rapid.Float64Range(0.1, 1000).Draw(r, "rate"), weight: rapid.Float64Range(0.1, 1).Draw(r, "weight")}
		}), 1, 20).Draw(r, "demands")
		total := 0.0
		for _, d := range demands {
			total += d.rate
		}
		capacity := rapid.Float64Range(0, 2).Draw(r, "part") * total
		level := fill(capacity, demands)
		given := 0.0
		for _, d := range demands {
			given += min(d.rate, level*d.weight)
		}
		require.InDelta(r, min(capacity, total), given, 1e-6*total)
	})
	require.True(t, math.IsInf(fill(1, nil), 1))
}

// pressedGate is a gate with a delay and a use of memory that the test sets.
type pressedGate struct {
	*Gate
	late atomic.Int64
	used atomic.Int64
	// useless are flows whose requests are refused later.
	useless map[Flow]bool
}

// withGate runs a test with a gate in a synctest bubble.
func withGate(t *testing.T, limits Limits, run func(g *pressedGate)) {
	synctest.Test(t, func(*testing.T) {
		timer := jvtimer.NewService()
		defer timer.Close()
		g := &pressedGate{}
		o := DefaultGateOptions()
		o.Random = rand.New(rand.NewPCG(1, 2)).Float64
		o.Limits, o.Timer = limits, timer
		o.Delay = func() time.Duration { return time.Duration(g.late.Load()) }
		o.Memory = g.used.Load
		g.Gate = NewGate(o)
		run(g)
	})
}

// offer offers requests of flows, each so many a second, for a time, and returns the shares that are admitted in the
// second half.
func (g *pressedGate) offer(span time.Duration, rates map[Flow]int) map[Flow]float64 {
	const tick = 10 * time.Millisecond
	offered, got := map[Flow]float64{}, map[Flow]float64{}
	sent := map[Flow]float64{}
	for at := time.Duration(0); at < span; at += tick {
		for f, rate := range rates {
			for sent[f] += float64(rate) * tick.Seconds(); sent[f] >= 1; sent[f]-- {
				refusal := g.Enter(Request{Flow: f, Wait: 5 * time.Second})
				if refusal == nil {
					g.Leave(f, g.useless[f])
				}
				if at >= span/2 {
					offered[f]++
					if refusal == nil {
						got[f]++
					}
				}
			}
		}
		time.Sleep(tick)
	}
	for f := range offered {
		got[f] /= offered[f]
	}
	return got
}

// TestStarved guards against a workspace that sends many times its usual and takes the others' places: under pressure
// those that want less than their part get all of it.
func TestStarved(t *testing.T) {
	hot, calm, urgent, slow := Flow{"hot", 0}, Flow{"calm", 0}, Flow{"both", 0}, Flow{"both", 2}
	rates := map[Flow]int{hot: 800, calm: 20, urgent: 100, slow: 100}
	withGate(t, Limits{}, func(g *pressedGate) {
		for f, share := range g.offer(2*time.Second, rates) {
			require.InDelta(t, 1, share, 0, "%v without pressure", f)
		}
		g.late.Store(int64(75 * time.Millisecond)) // Half of the requests can be admitted.
		got := g.offer(4*time.Second, rates)
		require.InDelta(t, 1, got[calm], 0.05)
		require.InDelta(t, 1, got[urgent], 0.05, "a workspace that wants less than its part")
		require.InDelta(t, 0.36, got[hot], 0.08)
		g.late.Store(int64(107 * time.Millisecond)) // Some 15%: 150 a second, of which hot and both want 65 each.
		got = g.offer(4*time.Second, rates)
		require.Greater(t, got[calm], 0.9)
		require.Greater(t, got[urgent], 2*got[slow], "urgent requests first")
		require.Greater(t, got[slow], 0.05, "and others still")
		g.late.Store(int64(130 * time.Millisecond))
		for f, share := range g.offer(time.Second, rates) {
			require.Zero(t, share, "%v, all events are late", f)
		}
		g.late.Store(int64(0))
		for f, share := range g.offer(2*time.Second, rates) {
			require.InDelta(t, 1, share, 0, "%v after the pressure", f)
		}
	})
}

// TestUselessRequests guards against a pressed router that spends its processor on requests which it refuses later,
// such as those of a workspace without budget.
func TestUselessRequests(t *testing.T) {
	spent, calm := Flow{"spent", 0}, Flow{"calm", 0}
	rates := map[Flow]int{spent: 900, calm: 100}
	withGate(t, Limits{}, func(g *pressedGate) {
		g.useless = map[Flow]bool{spent: true}
		g.late.Store(int64(75 * time.Millisecond)) // Half of the requests can be admitted.
		got := g.offer(4*time.Second, rates)
		require.InDelta(t, 1, got[calm], 0.05)
		require.InDelta(t, usefulRate/900., got[spent], 0.01, "enough to see whether they are still refused")
		g.useless = nil
		got = g.offer(4*time.Second, rates)
		require.InDelta(t, 1, got[calm], 0.05)
		require.Greater(t, got[spent], 0.35, "they are admitted again")
	})
}

// TestOldLists guards against a router that was paused and sends requests to targets that have left meanwhile, once it has
// read the configuration.
func TestOldLists(t *testing.T) {
	var uptime atomic.Int64
	now := func() time.Duration { return time.Duration(uptime.Load()) }
	fence := func() *Fence {
		return NewFence(FenceOptions{
			Uptime: now, MaxAge: time.Second, Stalled: func(since time.Duration) time.Duration { return now() - since },
		})
	}
	synctest.Test(t, func(t *testing.T) {
		timer := jvtimer.NewService()
		defer timer.Close()
		o := DefaultGateOptions()
		o.Timer, o.Config, o.Targets = timer, fence(), fence()
		g := NewGate(o)
		read := func(f *Fence) { f.Record(Read{StartedAt: now(), EndedAt: now()}) }
		read(o.Config)
		read(o.Targets)
		require.Nil(t, g.Enter(Request{}))
		uptime.Store(int64(3 * time.Second))
		read(o.Config)
		require.Equal(t, KindStale, g.Enter(Request{}).Kind)
		ready, _ := g.Ready()
		require.False(t, ready)
		read(o.Targets)
		require.Nil(t, g.Enter(Request{}))
	})
}

// TestGateReasons checks the reasons for refusals, and that what was taken is returned.
func TestGateReasons(t *testing.T) {
	withGate(t, Limits{Requests: 1, Callers: 2, MemoryBytes: 100}, func(g *pressedGate) {
		require.Nil(t, g.Enter(Request{}))
		require.Equal(t, KindRequests, g.Enter(Request{}).Kind)
		g.Leave(Flow{}, false)
		require.True(t, g.EnterOther())
		g.LeaveOther()
		g.late.Store(int64(30 * time.Millisecond))
		require.Equal(t, KindLate, g.Enter(Request{Wait: 20 * time.Millisecond}).Kind)
		g.late.Store(int64(60 * time.Millisecond))
		require.False(t, g.EnterOther(), "requests of other routers come last")
		g.late.Store(int64(0))
		g.used.Store(101)
		time.Sleep(2 * updateInterval)
		require.Equal(t, KindMemory, g.Enter(Request{}).Kind)
		require.False(t, g.Accept(g.Callers()))
		g.used.Store(100)
		time.Sleep(2 * updateInterval)
		require.True(t, g.Accept(g.Callers()))
		require.True(t, g.Accept(g.Callers()))
		require.False(t, g.Accept(g.Callers()))
		ready, reason := g.Ready()
		require.False(t, ready)
		require.Equal(t, "no place for connections", reason)
		g.Callers().Return()
		time.Sleep(2 * fullTime)
		ready, _ = g.Ready()
		require.True(t, ready)
		g.late.Store(int64(time.Second))
		require.False(t, g.Accept(g.Callers()), "closing costs less than refusing")
		require.Equal(t, int64(3), g.Counts().Closed)
		require.Equal(t, map[Kind]int64{KindRequests: 1, KindLate: 1, KindMemory: 1}, g.Counts().Refused)
	})
}
