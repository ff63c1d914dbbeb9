package jvlimit

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
	"github.com/jasminevale/jasminevale/internal/jvtopic"
)

// The platform's rule: from knownWithin after a target first named its limit, it gets in some window at most
// factor times what that allows and slack requests more, from all routers that it has told.
const (
	knownWithin = 3 * time.Second
	window      = 4 * time.Second
	factor      = 1.5
	slack       = 5
)

// router is one router's limits.
type router struct {
	*Limits
	client *jvtopic.Client
	// offset is how much its clock is ahead.
	offset time.Duration
	// down is true while its process has ended.
	down bool
	stop func()
}

// target is a target that names a limit, or none.
type target struct {
	name string
	// limit is nil while the target names none.
	limit *float64
	// sent are the times at which routers sent it requests.
	sent []time.Time
}

// fleet is some routers that share a topic, and targets.
type fleet struct {
	t       *testing.T
	topic   *jvtopic.Topic
	timer   *jvtimer.Service
	random  *jvchance.Source
	routers []*router
	targets []*target
}

// inFleet runs a test with n routers on a fake clock.
func inFleet(t *testing.T, n int, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, topic: jvtopic.New(), timer: jvtimer.NewService(), random: jvchance.NewSource([32]byte{byte(n)})}
		for range n {
			f.join(0)
		}
		time.Sleep(2 * time.Second)
		test(f)
		for _, r := range f.routers {
			r.stop()
		}
		f.timer.Close()
	})
}

// join starts a router whose clock is ahead by an offset.
func (f *fleet) join(offset time.Duration) *router {
	r := &router{client: jvtopic.NewClient(f.topic, jvtopic.MutantNone), offset: offset}
	f.routers = append(f.routers, r)
	f.start(r, fmt.Sprint("router-", len(f.routers)))
	return r
}

// start starts a router's process.
func (f *fleet) start(r *router, name string) {
	o := DefaultOptions()
	o.Name, o.Router, o.Topic, o.Timer, o.Random = "limits", name, r.client, f.timer, f.random.Float
	o.Clock = func() time.Time { return f.timer.Now().Add(r.offset) }
	r.Limits = New(o)
	r.down = false
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	r.stop = func() {
		cancel()
		running.Wait()
	}
}

// kill ends a router's process, restart starts it again.
func (f *fleet) kill(r *router) {
	r.stop()
	r.stop = func() {}
	r.down = true
}

// leave ends a router's process by a planned stop.
func (f *fleet) leave(r *router) {
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
	defer cancel()
	r.Close(ctx)
	f.kill(r)
}

func (f *fleet) restart(r *router) { f.start(r, r.options.Router) }

// name makes the targets name limits, one each.
func (f *fleet) name(limits ...float64) {
	for n, l := range limits {
		f.targets = append(f.targets, &target{name: fmt.Sprint("target-", n), limit: &l})
	}
}

// drive lets all routers send as many requests as they may for a time; each of them asks every 20 ms, at a
// random moment.
func (f *fleet) drive(d time.Duration) {
	const interval = 20 * time.Millisecond
	for end := f.timer.Now().Add(d); f.timer.Now().Before(end); {
		order := int(f.random.Float() * float64(len(f.routers)))
		for n := range f.routers {
			if r := f.routers[(n+order)%len(f.routers)]; !r.down {
				for range max(1, 8/len(f.routers)) {
					for _, g := range f.targets {
						f.send(r, g)
					}
				}
			}
		}
		time.Sleep(interval)
		synctest.Wait()
	}
}

// send sends a request if the router may, and hears the response.
func (f *fleet) send(r *router, g *target) {
	if wait, limited := r.Wait(g.name); limited && wait > 0 {
		return
	}
	r.Take(g.name)
	now := f.timer.Now()
	g.sent = append(g.sent, now)
	r.Hear(g.name, 1, now, g.limit)
}

