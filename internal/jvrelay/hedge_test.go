package jvrelay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvhedge"
	"github.com/jasminevale/jasminevale/internal/jvquarantine"
	"github.com/jasminevale/jasminevale/internal/jvroute"
)

// raceSender runs the next script for each attempt. Attempts may be sent side by side.
type raceSender struct {
	// during is called at the beginning of each attempt.
	during func()

	mu      sync.Mutex
	scripts []script
	targets []string
	// open is the number of attempts that are neither canceled nor closed.
	open int
}

func (s *raceSender) Probe(context.Context, jvconfig.Target) ProbeResult { return ProbeAccepted }

func (s *raceSender) Send(ctx context.Context, d Dispatch) (*Response, error) {
	s.mu.Lock()
	c := s.scripts[0]
	s.scripts = s.scripts[1:]
	s.targets = append(s.targets, d.Target.Name)
	s.open++
	s.mu.Unlock()
	s.during()
	select {
	case <-ctx.Done():
		s.close()
		return nil, jvfault.New("send", KindBroken, ctx.Err())
	case <-time.After(c.delay):
	}
	if c.err != "" {
		s.close()
		return nil, jvfault.New("send", c.err, nil)
	}
	body := &raceBody{Reader: &scriptBody{ctx: ctx, rest: c.body, script: c}, close: s.close}
	return &Response{Status: c.status, Header: http.Header{}, Body: body, Refused: c.refused, Signed: !c.refused, End: endOf(false)}, nil
}

func (s *raceSender) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

type raceBody struct {
	io.Reader

	close func()
	once  sync.Once
}

func (b *raceBody) Close() error {
	b.once.Do(b.close)
	return nil
}

// hedgeFixture is a fixture whose relay sends extra attempts after 100 ms; its routes have had answers within 10 ms.
type hedgeFixture struct {
	*fixture

	race *raceSender

	mu    sync.Mutex
	lines []string
}

func newHedgeFixture(t *testing.T, scripts ...script) *hedgeFixture {
	h := &hedgeFixture{race: &raceSender{scripts: scripts}}
	h.fixture = newFixtureWith(t, func(o *Options) {
		o.Sender = h.race
		o.Hedge = jvhedge.Options{Share: 0.1, MinDelay: 100 * time.Millisecond}
		o.Logger = funcr.New(func(_, line string) {
			h.mu.Lock()
			defer h.mu.Unlock()
			if strings.Contains(line, `"msg"="request"`) {
				h.lines = append(h.lines, line)
			}
		}, funcr.Options{})
	})
	answers := func(n int) {
		for _, route := range []string{"safe", "stream", "once"} {
			for i := range n {
				a := h.relay.hedger.Begin(route, fmt.Sprint("other", i%2), time.Now().Add(-10*time.Millisecond))
				h.relay.hedger.End(a, time.Now(), true)
				b := h.relay.hedger.Begin(route, fmt.Sprint("other", i%2), time.Now())
				h.relay.hedger.End(b, time.Now(), true)
			}
		}
	}
	answers(100)
	for range 20 {
		h.relay.hedger.Earn("p")
	}
	h.race.during = func() { answers(2) }
	return h
}

// configure returns a function that changes the kind and the number of attempts of the route "safe".
func configure(kind jvroute.Kind, attempts int) func(h *hedgeFixture) {
	return func(h *hedgeFixture) {
		h.relay.Configure(table(2).WithRoutes([]jvroute.Route{{
			Name: "safe", Host: "h", Prefix: "/safe/", Kind: kind, Timeout: 2 * time.Second, TargetLatency: 300 * time.Millisecond,
			MaxAttempts: attempts, Pools: []jvroute.WeightedPool{{Pool: "p", Weight: 1}},
		}}))
	}
}

// logged returns the values of a field in the request's line.
func (h *hedgeFixture) logged(t *testing.T, field string) string {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	require.Len(t, h.lines, 1)
	line := h.lines[0]
	_, rest, ok := strings.Cut(line, `"`+field+`"=`)
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, " ")
	return strings.Trim(value, `"`)
}

