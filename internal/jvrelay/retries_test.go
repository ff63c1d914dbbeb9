package jvrelay

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRetriesOfAllRouters guards against retries that each router allows for itself where the platform's
// bound is summed over all of them (incident BUDGET, issue 17): in a pool whose targets fail, the retries
// of a large fleet stay within share and slack, also when all routers start again in the same window.
func TestRetriesOfAllRouters(t *testing.T) {
	const (
		share, slack = 0.2, 164 // The bounds of a site with 62 routers.
		requests     = 20
	)
	for _, routers := range []int{8, 62} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, retries := 0, 0
				run := func(s *fixture, n int, fail bool) {
					for range n {
						s.sender.sent = nil
						s.sender.scripts = []script{{status: 500, body: "failed"}, {status: 200, body: "answer"}}
						if !fail {
							s.sender.scripts = s.sender.scripts[1:]
						}
						s.serve(t.Context(), t, "safe", nil)
						first++
						retries += len(s.sender.sent) - 1
					}
				}
				for range routers {
					s := newFleetFixture(t, routers, share, slack)
					run(s, 4*requests, false) // Unused retries are saved.
				}
				first, retries = 0, 0
				for range routers {
					s := newFleetFixture(t, routers, share, slack)
					run(s, 4*requests, false)
					first -= 4 * requests // These came before the window.
					run(s, requests, true)
					restarted := newFleetFixture(t, routers, share, slack)
					run(restarted, requests, true)
				}
				require.LessOrEqual(t, float64(retries), share*float64(first)+slack, "%d retries of %d requests", retries, first)
				require.Positive(t, retries)
			})
		})
	}
}

// newFleetFixture returns a relay in a fleet of routers whose retries are bounded together.
func newFleetFixture(t *testing.T, routers int, share, slack float64) *fixture {
	return newFixtureWith(t, func(o *Options) {
		*o = o.WithRetryBound(share, slack)
		o.CountRouters = func() (int, bool) { return routers, true }
	})
}

// TestFleetSizeIsHeld guards against a router that takes the whole slack for its own: while the store is
// away, or right after, other routers seem to be gone.
func TestFleetSizeIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var routers atomic.Int64
		var current atomic.Bool
		routers.Store(62)
		s := newFixtureWith(t, func(o *Options) {
			*o = o.WithRetryBound(0.2, 164)
			o.CountRouters = func() (int, bool) { return int(routers.Load()), current.Load() }
		})
		retries := s.relay.retries
		retries.budget("p")
		for _, c := range []struct {
			routers int
			current bool
			wait    time.Duration
			want    int
		}{
			{62, true, time.Second, 62},
			{1, false, time.Hour, 62},
			{1, true, fleetSizeHold / 2, 62},
			{62, true, time.Second, 62},
			{80, false, time.Second, 80},
			{40, true, fleetSizeHold + time.Second, 40},
		} {
			routers.Store(int64(c.routers))
			current.Store(c.current)
			time.Sleep(c.wait)
			synctest.Wait()
			require.Equal(t, c.want, retries.fleetSize(), "%+v", c)
		}
	})
}
