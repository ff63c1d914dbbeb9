package jvlimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The platform's rule for cold targets: in no second does one get more than coldFactor times its rate and slack requests
// more, from all routers.
const coldFactor = 1.5

// chill makes targets cold for a time, each with a rate, as all routers read it from the targets' records.
func (f *fleet) chill(d time.Duration, rates ...float64) {
	for n, rate := range rates {
		g := &target{name: fmt.Sprint("cold-", n)}
		f.targets = append(f.targets, g)
		for _, r := range f.routers {
			r.SetCold(g.name, rate, f.timer.Now().Add(d))
		}
	}
}

// mostInSecond returns the most requests that a target got in some second.
func (g *target) mostInSecond() int {
	most, first := 0, 0
	for n, at := range g.sent {
		for at.Sub(g.sent[first]) > time.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// TestColdTargets guards against a zone that comes back with cold targets while all routers have requests for each of them:
// together they must send no target more than it bears, over changes of period, and must use a part of it.
func TestColdTargets(t *testing.T) {
	for _, routers := range []int{1, 6, 85, 330} {
		t.Run(fmt.Sprint("routers=", routers), func(t *testing.T) {
			inFleet(t, routers, func(f *fleet) {
				rates := []float64{1, 8, 24, 24}
				f.chill(30*time.Second, rates...)
				f.drive(25 * time.Second)
				for n, g := range f.targets {
					require.LessOrEqual(t, float64(g.mostInSecond()), coldFactor*rates[n]+slack, "%s", g.name)
					require.GreaterOrEqual(t, float64(len(g.sent)), 0.3*rates[n]*25, "%s", g.name)
				}
				require.Equal(t, len(rates), f.routers[0].CountCold())
				time.Sleep(5 * time.Second)
				for _, r := range f.routers {
					_, limited := r.Wait("cold-0")
					require.False(t, limited, "the cold time has passed")
				}
				require.Zero(t, f.routers[0].CountCold())
				require.Zero(t, f.routers[0].Count(), "no target names a limit")
			})
		})
	}
}

// TestColdTargetWithLimit guards against a cold target that also names a limit, of which only one holds.
func TestColdTargetWithLimit(t *testing.T) {
	inFleet(t, 6, func(f *fleet) {
		f.name(2, 100)
		for _, r := range f.routers {
			r.SetCold("target-0", 24, f.timer.Now().Add(time.Minute))
			r.SetCold("target-1", 4, f.timer.Now().Add(time.Minute))
		}
		f.drive(knownWithin)
		named := f.timer.Now()
		f.drive(30 * time.Second)
		f.requireWithin(named, 0)
		require.LessOrEqual(t, float64(f.targets[1].mostInSecond()), coldFactor*4+slack)
		for _, r := range f.routers {
			r.SetCold("target-1", 0, time.Time{})
		}
		ended := f.timer.Now()
		f.drive(10 * time.Second)
		require.Greater(t, f.targets[1].most(ended), 100, "only its own limit holds")
	})
}

// TestColdTargetBeforeRegistration guards against a router that starts while a zone comes back: until the others know it,
// it must send cold targets nothing, since they use the whole rate.
func TestColdTargetBeforeRegistration(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		r := f.join(0)
		r.client.Set(true, true)
		r.SetCold("c", 24, f.timer.Now().Add(time.Minute))
		wait, limited := r.Wait("c")
		require.True(t, limited)
		require.Positive(t, wait)
		wait, limited = r.Wait("warm")
		require.False(t, limited)
		require.Zero(t, wait)
	})
}