// TestHedge guards the rules for two attempts that are sent side by side: one response only is forwarded, the other attempt
// ends at once, a request that may not be repeated is sent once, and a refusal does not hide a run.
func TestHedge(t *testing.T) {
	const ms = time.Millisecond
	hour := script{delay: time.Hour}
	answer := func(body string, delay time.Duration) script { return script{status: 200, body: body, delay: delay} }
	broken := func(kind Kind, delay time.Duration) script { return script{err: kind, delay: delay} }
	refused := func(delay time.Duration) script { return script{status: 503, refused: true, delay: delay} }
	for _, c := range []struct {
		name, route string
		scripts     []script
		change      func(s *hedgeFixture)
		want        string
		took        time.Duration
		hedge       string
		sent        int
		runs        string
	}{
		{name: "answered before the delay", route: "safe", scripts: []script{answer("a", 90*ms)}, want: "200 length 1: a", took: 90 * ms, sent: 1, runs: "1"},
		{name: "silent target", route: "safe", scripts: []script{hour, answer("b", 20*ms)}, want: "200 length 1: b", took: 120 * ms, hedge: "won", sent: 2, runs: "2"},
		{name: "the first answers first", route: "safe", scripts: []script{answer("a", 150*ms), answer("b", 100*ms)}, want: "200 length 1: a", took: 150 * ms, hedge: "sent", sent: 2, runs: "2"},
		{name: "both answer at once", route: "safe", scripts: []script{answer("a", 150*ms), answer("a", 50*ms)}, want: "200 length 1: a", took: 150 * ms, hedge: "*", sent: 2, runs: "2"},
		{name: "the first fails", route: "safe", scripts: []script{broken(KindBroken, 110*ms), answer("b", 50*ms)}, want: "200 length 1: b", took: 150 * ms, hedge: "won", sent: 2, runs: "2"},
		{name: "the first fails with a response", route: "safe", scripts: []script{{status: 500, body: "failed", delay: 110 * ms}, answer("b", 50*ms)}, want: "200 length 1: b", took: 150 * ms, hedge: "won", sent: 2, runs: "2"},
		{name: "the extra one fails", route: "safe", scripts: []script{answer("a", 200*ms), broken(KindBroken, 50*ms)}, want: "200 length 1: a", took: 200 * ms, hedge: "sent", sent: 2, runs: "2"},
		{name: "the extra one is refused", route: "safe", scripts: []script{answer("a", 200*ms), refused(50 * ms)}, want: "200 length 1: a", took: 200 * ms, hedge: "sent", sent: 2, runs: "1"},
		{name: "both fail", route: "safe", scripts: []script{broken(KindBroken, 110*ms), broken(KindBroken, 50*ms)}, want: "refused 502 failed, retry after 0s", took: 150 * ms, hedge: "sent", sent: 2, runs: "2"},
		{name: "both are refused, then one more attempt", route: "safe", scripts: []script{refused(110 * ms), refused(50 * ms), answer("c", 0)}, want: "200 length 1: c", took: 150 * ms, hedge: "sent", sent: 3, runs: "1"},
		{name: "one fails, one is refused", route: "safe", scripts: []script{broken(KindBroken, 110*ms), refused(50 * ms), answer("c", 0)}, want: "200 length 1: c", took: 150 * ms, hedge: "sent", sent: 3, runs: "2"},
		{name: "both to the deadline", route: "safe", scripts: []script{hour, hour}, want: "refused 504 deadline, retry after 0s", took: 2 * time.Second, hedge: "sent", sent: 2, runs: "2"},
		{name: "not repeatable", route: "once", scripts: []script{answer("a", 500*ms)}, want: "200 length 1: a", took: 500 * ms, sent: 1, runs: "1"},
		{name: "not resumable", route: "fixed", scripts: []script{answer("id: 1\ndata: a\n\n", 500*ms)}, want: "200 length -1: id: 1|data: a||", took: 500 * ms, sent: 1, runs: "1"},
		{name: "not repeatable, several attempts", route: "safe", change: configure(jvroute.KindUnsafe, 3), scripts: []script{answer("a", 500*ms)}, want: "200 length 1: a", took: 500 * ms, sent: 1, runs: "1"},
		{name: "not resumable, several attempts", route: "safe", change: configure(jvroute.KindStream, 3), scripts: []script{answer("id: 1\ndata: a\n\n", 500*ms)}, want: "200 length -1: id: 1|data: a||", took: 500 * ms, sent: 1, runs: "1"},
		{name: "one attempt", route: "safe", change: configure(jvroute.KindSafe, 1), scripts: []script{answer("a", 500*ms)}, want: "200 length 1: a", took: 500 * ms, sent: 1, runs: "1"},
		{name: "prepaid stream", route: "stream", scripts: []script{hour, answer("id: 1\ndata: a\n\n", 20*ms)}, want: "200 length -1: id: 1|data: a||", took: 120 * ms, hedge: "won", sent: 2, runs: "2"},
		{name: "no second reservation", route: "stream", scripts: []script{answer("id: 1\ndata: a\n\n", 300*ms)}, change: func(s *hedgeFixture) { s.budgets.left = 2000 }, want: "200 length -1: id: 1|data: a||", took: 300 * ms, hedge: "tokens", sent: 1, runs: "1"},
		{name: "stop", route: "safe", scripts: []script{answer("a", 300*ms)}, change: func(s *hedgeFixture) { s.relay.Stop(time.Now(), PlanStop(time.Minute)) }, want: "200 length 1: a", took: 300 * ms, hedge: "stopping", sent: 1, runs: "1"},
		{name: "retry budget is low", route: "safe", scripts: []script{answer("a", 300*ms)}, change: func(s *hedgeFixture) {
			for range 4 {
				require.True(t, s.relay.retries.budget("p").Spend())
			}
		}, want: "200 length 1: a", took: 300 * ms, hedge: "retries", sent: 1, runs: "1"},
		{name: "suspected request", route: "safe", scripts: []script{answer("a", 300*ms)}, change: func(s *hedgeFixture) {
			s.relay.options.Quarantine = suspecting{s.relay.options.Quarantine}
		}, want: "200 length 1: a", took: 300 * ms, hedge: "suspected", sent: 1, runs: "1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newHedgeFixture(t, c.scripts...)
				if c.change != nil {
					c.change(s)
				}
				start := time.Now()
				got := s.serve(t.Context(), t, c.route, nil)
				require.Equal(t, c.want, got)
				require.Equal(t, c.took, time.Since(start))
				synctest.Wait() // The losing attempt ends without any time passing.
				require.Zero(t, s.race.open)
				require.Len(t, s.race.targets, c.sent)
				if c.sent > 1 {
					require.NotEqual(t, s.race.targets[0], s.race.targets[1])
				}
				if c.hedge != "*" {
					require.Equal(t, c.hedge, s.logged(t, "hedge"))
				}
				require.Equal(t, c.runs, s.logged(t, "runs"))
				waiting, busy, _ := s.relay.targets.Occupancy("p")
				require.Zero(t, waiting)
				require.Zero(t, busy, "all leases are released")
				if c.name == "prepaid stream" { // 1000 and one event of 7, and for the losing attempt 1000 and two events.
					require.EqualValues(t, 10_000-1007-1014, s.budgets.left)
				}
			})
		})
	}
}