// most returns the most requests that a target got in some window from a time on.
func (g *target) most(from time.Time) int {
	most, first := 0, 0
	for n, at := range g.sent {
		for first < n && (at.Sub(g.sent[first]) > window || g.sent[first].Before(from)) {
			first++
		}
		if !at.Before(from) {
			most = max(most, n-first+1)
		}
	}
	return most
}

// requireWithin requires that targets get no more than their limits allow from a time on, and at least a
// share of their limits since.
func (f *fleet) requireWithin(from time.Time, usedShare float64) {
	f.t.Helper()
	for _, g := range f.targets {
		allowed := factor**g.limit*window.Seconds() + slack
		require.LessOrEqual(f.t, float64(g.most(from)), allowed, "%s with a limit of %g", g.name, *g.limit)
		used := 0
		for _, at := range g.sent {
			if !at.Before(from) {
				used++
			}
		}
		whole := *g.limit * f.timer.Since(from).Seconds()
		require.GreaterOrEqual(f.t, float64(used), math.Floor(usedShare*whole), "%s with a limit of %g", g.name, *g.limit)
	}
}

// TestLimitsOfAllRouters guards against limits that each router obeys alone, or of which each has a part with
// a floor or a first request at once: targets must get no more than their limits
// from all routers together, and at least half of them, with few and many routers.
func TestLimitsOfAllRouters(t *testing.T) {
	for _, routers := range []int{1, 6, 83} {
		t.Run(fmt.Sprint("routers=", routers), func(t *testing.T) {
			inFleet(t, routers, func(f *fleet) {
				f.name(0, 1e-30, 0.1, 0.5, 2, 7.5, 20, 300)
				named := f.timer.Now()
				f.drive(knownWithin + 90*time.Second)
				f.requireWithin(named.Add(knownWithin), 0.5)
			})
		})
	}
}

// TestLimitsWhileRoutersChange guards against limits that are exceeded or hardly used when routers are
// killed, restart, join and stop, or when clocks differ.
func TestLimitsWhileRoutersChange(t *testing.T) {
	for _, routers := range []int{6, 40} {
		t.Run(fmt.Sprint("routers=", routers), func(t *testing.T) {
			inFleet(t, routers, func(f *fleet) {
				f.name(0.5, 2, 20)
				named := f.timer.Now()
				f.drive(5 * time.Second)
				for n := range 12 {
					r := f.routers[n%routers]
					switch n % 4 {
					case 0:
						f.kill(r)
					case 1:
						f.restart(f.routers[(n-1)%routers])
						f.join(time.Duration(n) * 100 * time.Millisecond)
					case 2:
						r.offset = time.Duration(2400-1200*(n%3)) * time.Millisecond
					case 3:
						f.leave(r)
					}
					f.drive(7 * time.Second)
				}
				f.requireWithin(named.Add(knownWithin), 0.2)
			})
		})
	}
}

// TestLimitsWithoutStore guards against limits that rely on the store: while it is away routers divide what
// targets name as before.
func TestLimitsWithoutStore(t *testing.T) {
	inFleet(t, 20, func(f *fleet) {
		for _, r := range f.routers {
			r.client.Set(true, false)
		}
		f.name(0.5, 2, 20)
		named := f.timer.Now()
		f.drive(knownWithin + 60*time.Second)
		f.requireWithin(named.Add(knownWithin), 0.3)
		for _, r := range f.routers {
			r.client.Set(false, true)
		}
		f.drive(30 * time.Second)
		f.requireWithin(named.Add(knownWithin), 0.3)
	})
}

// TestLimitEnds guards against a target that is avoided after it has stopped to name a limit: the first
// response without one ends it at all routers, a response to an earlier request does not.
func TestLimitEnds(t *testing.T) {
	inFleet(t, 6, func(f *fleet) {
		early := f.timer.Now()
		f.name(2)
		g := f.targets[0]
		f.drive(10 * time.Second)
		f.routers[0].Hear(g.name, 1, early, nil)
		for _, r := range f.routers {
			require.Equal(t, 1, r.Count())
		}
		g.limit = nil
		ended := f.timer.Now()
		f.drive(5 * time.Second)
		require.Greater(t, g.most(ended), 100)
		for _, r := range f.routers {
			require.Zero(t, r.Count())
		}
		joiner := f.join(0)
		time.Sleep(2 * time.Second)
		require.Zero(t, joiner.Count())
	})
}

