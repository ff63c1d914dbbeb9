package jvrelay

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvgrant"
	"github.com/jasminevale/jasminevale/internal/jvroute"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// TestLateRequestsAreRefused guards against a stopping router that takes requests which it has to break off: in the notice
// what mostly ends too late is refused as not run, after it whatever does not end by its deadline.
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
		{"earlier ones ended in time, after the notice", 300 * time.Millisecond, plan.Notice + time.Second, time.Minute, 80, false},
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

// lateRefused is what a caller gets whose request may not end before the drain does.
const lateRefused = "refused 503 stopping, retry after 50ms"

// lateKinds are the routes of requests that may not be repeated, and of those that may be repeated or resumed.
var lateKinds = []string{"once", "fixed", "safe", "stream"}

// newLateFixture returns a fixture that serves one request, whose routes have a timeout, and on which earlier responses
// took known times, the latest last.
func newLateFixture(t *testing.T, timeout time.Duration, earlier ...time.Duration) *fixture {
	s := newFixture(t, script{status: 200, body: "id: 1\ndata: x\n\n"})
	table := newTable(2, false)
	var routes []jvroute.Route
	for _, k := range lateKinds {
		route, ok := table.Match("h", "/"+k+"/x")
		require.True(t, ok)
		route.Timeout = timeout
		routes = append(routes, route)
		for _, d := range earlier {
			s.relay.durations.add(k, duration{rest: d})
		}
	}
	s.relay.Configure(table.WithRoutes(routes))
	return s
}

// serveLate sends a request at a time after the stop begins, whose caller waits for a time, or names none if that is 0. It
// reports whether the request is served.
func (s *fixture) serveLate(t *testing.T, plan StopPlan, route string, at, wait time.Duration) bool {
	s.relay.Stop(time.Now(), plan)
	time.Sleep(at)
	got := s.serve(t.Context(), t, route, func(q *Request) {
		q.Usage = Usage{}
		q.Deadline = q.ArrivedAt.Add(wait)
		if q.DefaultTimeout = wait == 0; q.DefaultTimeout {
			q.Deadline = q.ArrivedAt.Add(time.Second)
		}
		if route == "stream" { // Its caller takes up an earlier response.
			q.LastEventID, q.Resumes = "0", "earlier"
		}
	})
	if got == lateRefused {
		require.Empty(t, s.sender.sent)
		return false
	}
	require.Contains(t, got, "data: x")
	return true
}