type suspecting struct{ Quarantine }

func (suspecting) Suspected(jvquarantine.Digest) bool { return true }

// TestHedgeEnds guards against attempts that run on after their caller has left or the router has ended its drain, and against
// an answer that the request did not run.
func TestHedgeEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(s *hedgeFixture, leave func())
		want string
	}{
		{"the caller leaves", func(_ *hedgeFixture, leave func()) { leave() }, "... cut"},
		{"the drain ends", func(s *hedgeFixture, _ func()) { s.relay.EndWaits() }, "refused 502 failed, retry after 0s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newHedgeFixture(t, script{delay: time.Hour}, script{delay: time.Hour})
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				time.AfterFunc(150*time.Millisecond, func() { c.end(s, leave) })
				start := time.Now()
				require.Equal(t, c.want, s.serve(ctx, t, "safe", nil))
				require.Equal(t, 150*time.Millisecond, time.Since(start))
				synctest.Wait()
				require.Zero(t, s.race.open)
				require.Equal(t, "sent", s.logged(t, "hedge"))
				require.Equal(t, "2", s.logged(t, "runs"))
			})
		})
	}
}

// TestHedgeMove guards against a request that waits to its deadline for two silent targets although a third one answers and
// its route allows one more attempt.
func TestHedgeMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hour, quick := script{delay: time.Hour}, script{status: 200, body: "c", delay: 10 * time.Millisecond}
		s := newHedgeFixture(t, hour, hour, quick, quick, quick, quick, quick)
		configure(jvroute.KindSafe, 3)(s)
		for i := range 4 { // Some of them are for the third target.
			time.AfterFunc(time.Second, func() { serveOne(t.Context(), s.fixture, "safe", fmt.Sprint("other", i)) })
		}
		start := time.Now()
		require.Equal(t, "200 length 1: c", serveOne(t.Context(), s.fixture, "safe", "r"))
		require.Equal(t, 1310*time.Millisecond, time.Since(start), "four times the target latency after the extra attempt")
		synctest.Wait()
		require.Zero(t, s.race.open)
		require.Len(t, s.race.targets, 7)
		require.NotContains(t, s.race.targets[:2], s.race.targets[6])
	})
}

// TestHedgeCancels guards against an attempt that runs on while the stream of the other one is forwarded.
func TestHedgeCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHedgeFixture(t, script{delay: time.Hour}, script{status: 200, body: "id: 1\ndata: a\n\n", hang: true})
		open := 0
		time.AfterFunc(101*time.Millisecond, func() {
			s.race.mu.Lock()
			defer s.race.mu.Unlock()
			open = s.race.open
		})
		require.Equal(t, "200 length -1: id: 1|data: a||... cut", s.serve(t.Context(), t, "stream", nil))
		require.Equal(t, 1, open, "only the attempt whose response is forwarded")
		require.Equal(t, "won", s.logged(t, "hedge"))
	})
}

// TestHedgeRefund guards against limits that are used up by extra attempts that were not sent.
func TestHedgeRefund(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHedgeFixture(t, script{status: 200, body: "id: 1\ndata: a\n\n", delay: 300 * time.Millisecond}, script{delay: time.Hour}, script{status: 200, body: "b"})
		s.budgets.left = 2000
		s.serve(t.Context(), t, "stream", nil)
		require.Equal(t, "tokens", s.logged(t, "hedge"))
		require.InDelta(t, 5, s.relay.retries.saved()["p"], 1e-9)
		s.lines = nil
		require.Equal(t, "200 length 1: b", s.serve(t.Context(), t, "safe", nil))
		require.Equal(t, "won", s.logged(t, "hedge"))
		require.InDelta(t, 4, s.relay.retries.saved()["p"], 1e-9)
	})
}
