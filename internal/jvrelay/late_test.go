package jvrelay

import (
	"slices"
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
				s.relay.Stop(time.Now(), plan)
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

// lateRefused is what a caller gets whose request can't be expected to end before the drain does.
const lateRefused = "refused 503 stopping, retry after 50ms"

// lateKinds are the routes of requests that may not be repeated, and of those that may be repeated or resumed.
var lateKinds = []struct {
	route      string
	repeatable bool
}{{"once", false}, {"fixed", false}, {"safe", true}, {"stream", true}}

// newLateFixture returns a fixture that serves one request, whose routes have a timeout, and on which earlier responses
// took known times, the latest last.
func newLateFixture(t *testing.T, timeout time.Duration, earlier ...time.Duration) *fixture {
	s := newFixture(t, script{status: 200, body: "id: 1\ndata: x\n\n"})
	table := newTable(2, false)
	var routes []jvroute.Route
	for _, k := range lateKinds {
		route, ok := table.Match("h", "/"+k.route+"/x")
		require.True(t, ok)
		route.Timeout = timeout
		routes = append(routes, route)
		for _, d := range earlier {
			s.relay.durations.add(k.route, duration{rest: d})
		}
	}
	s.relay.Configure(table.WithRoutes(routes))
	return s
}

// serveLate sends a request at a time after the stop begins, and reports whether it is served.
func (s *fixture) serveLate(t *testing.T, plan StopPlan, route string, at, wait time.Duration) bool {
	s.relay.Stop(time.Now(), plan)
	time.Sleep(at)
	got := s.serve(t.Context(), t, route, func(q *Request) {
		q.Usage = Usage{}
		q.Deadline = q.ArrivedAt.Add(wait)
	})
	if got != lateRefused {
		require.Contains(t, got, "data: x")
	}
	return got != lateRefused
}

// TestLateUnrepeatableIsRefused guards against a stopping router that takes a request which may not be repeated, after
// the load balancer's notice, since earlier ones ended in time: a target that is slower than ever before leaves its caller
// without knowing whether it ran. What its deadline or its route's timeout ends in time is served.
func TestLateUnrepeatableIsRefused(t *testing.T) {
	const short, long = time.Second, time.Minute
	plan := PlanStop(8 * time.Second)
	after := plan.Notice + time.Second
	for _, c := range []struct {
		name              string
		at, wait, timeout time.Duration
		// served and repeatable are whether it is served if it may not be repeated, and if it may be.
		served, repeatable bool
	}{
		{"in the notice", plan.Notice / 2, long, 0, true, true},
		{"after the notice", after, long, 0, false, true},
		{"its deadline passes first", after, short, 0, true, true},
		{"its route's timeout passes first", after, long, short, true, true},
		{"its deadline passes once requests without a response are ended", after, plan.DrainEnd() - after, 0, false, true},
	} {
		for _, k := range lateKinds {
			t.Run(c.name+"/"+k.route, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					earlier := slices.Repeat([]time.Duration{10 * time.Millisecond}, 100)
					s := newLateFixture(t, c.timeout, earlier...)
					want := c.served
					if k.repeatable {
						want = c.repeatable
					}
					require.Equal(t, want, s.serveLate(t, plan, k.route, c.at, c.wait))
				})
			})
		}
	}
}

// TestLateStop guards against a router that takes requests for longer than its stop's plan says since the process did not
// run when the stop began: they are cut when the plan's drain ends.
func TestLateStop(t *testing.T) {
	const pause = 400 * time.Millisecond
	plan := PlanStop(3 * time.Second)
	synctest.Test(t, func(t *testing.T) {
		s := newLateFixture(t, 0)
		startedAt := time.Now()
		time.Sleep(pause)
		s.relay.Stop(startedAt, plan)
		time.Sleep(plan.Notice - pause/2)
		got := s.serve(t.Context(), t, "once", func(q *Request) { q.Deadline = q.ArrivedAt.Add(time.Minute) })
		require.Equal(t, lateRefused, got)
	})
}

// TestLateRareResponse guards against a stopping router that takes a request late whose route has a rare long response,
// since none of the latest ones was, or none has ended so far.
func TestLateRareResponse(t *testing.T) {
	const short, age, minute = 10 * time.Millisecond, 2 * time.Second, time.Minute
	plan := PlanStop(8 * time.Second)
	shorts := slices.Repeat([]time.Duration{short}, 2*maxDurations)
	for _, c := range []struct {
		name    string
		earlier []time.Duration
		// open is true if a request of the route is in progress when the stop begins, for an age then.
		open bool
		// left is how much of the drain is left when the request arrives.
		left   time.Duration
		served bool
	}{
		{"no long one", shorts, false, time.Second, true},
		{"a long one", append([]time.Duration{age}, shorts...), false, 3 * time.Second, false},
		{"a long one, much time left", append([]time.Duration{age}, shorts...), false, 2*age + time.Second, true},
		{"one in progress", shorts, true, 4 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLateFixture(t, 0, c.earlier...)
				if c.open {
					o := &openRequest{arrivedAt: time.Now(), route: "safe"}
					defer s.relay.open.add(o, func(error) {})()
					time.Sleep(age)
				}
				require.Equal(t, c.served, s.serveLate(t, plan, "safe", plan.DrainEnd()-c.left, minute))
			})
		})
	}
}

// TestLateInLongDrain guards against a stopping router that refuses requests of which little is known, or which may not be
// repeated, however much of the drain is left, and against one that takes them if an earlier response shows that they
// may not end.
func TestLateInLongDrain(t *testing.T) {
	plan := PlanStop(30 * time.Second)
	for _, c := range []struct {
		name    string
		earlier []time.Duration
		left    time.Duration
		served  bool
	}{
		{"nothing is known", nil, muchTime + time.Second, true},
		{"nothing is known, less time left", nil, muchTime, false},
		{"short ones are known", []time.Duration{time.Second}, muchTime + time.Second, true},
		{"a long one is known", []time.Duration{muchTime * 5 / 8}, muchTime + time.Second, false},
		{"a long one is known, more time left", []time.Duration{muchTime * 5 / 8}, muchTime*5/4 + time.Second, true},
	} {
		for _, k := range lateKinds {
			t.Run(c.name+"/"+k.route, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newLateFixture(t, 0, c.earlier...)
					require.Equal(t, c.served, s.serveLate(t, plan, k.route, plan.DrainEnd()-c.left, time.Minute))
				})
			})
		}
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
		for range 2*maxRemembered + 1 {
			s.relay.durations.add("fixed", duration{rest: time.Second, tokens: 40})
		}
		share, known = s.relay.durations.within("fixed", 80, 2*time.Second)
		require.Equal(t, maxDurations, known)
		require.InDelta(t, 1, share, 0)
		share, _ = s.relay.durations.within("fixed", 80, 2*time.Second-1)
		require.Zero(t, share, "twice as much output takes twice as long")
		require.Equal(t, 2*time.Second, s.relay.durations.longest("fixed", 80))
		s.relay.durations.add("fixed", duration{rest: time.Minute})
		for range maxRemembered - 1 {
			s.relay.durations.add("fixed", duration{rest: time.Second, tokens: 40})
		}
		require.Equal(t, time.Minute, s.relay.durations.longest("fixed", 80))
		share, _ = s.relay.durations.within("fixed", 80, 2*time.Second)
		require.InDelta(t, 1, share, 0, "the latest ones")
		s.relay.durations.add("fixed", duration{rest: time.Second, tokens: 40})
		require.Equal(t, 2*time.Second, s.relay.durations.longest("fixed", 80), "the oldest one is forgotten")
	})
}
