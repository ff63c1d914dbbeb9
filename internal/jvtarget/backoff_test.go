package jvtarget

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// take acquires a slot now and returns its target and what ends the attempt, or "".
func take(t *testing.T, table *Table, attempt string) (target string, release func(Result)) {
	table.mu.Lock()
	defer table.mu.Unlock()
	lease, kind := table.pools["p"].acquire(table, Request{Pool: "p", Attempt: attempt})
	if kind != "" {
		return "", nil
	}
	require.Equal(t, attempt, lease.Attempt)
	return lease.Target.Name, lease.Release
}

// TestBackoff guards against requests to a target in the time that it has named with a refusal, and against sending it
// all that waits at the end of that time at once.
func TestBackoff(t *testing.T) {
	inSignTable(t, func(t *testing.T, table *Table) {
		setEntries(table, map[string]Process{"t0": {StartedAtMillis: 1}})
		const named = 3 * time.Second
		require.True(t, table.RecordBackoff("p", "t0", 1, named))
		time.Sleep(time.Second)
		require.False(t, table.RecordBackoff("p", "t0", 1, time.Second), "still in the time that it has named before")
		require.Equal(t, 1, table.CountBackoff())
		for range 20 {
			require.Empty(t, acquireNow(table, Request{Pool: "p"}))
			time.Sleep((named - time.Second) / 20)
		}
		require.Zero(t, table.CountBackoff())
		first, release := take(t, table, "1")
		require.Equal(t, "t0", first)
		second, _ := take(t, table, "2")
		require.Empty(t, second, "one request first")
		release(ResultInconclusive)
		first, _ = take(t, table, "3")
		require.Equal(t, "t0", first, "a refusal without a time lets the next one try")
		table.RecordResponse("p", "t0", table.timer.Now())
		second, _ = take(t, table, "4")
		require.Equal(t, "t0", second, "one more for a response")
	})
}

// TestBackoffChanges checks that a later value only prolongs the time, and that it ends with the process.
func TestBackoffChanges(t *testing.T) {
	used := func(table *Table) bool { return acquireNow(table, Request{Pool: "p"})["t0"] }
	inSignTable(t, func(t *testing.T, table *Table) {
		table.RecordBackoff("p", "t0", 1, 2*time.Second)
		table.RecordBackoff("p", "t0", 1, time.Second)
		time.Sleep(1500 * time.Millisecond)
		require.False(t, used(table))
		table.RecordBackoff("p", "t0", 1, 2*time.Second)
		time.Sleep(1900 * time.Millisecond)
		require.False(t, used(table))
		time.Sleep(100 * time.Millisecond)
		require.True(t, used(table))
	})
	inSignTable(t, func(t *testing.T, table *Table) {
		table.RecordBackoff("p", "t0", 1, time.Minute)
		setEntries(table, map[string]Process{"t0": {StartedAtMillis: 2}, "t1": {StartedAtMillis: 1}})
		require.True(t, used(table))
		require.False(t, table.RecordBackoff("p", "t0", 1, time.Minute), "a response of the earlier process")
		require.True(t, used(table))
	})
}

// TestReturnEndsWithoutResponses guards against a target that gets one request at a time for as long as that one lasts.
func TestReturnEndsWithoutResponses(t *testing.T) {
	inSignTable(t, func(t *testing.T, table *Table) {
		setEntries(table, map[string]Process{"t0": {StartedAtMillis: 1}})
		table.RecordBackoff("p", "t0", 1, time.Second)
		time.Sleep(time.Second)
		_, _ = take(t, table, "1")
		time.Sleep(returnTime)
		second, _ := take(t, table, "2")
		require.Equal(t, "t0", second)
	})
}

