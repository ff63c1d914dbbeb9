package jvtarget

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// TestExpected guards against reports that count in full when they are old, and against figures that make a target free.
func TestExpected(t *testing.T) {
	const mean = 40 * time.Millisecond
	for _, c := range []struct {
		name string
		o    outlook
		want time.Duration
	}{
		{"idle", outlook{}, 15 * time.Millisecond},
		{"others", outlook{others: 4, work: mean}, 95 * time.Millisecond},
		{"usual in place of a report without influence", outlook{others: 4, usual: 1, reportAge: time.Second, work: mean}, 35 * time.Millisecond},
		{"half of each", outlook{others: 4, usual: 2, reportAge: time.Second / 2, work: mean}, 75 * time.Millisecond},
		{"slow now", outlook{own: 5 * time.Millisecond, figure: 250}, 50 * time.Millisecond},
		{"slow half a second ago", outlook{own: 5 * time.Millisecond, figure: 250, figureAge: time.Second / 2}, 35 * time.Millisecond},
		{"slow long ago", outlook{own: 5 * time.Millisecond, figure: 250, figureAge: 2 * time.Second}, 20 * time.Millisecond},
		{"report of a clock that is ahead", outlook{others: 4, reportAge: -time.Minute, work: mean}, 95 * time.Millisecond},
		{"a figure of nearly 0", outlook{own: 85 * time.Millisecond, figure: 0.001}, 25 * time.Millisecond},
	} {
		require.InDelta(t, c.want, c.o.expected(10*time.Millisecond), float64(time.Microsecond), c.name)
	}
}

// TestSlowness guards against a speed that follows single samples, and against one that never settles.
func TestSlowness(t *testing.T) {
	var pool, slow, fast speed
	require.InDelta(t, 1, slow.slowness(pool), 0)
	for n := range 200 {
		slow, pool = slow.with(20*time.Millisecond, 10*time.Millisecond, speedDecay), pool.with(20*time.Millisecond, 10*time.Millisecond, poolSpeedDecay)
		fast, pool = fast.with(10*time.Millisecond, 10*time.Millisecond, speedDecay), pool.with(10*time.Millisecond, 10*time.Millisecond, poolSpeedDecay)
		if n == 0 {
			require.Less(t, slow.slowness(pool), 1.2)
		}
	}
	require.InDelta(t, 1.25, slow.slowness(pool), 0.1)
	require.InDelta(t, 0.75, fast.slowness(pool), 0.1)
}

// TestSelectExpected guards against a selected target without a free slot, and against one that replaces the preferred
// target though it is not expected to be faster.
func TestSelectExpected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "n")
		list, times, free := make([]Candidate, n), make([]time.Duration, n), 0
		for i := range list {
			list[i] = Candidate{Name: fmt.Sprint(i), Slots: 2, Busy: rapid.Int64Range(0, 2).Draw(t, "busy")}
			times[i] = time.Duration(rapid.IntRange(0, 5).Draw(t, "time"))
			if list[i].Busy < 2 {
				free++
			}
		}
		prefix := rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "prefix")
		random := func() float64 { return rapid.Float64Range(0, 0.999999).Draw(t, "random") }
		i, preferred := DefaultWeights().SelectExpected(list, prefix, random, func(i int, preferred bool) time.Duration {
			if preferred {
				return max(times[i]-1, 0)
			}
			return times[i]
		})
		if free == 0 {
			require.Equal(t, -1, i)
			return
		}
		require.Less(t, list[i].Busy, list[i].Slots)
		if prefix == "" {
			require.False(t, preferred)
			return
		}
		first := rendezvous(list, freeCandidates(list), prefix, true)
		require.Equal(t, i == first, preferred)
		require.True(t, preferred || times[i] < max(times[first]-1, 0))
	})
}

// newPool returns a table with one pool p of n targets with 16 slots in zones a to c.
func newPool(timer *jvtimer.Service, random func() float64, n int) *Table {
	weights := Weights{CrossZone: 0.10, PrefixBonus: 0.75, PrefixAnyZone: true, MaxReportAge: time.Second}
	table := NewTableWith("a", timer, random, weights, unlimited{})
	targets := make([]jvconfig.Target, n)
	for i := range targets {
		targets[i] = jvconfig.Target{Name: fmt.Sprintf("t%d", i), Zone: string(rune('a' + i%3)), Slots: 16}
	}
	table.SetPools(map[string][]jvconfig.Target{"p": targets}, func(string) bool { return false })
	return table
}

