package jvtarget

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

func anyRequest(Request) bool { return true }

// serveNext serves the next waiter, and puts it back into the queue if it is to stay backlogged.
func serveNext(u *turns, l *waitQueue, tokens func(q Request) float64, stays bool, now time.Time) Request {
	i := u.next(*l, anyRequest)
	w := (*l)[i]
	*l = slices.Delete(*l, i, i+1)
	if stays {
		*l = append(*l, w)
	}
	u.served(w.request, *l, tokens(w.request), 10, now)
	return w.request
}

// TestTurnsShareByTokens guards against workspaces that get more than their share by large requests, by many requests, or
// by having come first, and against one that starves.
func TestTurnsShareByTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 20), 2, 8).Draw(t, "sizes")
		var l waitQueue
		for n := range sizes {
			for range rapid.IntRange(1, 5).Draw(t, "waiting") {
				l.push(&waiter{request: Request{Workspace: fmt.Sprint(n), OutputTokens: int64(sizes[n])}})
			}
		}
		u, now, had, last := newTurns(), time.Unix(0, 0), map[string]float64{}, map[string]int{}
		tokens := func(q Request) float64 { return float64(q.OutputTokens) }
		for n := range 300 {
			now = now.Add(time.Millisecond)
			q := serveNext(&u, &l, tokens, true, now)
			had[q.Workspace] += tokens(q)
			require.LessOrEqual(t, n-last[q.Workspace], 200, "workspace %s waited for its turn", q.Workspace)
			last[q.Workspace] = n
		}
		for workspace, tokens := range had {
			require.InDelta(t, had["0"], tokens, 0.1*had["0"]+40, workspace)
		}
		require.Len(t, had, len(sizes))
	})
}

// TestTurnsAgainstNewcomers guards against a workspace that starves since others that have had nothing yet keep coming.
func TestTurnsAgainstNewcomers(t *testing.T) {
	u, now := newTurns(), time.Unix(0, 0)
	one := func(Request) float64 { return 10 }
	for range 100 {
		u.served(Request{Workspace: "heavy"}, nil, 10, 10, now)
	}
	l := waitQueue{{request: Request{Workspace: "heavy"}}}
	for n := range 100 {
		l.push(&waiter{request: Request{Workspace: fmt.Sprint("new", n)}})
		now = now.Add(20 * time.Millisecond)
		if q := serveNext(&u, &l, one, false, now); q.Workspace == "heavy" {
			require.Greater(t, n, 3, "it has had much more than the others")
			return
		}
	}
	require.Fail(t, "the workspace got no turn")
}

// TestTurnsOfPriorities guards against lower priorities that get less than one slot in twenty, and against higher ones that
// lose more than that.
func TestTurnsOfPriorities(t *testing.T) {
	var l waitQueue
	for _, priority := range []int{-1, -5, -9} {
		l.push(&waiter{request: Request{Workspace: "w", Priority: priority}})
	}
	u, counts := newTurns(), map[int]int{}
	for range 2000 {
		counts[serveNext(&u, &l, func(Request) float64 { return 10 }, true, time.Unix(0, 0)).Priority]++
	}
	require.InDelta(t, 100, counts[-5], 5)
	require.InDelta(t, 100, counts[-9], 5)
}

// TestTurnsWithinPriority guards against an order within a workspace that is not by deadline, and against retries that may
// have run before requests that have not.
func TestTurnsWithinPriority(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	l := waitQueue{
		{request: Request{Workspace: "a", Deadline: at(3)}},
		{request: Request{Workspace: "a", Deadline: at(1), Retried: true}},
		{request: Request{Workspace: "a", Deadline: at(2)}},
		{request: Request{Workspace: "b", Deadline: at(9)}},
		{request: Request{Workspace: "b", Deadline: at(8), Bound: true, Version: "v"}},
	}
	require.Equal(t, 5, l.aheadInTurns(Request{Workspace: "a", Deadline: at(9), Retried: true}))
	require.Equal(t, 3, l.aheadInTurns(Request{Workspace: "a", Deadline: at(2)}))
	require.Equal(t, 3, l.aheadInTurns(Request{Workspace: "c", Deadline: at(9)}))
	require.Equal(t, 5, l.aheadInTurns(Request{Priority: -1}))
	require.Zero(t, l.aheadInTurns(Request{Priority: 1}))
	u := newTurns()
	var got []string
	for len(l) > 0 {
		q := serveNext(&u, &l, func(Request) float64 { return 10 }, false, at(0))
		got = append(got, fmt.Sprint(q.Workspace, q.Deadline.Unix()))
	}
	require.Equal(t, []string{"b8", "a2", "b9", "a3", "a1"}, got, "the bound request is a turn of b, so a is next, and then b")
}

// queueOrder returns the order in which a table with one slot serves requests that all wait.
func queueOrder(t *testing.T, requests []Request) (order []string) {
	synctest.Test(t, func(t *testing.T) {
		timer := jvtimer.NewService()
		defer timer.Close()
		table := newPool(timer, func() float64 { return 0.5 }, 1)
		var held []Lease
		for n := range 16 {
			l, err := table.Acquire(t.Context(), Request{Pool: "p", Attempt: fmt.Sprint("first", n), Deadline: timer.Now().Add(time.Minute)})
			require.NoError(t, err)
			held = append(held, l)
		}
		served := make(chan Lease)
		for _, q := range requests {
			q.Pool = "p"
			go func() {
				l, err := table.Acquire(t.Context(), q)
				require.NoError(t, err)
				served <- l
			}()
			synctest.Wait()
		}
		held[0].Release(ResultInconclusive)
		for range requests {
			l := <-served
			order = append(order, l.Attempt)
			l.Release(ResultInconclusive)
		}
	})
	return order
}

// TestQueueOrder guards against an order that changes where no request belongs to a workspace, and against one workspace
// that takes all slots where they do.
func TestQueueOrder(t *testing.T) {
	deadline := time.Date(2000, 1, 1, 0, 1, 0, 0, time.UTC) // The clock of a bubble starts at the beginning of 2000.
	var requests []Request
	for n := range 6 {
		requests = append(requests, Request{Attempt: fmt.Sprint("heavy", n), Workspace: "heavy", Priority: -5, Deadline: deadline})
	}
	requests = append(requests,
		Request{Attempt: "light", Workspace: "light", Priority: -5, Deadline: deadline},
		Request{Attempt: "retry", Workspace: "light", Priority: -5, Deadline: deadline.Add(-time.Second), Retried: true},
		Request{Attempt: "urgent", Workspace: "heavy", Priority: -1, Deadline: deadline})
	require.Equal(t, []string{"urgent", "light", "heavy0", "heavy1", "heavy2", "heavy3", "heavy4", "heavy5", "retry"}, queueOrder(t, requests))
	for i := range requests {
		requests[i].Workspace = ""
	}
	require.Equal(t, []string{"urgent", "heavy0", "heavy1", "heavy2", "heavy3", "heavy4", "heavy5", "light", "retry"}, queueOrder(t, requests))
}

// TestRefusedWorkspaces guards against retries that all return at once, and against random numbers that requests without a
// workspace use.
func TestRefusedWorkspaces(t *testing.T) {
	draws := 0
	table := &Table{random: func() float64 { draws++; return 0.5 }}
	require.Equal(t, time.Second, table.spreadRetry(Request{}, time.Second))
	require.Zero(t, draws)
	require.Equal(t, 3*time.Second, table.spreadRetry(Request{Workspace: "w"}, 2*time.Second))
	require.Equal(t, minRetryAfter*3/2, table.spreadRetry(Request{Workspace: "w"}, 0))
}