// TestAllTargetsNameATime guards against requests that wait for targets which want none, and against callers that are
// sent back before the first of them does.
func TestAllTargetsNameATime(t *testing.T) {
	inSignTable(t, func(t *testing.T, table *Table) {
		start := table.timer.Now()
		q := Request{Pool: "p", Deadline: start.Add(time.Minute)}
		for n := range 4 {
			q.Attempt = fmt.Sprint(n)
			_, err := table.Acquire(context.Background(), q)
			require.NoError(t, err)
		}
		failed := make(chan error, 1)
		go func() {
			_, err := table.Acquire(context.Background(), Request{Pool: "p", Attempt: "4", Deadline: q.Deadline})
			failed <- err
		}()
		requireRefused := func(err error, rest time.Duration) {
			var refusal *Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, KindBackoff, refusal.Cause.Kind)
			require.Equal(t, rest, refusal.RetryAfter)
		}
		table.RecordBackoff("p", "t0", 1, 3*time.Second)
		synctest.Wait()
		require.Empty(t, failed, "the other one is full, but wants requests")
		table.RecordBackoff("p", "t1", 1, 300*time.Millisecond)
		requireRefused(<-failed, 300*time.Millisecond)
		require.Zero(t, table.timer.Since(start))
		_, err := table.Acquire(context.Background(), q)
		requireRefused(err, 300*time.Millisecond)
		_, err = table.Acquire(context.Background(), Request{Pool: "p", Bound: true, Version: "t0", Deadline: q.Deadline})
		requireRefused(err, 3*time.Second)
		require.Equal(t, 300*time.Millisecond, table.Rest(q))
		table.RecordLeaving("p", "t1", 1)
		require.Equal(t, 3*time.Second, table.Rest(q))
		require.Zero(t, table.Rest(Request{Pool: "other"}))
	})
}

// TestBackoffHistories guards against requests in any time that a target has named, whatever it names and however other
// targets behave, and checks that the return is at most spread out by the bound.
func TestBackoffHistories(t *testing.T) {
	type step struct {
		pause time.Duration
		// named is the time that the target names with a refusal; 0 accepts the request.
		named time.Duration
	}
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			return step{
				pause: time.Duration(rapid.IntRange(0, 1500).Draw(r, "pause")) * time.Millisecond,
				named: time.Duration(max(rapid.IntRange(-10_000, 20_000).Draw(r, "named"), 0)) * time.Millisecond,
			}
		}), 1, 60).Draw(r, "steps")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
		failure := "" // Rapid's own functions must not be called in the bubble.
		inSignTable(t, func(t *testing.T, table *Table) {
			table.random = random.Float64
			named := map[string]time.Time{}
			for n, s := range steps {
				time.Sleep(s.pause)
				now := table.timer.Now()
				target, release := take(t, table, fmt.Sprint(n))
				switch first := min(named["t0"].Sub(now), named["t1"].Sub(now)); {
				case target == "" && first <= -maxReturnSpread:
					failure = fmt.Sprintf("no request in step %d although a target wants some since %s", n, -first)
				case target != "" && now.Before(named[target]):
					failure = fmt.Sprintf("a request in step %d to %s, %s before the end", n, target, named[target].Sub(now))
				}
				if target == "" {
					continue
				}
				if s.named > 0 {
					table.RecordBackoff("p", target, 1, s.named)
					named[target] = now.Add(s.named)
				} else {
					table.RecordResponse("p", target, now)
				}
				release(ResultInconclusive)
			}
		})
		require.Empty(r, failure)
	})
}

// TestReturnOfManyRouters guards against all routers of a fleet that return at once to a target which has refused them at
// the same time: at most a third of them do so in any tenth of a second.
func TestReturnOfManyRouters(t *testing.T) {
	const routers, named, step = 83, time.Second, 10 * time.Millisecond
	inSignTable(t, func(t *testing.T, first *Table) {
		var tables []*Table
		for n := range routers {
			random := rand.New(rand.NewPCG(uint64(n), 0))
			table := NewTable("a", first.timer, random.Float64).WithSharers(func() (int, int) { return n, routers })
			setEntries(table, map[string]Process{"t0": {StartedAtMillis: 1}})
			table.RecordBackoff("p", "t0", 1, named)
			tables = append(tables, table)
		}
		time.Sleep(named)
		var counts []int // Of routers that return, by step.
		back := map[*Table]bool{}
		for range int(maxReturnSpread/step) + 1 {
			count := 0
			for _, table := range tables {
				if name, _ := take(t, table, "1"); name != "" && !back[table] {
					back[table] = true
					count++
				}
			}
			counts = append(counts, count)
			time.Sleep(step)
		}
		require.Len(t, back, routers)
		most := 0
		for n := range counts {
			sum := 0
			for _, c := range counts[n:min(n+10, len(counts))] {
				sum += c
			}
			most = max(most, sum)
		}
		require.LessOrEqual(t, most, routers/3)
	})
}