// TestSelectionWithoutFigures guards against a selection that changes where no target reports a work figure: it is the
// one by counts, for the same random numbers, whatever is known of tokens, memory and speeds.
func TestSelectionWithoutFigures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := jvtimer.NewService()
		defer timer.Close()
		random, again, choice := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(3, 4))
		table := newPool(timer, random.Float64, 20)
		p := table.pools["p"]
		leases := make([]Lease, 0, 64)
		for n := range 3000 {
			q := Request{
				Pool: "p", Attempt: fmt.Sprint(n), Prefix: []string{"", "x", "y"}[choice.IntN(3)], Deadline: timer.Now().Add(time.Minute),
				PromptTokens: choice.Int64N(9000), OutputTokens: choice.Int64N(400), SharedTokens: 600, CapacityTokens: 1000,
			}
			table.mu.Lock()
			list := p.candidates(table, q)
			table.mu.Unlock()
			want := list[table.weights.Select(list, q.Prefix, again.Float64)].Name
			l, err := table.Acquire(t.Context(), q)
			require.NoError(t, err)
			require.Equal(t, want, l.Target.Name)
			time.Sleep(time.Duration(choice.IntN(20)) * time.Millisecond)
			l.Began()
			table.RecordLoad("p", want, Load{Busy: choice.Int64N(16), Slots: 16, ReportedAt: timer.Now()})
			if leases = append(leases, l); len(leases) == cap(leases) {
				leases[0].Release(ResultSucceeded)
				leases = slices.Delete(leases, 0, 1)
			}
		}
		for _, l := range leases {
			l.Release(ResultSucceeded)
		}
		for name, g := range p.targets {
			require.Zero(t, g.ownWork, "work that is never given back keeps requests from %s", name)
			require.Zero(t, g.ownTokens, name)
		}
	})
}

// TestMemory guards against requests that exceed a target's KV memory, those that wait for memory for ever, and those that
// wait though no target can ever hold them.
func TestMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := jvtimer.NewService()
		defer timer.Close()
		table := newPool(timer, func() float64 { return 0 }, 1)
		table.RecordLoad("p", "t0", Load{Figure: 100, ReportedAt: timer.Now()})
		acquire := func(attempt string, prompt int64) (Lease, error) {
			return table.Acquire(t.Context(), Request{Pool: "p", Attempt: attempt, PromptTokens: prompt, OutputTokens: 100, CapacityTokens: 10_000, Deadline: timer.Now().Add(time.Minute)})
		}
		_, err := acquire("1", 9500)
		require.Equal(t, KindNoTarget, jvfault.KindOf[Kind](err))
		first, err := acquire("2", 5000)
		require.NoError(t, err)
		go func() {
			time.Sleep(time.Second)
			first.Release(ResultSucceeded)
		}()
		began := timer.Now()
		_, err = acquire("3", 5000)
		require.NoError(t, err)
		require.Equal(t, time.Second, timer.Since(began))
		table.RecordLoad("p", "t0", Load{Busy: 2, Figure: 100, ReportedAt: timer.Now()})
		require.False(t, table.Accepts(Request{Pool: "p", PromptTokens: 500, CapacityTokens: 10_000}), "another router's request takes memory, too")
		time.Sleep(figureTime)
		require.True(t, table.Accepts(Request{Pool: "p", PromptTokens: 500, CapacityTokens: 10_000}), "no target reports a figure any more")
	})
}

// simTarget is the model of a target: prompts are read one after another, and tokens come in steps of all requests.
type simTarget struct {
	speed     float64 // Work done in a unit of time.
	slowUntil time.Time
	nextSlow  time.Time
	readUntil time.Time
	running   int64
	served    int
	kept      []string // Prefixes whose tokens are still in memory, the latest first.
}

// slowness returns how many times the usual time work takes, and how many times its own usual time.
func (g *simTarget) slowness(now time.Time, random *rand.Rand) (all, own float64) {
	if !g.nextSlow.IsZero() && now.After(g.nextSlow) {
		g.slowUntil, g.nextSlow = now.Add(600*time.Millisecond), now.Add(time.Duration(1+random.IntN(4))*time.Second)
	}
	own = 1
	if now.Before(g.slowUntil) {
		own = 2.5
	}
	return own / g.speed, own
}

// expected returns the time until the first event of a request with a number of prompt tokens.
func (g *simTarget) expected(now time.Time, tokens int64, random *rand.Rand) time.Duration {
	slow, _ := g.slowness(now, random)
	steps := 1 + float64(g.running)/32 // Prompts are read between the tokens of other requests.
	return max(g.readUntil.Sub(now), 0) + time.Duration(slow*steps*float64(readTime(tokens)))
}

// simResult is what a policy achieved.
type simResult struct {
	p50, p99  time.Duration
	busiest   float64
	preferred float64
}