// TestLateIsRefusedWithoutBound guards against a stopping router that takes a request after the load balancer's notice, since
// earlier ones ended in time: a target that is slower than ever before leaves its caller with a part of a response, or
// without knowing whether it ran. What its deadline or its route's timeout ends in time is served.
func TestLateIsRefusedWithoutBound(t *testing.T) {
	const short, long = time.Second, time.Minute
	plan := PlanStop(8 * time.Second)
	after := plan.Notice + time.Second
	for _, c := range []struct {
		name              string
		at, wait, timeout time.Duration
		served            bool
	}{
		{"in the notice", plan.Notice / 2, long, 0, true},
		{"when the notice ends", plan.Notice, long, 0, false},
		{"after the notice", after, long, 0, false},
		{"its deadline passes first", after, short, 0, true},
		{"its route's timeout passes first", after, long, short, true},
		{"its caller names no deadline", after, 0, 0, false},
		{"its caller names no deadline, its route's timeout passes first", after, 0, short, true},
		{"its deadline passes once requests without a response are ended", after, plan.DrainEnd() - after, 0, false},
	} {
		for _, k := range lateKinds {
			t.Run(c.name+"/"+k, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					earlier := slices.Repeat([]time.Duration{10 * time.Millisecond}, 100)
					s := newLateFixture(t, c.timeout, earlier...)
					require.Equal(t, c.served, s.serveLate(t, plan, k, c.at, c.wait))
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

// TestLateInLongDrain guards against a stopping router that takes a request without a bound after the notice, however much
// of the drain is left and whatever is known of earlier responses: targets slow down with their load, and lengths vary.
func TestLateInLongDrain(t *testing.T) {
	for _, c := range []struct {
		name    string
		earlier []time.Duration
	}{
		{"nothing is known", nil},
		{"short ones are known", slices.Repeat([]time.Duration{10 * time.Millisecond}, 2*maxDurations)},
		{"a long one is known", append([]time.Duration{2 * time.Second}, slices.Repeat([]time.Duration{10 * time.Millisecond}, 2*maxDurations)...)},
	} {
		for _, grace := range []time.Duration{3 * time.Second, 8 * time.Second, 30 * time.Second, 2 * time.Minute} {
			for _, k := range lateKinds {
				t.Run(fmt.Sprint(c.name, "/", grace, "/", k), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s, plan := newLateFixture(t, 0, c.earlier...), PlanStop(grace)
						require.False(t, s.serveLate(t, plan, k, plan.Notice+time.Millisecond, 2*grace))
					})
				})
			}
		}
	}
}

// slowBudget grants nothing until its caller gives up.
type slowBudget struct{ *budgetFake }

func (b slowBudget) Reserve(ctx context.Context, _ string, _ int64) (jvescrow.Reservation, error) {
	<-ctx.Done()
	return jvescrow.Reservation{}, jvfault.New("reserve", jvgrant.KindShort, ctx.Err())
}

// TestWaitingAtStop guards against a stopping router that keeps a request waiting for tokens or a slot which it would refuse
// afterwards, or that sends it to a target late: it is refused when the notice ends, an attempt for another router when
// the stop begins, and one that ends by itself in time is served.
func TestWaitingAtStop(t *testing.T) {
	plan, long := PlanStop(8*time.Second), time.Minute
	for _, c := range []struct {
		name   string
		budget bool
		peer   bool
		// refusals is the number of attempts that a target refuses, all slots but as many are taken.
		refusals int
		wait     time.Duration
		endedAt  time.Duration
	}{
		{name: "for a slot", wait: long, endedAt: plan.Notice},
		{name: "for a slot, after a target's refusal", refusals: 1, wait: long, endedAt: plan.Notice},
		{name: "for tokens", budget: true, wait: long, endedAt: plan.Notice},
		{name: "for a slot, ends in time", wait: plan.AnswerBegin(), endedAt: plan.Notice + time.Second},
		{name: "attempt for another router", peer: true, wait: long, endedAt: 0},
		{name: "attempt for another router, ends in time", peer: true, wait: plan.AnswerBegin(), endedAt: plan.Notice + time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixtureWith(t, func(o *Options) {
					o.ReserveWaitShare = 100
					if c.budget {
						o.Budgets = slowBudget{&budgetFake{ready: true}}
					}
				}, append(slices.Repeat([]script{{status: 503, refused: true}}, c.refusals), script{status: 200, body: "id: 1\ndata: x\n\n"})...)
				routes := newTable(2, false)
				route, _ := routes.Match("h", "/stream/x")
				route.Timeout = 0
				s.relay.Configure(routes.WithRoutes([]jvroute.Route{route}))
				var leases []jvtarget.Lease
				for n := range 12 - c.refusals {
					lease, err := s.relay.targets.Acquire(t.Context(), jvtarget.Request{Pool: "p", Attempt: fmt.Sprint(n)})
					require.NoError(t, err)
					leases = append(leases, lease)
				}
				stoppedAt, served := time.Now(), make(chan bool)
				go func() {
					defer close(served) // A failed check ends the goroutine before it sends.
					if c.peer {
						_, err := s.relay.ServePeer(t.Context(), Dispatch{
							Request: &Request{ID: "q", Method: "POST", URI: "/stream/x", Header: http.Header{}}, Timeout: c.wait, Selection: Selection{Pool: "p"},
						}, "r1")
						require.True(t, err == nil || jvfault.KindOf[Kind](err) == KindUnsent)
						served <- err == nil
						return
					}
					got := s.serve(t.Context(), t, "stream", func(q *Request) { q.Deadline = q.ArrivedAt.Add(c.wait) })
					require.True(t, got == lateRefused || strings.Contains(got, "data: x"), got)
					served <- got != lateRefused
				}()
				synctest.Wait()
				s.relay.Stop(stoppedAt, plan)
				time.AfterFunc(plan.Notice, s.relay.EndNotice)
				time.AfterFunc(plan.Notice+time.Second, func() {
					for _, l := range leases {
						l.Release(jvtarget.ResultInconclusive)
					}
				})
				got := <-served
				require.Equal(t, c.endedAt, time.Since(stoppedAt))
				require.Equal(t, c.endedAt > plan.Notice, got)
				require.Len(t, s.sender.sent, c.refusals+map[bool]int{true: 1}[got])
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
		for range 2*maxDurations + 1 {
			s.relay.durations.add("fixed", duration{rest: time.Second, tokens: 40})
		}
		share, known = s.relay.durations.within("fixed", 80, 2*time.Second)
		require.Equal(t, maxDurations, known)
		require.InDelta(t, 1, share, 0)
		share, _ = s.relay.durations.within("fixed", 80, 2*time.Second-1)
		require.Zero(t, share, "twice as much output takes twice as long")
		s.relay.durations.add("fixed", duration{rest: time.Minute})
		for range maxDurations - 1 {
			s.relay.durations.add("fixed", duration{rest: time.Second, tokens: 40})
		}
		share, _ = s.relay.durations.within("fixed", 80, 2*time.Second)
		require.InDelta(t, 1-1.0/maxDurations, share, 1e-9, "the oldest one counts")
		s.relay.durations.add("fixed", duration{rest: time.Second, tokens: 40})
		share, _ = s.relay.durations.within("fixed", 80, 2*time.Second)
		require.InDelta(t, 1, share, 0, "the oldest one is forgotten")
	})
}
