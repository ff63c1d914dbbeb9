package jvrelay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvroute"
)

// TestLateRequestsAreRefused guards against a stopping router that takes requests which it has to break off: what
// can't be expected to end before the drain does is refused as not run, and what can, or ends by its deadline, is
// served.
func TestLateRequestsAreRefused(t *testing.T) {
	const refused = "refused 503 stopping, retry after 50ms"
	plan := PlanStop(8 * time.Second)
	for _, c := range []struct {
		name string
		// known is how long earlier responses took; there are 20 if it is positive.
		known time.Duration
		// at is when the request arrives after the stop began, wait how long its caller waits.
		at, wait time.Duration
		// tokens is the request's maximum output, that of earlier ones is 80.
		tokens int64
		served bool
	}{
		{"ends in time", 300 * time.Millisecond, 0, time.Minute, 80, true},
		{"ends in time after the notice", 300 * time.Millisecond, plan.Notice + time.Second, time.Minute, 80, true},
		{"can't end before the drain does", 300 * time.Millisecond, plan.DrainEnd() - 200*time.Millisecond, time.Minute, 80, false},
		{"needs all that is left", 300 * time.Millisecond, plan.DrainEnd() - 500*time.Millisecond, time.Minute, 80, false},
		{"may have more output than earlier ones", 1500 * time.Millisecond, time.Second, time.Minute, 80 * 5, false},
		{"as much output as earlier ones", 1500 * time.Millisecond, time.Second, time.Minute, 80, true},
		{"its deadline passes first", 1500 * time.Millisecond, plan.DrainEnd() - time.Second, 900 * time.Millisecond, 80, true},
		{"nothing is known in the notice", 0, time.Second, time.Minute, 80, true},
		{"nothing is known after the notice", 0, plan.Notice + time.Second, time.Minute, 80, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixture(t, script{status: 200, body: "id: 1\ndata: x\n\n"})
				table := newTable(2, false)
				route, ok := table.Match("h", "/stream/x")
				require.True(t, ok)
				route.Timeout = 0
				s.relay.Configure(table.WithRoutes([]jvroute.Route{route}))
				for range 20 {
					if c.known > 0 {
						s.relay.durations.add("stream", duration{first: c.known / 10, rest: c.known * 9 / 10, tokens: 80})
					}
				}
				s.relay.Stop(plan)
				time.Sleep(c.at)
				got := s.serve(t.Context(), t, "stream", func(q *Request) {
					q.Usage.OutputTokens = c.tokens
					q.Deadline = q.ArrivedAt.Add(c.wait)
				})
				if c.served {
					require.Contains(t, got, "data: x")
					return
				}
				require.Equal(t, refused, got)
			})
		})
	}
}

// TestDurations checks that whole responses are remembered by route, the latest of them, and only these.
func TestDurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, script{status: 200, body: "id: 1\ndata: x\n\n", delay: 100 * time.Millisecond}, script{status: 500, body: "failed"})
		s.serve(t.Context(), t, "fixed", nil)
		s.serve(t.Context(), t, "fixed", nil)
		share, known := s.relay.durations.within("fixed", 80, 100*time.Millisecond)
		require.Equal(t, 1, known)
		require.InDelta(t, 1, share, 0)
		share, _ = s.relay.durations.within("fixed", 80, 99*time.Millisecond)
		require.Zero(t, share)
		for range 2 * maxDurations {
			s.relay.durations.add("fixed", duration{rest: time.Second, tokens: 40})
		}
		share, known = s.relay.durations.within("fixed", 80, 2*time.Second)
		require.Equal(t, maxDurations, known)
		require.InDelta(t, 1, share, 0)
		share, _ = s.relay.durations.within("fixed", 80, 2*time.Second-1)
		require.Zero(t, share, "twice as much output takes twice as long")
	})
}