// TestLimitOfProcess guards against obeying a limit of a process that has ended: its successor has the same
// name and no limit, also for a router that joins.
func TestLimitOfProcess(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.name(2)
		f.drive(time.Second)
		joiner := f.join(0)
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, joiner.Count())
		for _, r := range f.routers {
			r.Retain(map[string]int64{})
			require.Equal(t, 1, r.Count(), "a target whose entry has lapsed")
			r.Retain(map[string]int64{"target-0": 2})
			require.Zero(t, r.Count())
		}
		late := f.join(0)
		late.Retain(map[string]int64{"target-0": 2})
		time.Sleep(2 * time.Second)
		require.Zero(t, late.Count())
	})
}

// TestTargetsThatAreGone checks that limits of targets that are gone are deleted from the topic, as are
// members that did not register for long.
func TestTargetsThatAreGone(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.name(2)
		f.drive(time.Second)
		require.Len(t, f.topic.Newest(), 3)
		for _, r := range f.routers {
			r.Retain(map[string]int64{"another": 1})
		}
		f.kill(f.routers[1])
		time.Sleep(2 * DefaultOptions().MemberAge)
		require.Len(t, f.topic.Newest(), 1)
		require.Equal(t, []string{"router-1"}, f.routers[0].Dump().Routers)
	})
}

// TestSharing checks that the parts of all members are the usable part of a limit in every period, and that
// none is below MinShare while others have some.
func TestSharing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := DefaultSharing()
		limit := rapid.Float64Range(0, 1000).Draw(rt, "limit")
		number := rapid.Int64().Draw(rt, "number")
		members := make([]string, rapid.IntRange(1, 100).Draw(rt, "members"))
		for n := range members {
			members[n] = fmt.Sprint("front-", n)
		}
		sum, senders := 0.0, 0
		for _, m := range members {
			rate := s.rate(limit, "t", number, m, members)
			sum += rate
			if rate > 0 {
				senders++
				require.True(rt, senders == 1 || rate >= s.MinShare || len(members) == s.senders(limit, len(members)), "a part of %g", rate)
			}
		}
		require.InDelta(rt, s.usable(limit), sum, 1e-9)
	})
}

// TestRecordsThatCannotBeDecoded checks that such a record is ignored and the others hold.
func TestRecordsThatCannotBeDecoded(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		for _, r := range []jvkeyed.Record{
			{Key: "", Value: []byte("x")},
			{Key: targetPrefix, Value: []byte("x")},
			{Key: targetPrefix + "a", Value: []byte("\xff")},
			{Key: routerPrefix + "a", Value: []byte("\xff")},
			encodeLimit("b", limitRecord{Limit: -1}),
			encodeLimit("c", limitRecord{Limit: math.NaN()}),
			encodeLimit("d", limitRecord{Limit: 2}),
		} {
			_, err := f.routers[0].client.Append(context.Background(), jvkeyed.Producer{}, []jvkeyed.Record{r})
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		require.Equal(t, 1, f.routers[0].Count())
		require.Equal(t, []string{"router-1"}, f.routers[0].Dump().Routers)
	})
}

// TestLeaveWhileTheStoreIsAway guards against a share of limits that nobody uses: a router that leaves while the
// store does not respond is no member once it does, as long as its process runs.
func TestLeaveWhileTheStoreIsAway(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.routers[0].client.Set(true, false)
		f.routers[0].Leave()
		time.Sleep(2 * time.Second)
		require.Len(t, f.routers[1].Dump().Routers, 3)
		f.routers[0].client.Set(false, false)
		time.Sleep(2 * time.Second)
		require.Len(t, f.routers[1].Dump().Routers, 2)
		f.leave(f.routers[0])
	})
}