// simulate sends requests through many routers to 60 targets. policy is count, expected or full.
func simulate(t *testing.T, policy string, perSecond float64) (result simResult) {
	const routers, targets, requests, shared, maxKept = 74, 60, 12_000, 2400, 12
	synctest.Test(t, func(t *testing.T) {
		timer := jvtimer.NewService()
		defer timer.Close()
		random := rand.New(rand.NewPCG(5, 6))
		sims, list, all := make([]simTarget, targets), make([]Candidate, targets), make([]int, targets)
		for i := range sims {
			sims[i] = simTarget{speed: []float64{0.55, 1.2, 1.2, 1.2}[i%4]}
			list[i], all[i] = Candidate{Name: fmt.Sprintf("t%d", i)}, i
			if i%7 == 0 {
				sims[i].nextSlow = timer.Now().Add(time.Duration(random.IntN(3000)) * time.Millisecond)
			}
		}
		tables := make([]*Table, routers)
		for i := range tables {
			tables[i] = newPool(timer, random.Float64, targets)
		}
		var mu sync.Mutex // Of the model: requests that end at the same moment run at once.
		var waits []time.Duration
		preferred := 0
		for n := range requests {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond))
			// A tenth of the routers get half of the requests.
			table := tables[random.IntN([]int{routers / 10, routers}[n%2])]
			prefix := fmt.Sprintf("p%d", random.IntN(400))
			prompt, output := shared+int64(random.IntN(6000)), int64(20+random.IntN(380))
			running := func() {
				now := timer.Now()
				var lease Lease
				var i int
				unread := func(g *simTarget) int64 {
					if slices.Contains(g.kept, prefix) {
						return prompt - shared
					}
					return prompt
				}
				if policy == "full" {
					mu.Lock()
					lowest := time.Duration(math.MaxInt64)
					for k := range sims {
						if d := sims[k].expected(now, unread(&sims[k]), random); sims[k].running < 16 && d < lowest {
							i, lowest = k, d
						}
					}
					mu.Unlock()
				} else {
					var err error
					lease, err = table.Acquire(context.Background(), Request{
						Pool: "p", Attempt: fmt.Sprint(n), Prefix: prefix, Deadline: now.Add(time.Minute),
						PromptTokens: prompt, OutputTokens: output, SharedTokens: shared,
					})
					if err != nil {
						return
					}
					_, _ = fmt.Sscanf(lease.Target.Name, "t%d", &i)
				}
				mu.Lock()
				g := &sims[i]
				slow, own := g.slowness(timer.Now(), random)
				figure := 0.0
				if policy == "expected" {
					figure = 100 * own
				}
				if rendezvous(list, all, prefix, false) == i {
					preferred++
				}
				g.readUntil = timer.Now().Add(g.expected(timer.Now(), unread(g), random))
				g.kept = slices.DeleteFunc(g.kept, func(p string) bool { return p == prefix })
				g.kept = slices.Insert(g.kept, 0, prefix)[:min(len(g.kept)+1, maxKept)]
				g.running++
				g.served++
				busy, readUntil := g.running, g.readUntil
				mu.Unlock()
				if policy != "full" {
					table.RecordLoad("p", lease.Target.Name, Load{Busy: busy, Figure: figure, ReportedAt: timer.Now()})
				}
				time.Sleep(readUntil.Sub(timer.Now()))
				mu.Lock()
				waits = append(waits, timer.Since(now))
				mu.Unlock()
				if policy != "full" {
					lease.Began()
				}
				time.Sleep(time.Duration(slow * float64(output) * float64(stepTime)))
				mu.Lock()
				g.running--
				mu.Unlock()
				if policy != "full" {
					lease.Release(ResultSucceeded)
				}
			}
			go running()
			synctest.Wait()
		}
		time.Sleep(10 * time.Minute)
		slices.Sort(waits)
		busiest := 0
		for _, g := range sims {
			busiest = max(busiest, g.served)
		}
		require.Equal(t, requests, len(waits))
		result = simResult{
			p50: waits[len(waits)/2], p99: waits[len(waits)*99/100],
			busiest: float64(busiest) * targets / requests, preferred: float64(preferred) / requests,
		}
	})
	return result
}

// TestExpectedTimeAgainstCounts guards against a selection by expected time that is worse than the one by counts, or that
// herds: 74 routers read reports of different ages.
func TestExpectedTimeAgainstCounts(t *testing.T) {
	results := map[string]simResult{}
	for _, policy := range []string{"count", "expected", "full"} {
		r := simulate(t, policy, 400)
		results[policy] = r
		t.Logf("%s: p50 %s, p99 %s, busiest %.2f of the mean, preferred %.2f", policy, r.p50.Round(time.Millisecond), r.p99.Round(time.Millisecond), r.busiest, r.preferred)
	}
	count, expected, full := results["count"], results["expected"], results["full"]
	require.Less(t, expected.p99, count.p99*3/4)
	require.Less(t, expected.p50, count.p50*3/2)
	require.Less(t, expected.busiest, count.busiest)
	require.Greater(t, expected.preferred, 0.6)
	require.Less(t, full.p99, expected.p99, "the model shows no difference between selections")
}
