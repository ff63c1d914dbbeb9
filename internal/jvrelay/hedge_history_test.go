package jvrelay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvhedge"
	"github.com/jasminevale/jasminevale/internal/jvproperty"
)

// hedgeServers answer by the target and the time, and record all attempts. Each attempt has a body of its own.
type hedgeServers struct {
	// answer returns how a target answers an attempt that is sent now.
	answer func(target string) script
	// deaf makes attempts go on after they were canceled, a fault that the checks have to find.
	deaf bool

	mu   sync.Mutex
	sent map[string][]*hedgeRun
}

// hedgeRun is one attempt.
type hedgeRun struct {
	id, target, body string
	at               time.Time
	// kind is the failure by which the target did not run the attempt, or empty.
	kind Kind
	// endedAt is when the attempt was over for its target.
	endedAt time.Time
}

func (s *hedgeServers) Probe(context.Context, jvconfig.Target) ProbeResult { return ProbeAccepted }

func (s *hedgeServers) Send(ctx context.Context, d Dispatch) (*Response, error) {
	c := s.answer(d.Target.Name)
	s.mu.Lock()
	n := len(s.sent[d.Request.ID])
	run := &hedgeRun{id: d.Request.ID, target: d.Target.Name, at: time.Now(), body: fmt.Sprintf("id: 1\ndata: %s.%d\n\nid: 2\ndata: %s.%d\n\n", d.Request.ID, n, d.Request.ID, n)}
	if c.refused {
		run.kind = KindRefused
	} else if c.err == KindUnsent {
		run.kind = KindUnsent
	}
	s.sent[d.Request.ID] = append(s.sent[d.Request.ID], run)
	s.mu.Unlock()
	leave := sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		run.endedAt = time.Now()
	})
	done := ctx.Done()
	if s.deaf {
		done = nil
	}
	select {
	case <-done:
		leave()
		return nil, jvfault.New("send", KindBroken, ctx.Err())
	case <-time.After(c.delay):
	}
	if c.err != "" {
		leave()
		return nil, jvfault.New("send", c.err, nil)
	}
	body := &raceBody{Reader: &scriptBody{ctx: ctx, rest: run.body, script: c}, close: leave}
	return &Response{Status: c.status, Header: http.Header{}, Body: body, Refused: c.refused, Signed: !c.refused, End: jvend.Proven}, nil
}

// hedgeLoad is a number of requests that are sent to a fixture with many targets.
type hedgeLoad struct {
	routes []string
	gap    time.Duration
	n      int
	answer func(target string, since time.Duration) script
	deaf   bool
	leave  func(n int) time.Duration
}

const (
	loadShare   = 0.1
	loadTargets = 8
)

// hedgeResult is what a load showed.
type hedgeResult struct {
	requests, sent, extra, slow int
	// broken are the promises that did not hold.
	broken []string
}

// run sends the load and checks what must hold for each of its requests.
func (l hedgeLoad) run(t *testing.T) (result hedgeResult) {
	servers := &hedgeServers{sent: map[string][]*hedgeRun{}, deaf: l.deaf}
	s := newFixtureWith(t, func(o *Options) {
		o.Sender = servers
		o.Hedge = jvhedge.Options{Share: loadShare, MinDelay: 50 * time.Millisecond}
	})
	s.budgets.left = 1e9
	entries := map[string]*Entry{}
	for i := range loadTargets {
		id := fmt.Sprint("t", i)
		entries[id] = &Entry{Pool: "p", Target: jvconfig.Target{Name: id, Zone: "a", Address: id + ":1", Slots: 16, Version: "v1"}}
	}
	s.relay.Registry().Update(entries, true)
	start := time.Now()
	const warm = 400 // All targets are quick until then.
	servers.answer = func(target string) script {
		since := time.Since(start) - time.Duration(warm)*4*time.Millisecond
		if since < 0 {
			return script{status: 200, delay: 10 * time.Millisecond}
		}
		return l.answer(target, since)
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]time.Time{}
	breaks := func(format string, arguments ...any) {
		mu.Lock()
		defer mu.Unlock()
		result.broken = append(result.broken, fmt.Sprintf(format, arguments...))
	}
	for i := range warm + l.n {
		route, id := l.routes[i%len(l.routes)], fmt.Sprint("r", i)
		ctx, cancel := context.WithCancel(t.Context())
		if i >= warm && l.leave != nil && l.leave(i) > 0 {
			time.AfterFunc(l.leave(i), cancel)
		}
		wait.Go(func() {
			defer cancel()
			began := time.Now()
			got := serveOne(ctx, s, route, id)
			mu.Lock()
			ends[id] = time.Now()
			if ends[id].Sub(began) > 300*time.Millisecond {
				result.slow++
			}
			mu.Unlock()
			servers.mu.Lock()
			defer servers.mu.Unlock()
			checkRuns(route, got, servers.sent[id], breaks)
		})
		if i < warm {
			time.Sleep(4 * time.Millisecond)
		} else {
			time.Sleep(l.gap)
		}
	}
	wait.Wait()
	synctest.Wait()
	for id, runs := range servers.sent {
		for _, run := range runs {
			if run.endedAt.IsZero() || run.endedAt.After(ends[id]) {
				breaks("an attempt runs on after the end of its request")
			}
		}
	}
	if waiting, busy, _ := s.relay.targets.Occupancy("p"); waiting != 0 || busy != 0 {
		breaks("%d slots are still taken", busy)
	}
	result.requests = warm + l.n
	retries := 0
	for _, runs := range servers.sent {
		result.sent += len(runs)
		for i, run := range runs {
			if i > 0 && runs[i-1].kind != KindUnsent && run.kind != KindUnsent {
				retries++
			}
		}
	}
	var b strings.Builder
	s.relay.Meter().Write(&b)
	for line := range strings.Lines(b.String()) {
		_, _ = fmt.Sscanf(line, `jv_relay_hedges_total{pool="p",event="sent"} %d`, &result.extra)
	}
	if float64(result.extra) > 1+loadShare*float64(result.requests) {
		breaks("%d extra attempts for %d requests", result.extra, result.requests)
	}
	if o := s.relay.options; float64(retries) > o.MaxSavedRetries+o.RetryShare*float64(result.requests) {
		breaks("%d retries for %d requests", retries, result.requests)
	}
	used := int64(1e9) - s.budgets.left
	runs := 0
	for _, all := range servers.sent {
		for _, run := range all {
			if run.kind == "" {
				runs++
			}
		}
	}
	if maxUsed := int64(runs) * 1014; used < 0 || used > maxUsed {
		breaks("%d tokens settled for %d runs", used, runs)
	}
	return result
}

// checkRuns checks the response to one request and its attempts.
func checkRuns(route, got string, sent []*hedgeRun, breaks func(format string, arguments ...any)) {
	runs := 0
	matches := false
	for _, run := range sent {
		if run.kind == "" {
			runs++
		}
		whole := strings.ReplaceAll(run.body, "\n", "|")
		_, body, _ := strings.Cut(got, ": ")
		matches = matches || body == whole
	}
	limit := 2
	if route == "once" || route == "fixed" {
		limit = 1
	}
	switch {
	case runs > limit:
		breaks("%d runs of a request of route %s", runs, route)
	case strings.HasPrefix(got, "refused 503") && runs > 0:
		breaks("refused as not run after %d runs", runs)
	case strings.HasPrefix(got, "200") && !strings.HasSuffix(got, "cut") && !matches:
		breaks("the response %q is none of the targets'", got)
	}
}

func serveOne(ctx context.Context, s *fixture, route, id string) string {
	now := time.Now()
	q := &Request{
		ID: id, Method: "POST", Host: "h", Path: "/" + route + "/x", URI: "/" + route + "/x", Header: http.Header{}, Body: []byte(id),
		Key: "key", ArrivedAt: now, Deadline: now.Add(3 * time.Second),
	}
	if route == "stream" || route == "fixed" {
		q.Usage = Usage{PromptTokens: 1000, OutputTokens: 80}
	}
	c := &callerFake{}
	s.relay.Serve(ctx, q, c)
	return c.got.String()
}

// TestHedgeLoad guards against extra attempts that add load to a pool which is slow or busy as a whole, and against none where
// they help.
func TestHedgeLoad(t *testing.T) {
	const quick, slow = 10 * time.Millisecond, 500 * time.Millisecond
	ok := func(d time.Duration) script { return script{status: 200, delay: d} }
	oneSlow := func(target string, _ time.Duration) script {
		if target == "t0" {
			return ok(slow)
		}
		return ok(quick)
	}
	for _, c := range []struct {
		name  string
		load  hedgeLoad
		check func(t *testing.T, r hedgeResult)
	}{
		{"one slow target of many", hedgeLoad{gap: 4 * time.Millisecond, n: 1000, answer: oneSlow}, func(t *testing.T, r hedgeResult) {
			require.Greater(t, r.extra, 12) // Map order decides between 24 and 35.
			require.Less(t, r.slow, r.extra)
		}},
		{"all targets slow", hedgeLoad{gap: 30 * time.Millisecond, n: 300, answer: func(string, time.Duration) script { return ok(slow) }}, func(t *testing.T, r hedgeResult) {
			require.Zero(t, r.extra)
		}},
		{"burst", hedgeLoad{n: 1000, answer: oneSlow}, func(t *testing.T, r hedgeResult) {
			require.Zero(t, r.extra)
		}},
		{"one silent target", hedgeLoad{gap: 4 * time.Millisecond, n: 500, answer: func(target string, _ time.Duration) script {
			if target == "t0" {
				return ok(time.Hour)
			}
			return ok(quick)
		}}, func(t *testing.T, r hedgeResult) { require.Greater(t, r.extra, 5) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.load.routes = []string{"safe"}
				r := c.load.run(t)
				require.Empty(t, r.broken)
				t.Logf("%d requests, %d extra, %d slow", r.requests, r.extra, r.slow)
				c.check(t, r)
			})
		})
	}
}

// hedgeHistories are loads of requests of all kinds, with targets that change their behavior.
func hedgeHistories() *rapid.Generator[hedgeLoad] {
	return rapid.Custom(func(r *rapid.T) hedgeLoad {
		kinds := rapid.SliceOfN(rapid.SampledFrom([]script{
			{status: 200, delay: 10 * time.Millisecond},
			{status: 200, delay: 10 * time.Millisecond},
			{status: 200, delay: 10 * time.Millisecond},
			{status: 200, delay: 120 * time.Millisecond},
			{status: 200, delay: time.Hour},
			{status: 500, delay: 70 * time.Millisecond},
			{err: KindBroken, delay: 70 * time.Millisecond},
			{err: KindUnsent, delay: 60 * time.Millisecond},
			{status: 503, refused: true, delay: 60 * time.Millisecond},
			{status: 200, delay: 70 * time.Millisecond, cut: true},
		}), 3*loadTargets, 3*loadTargets).Draw(r, "kinds")
		leaves := rapid.IntRange(2, 30).Draw(r, "leaves")
		return hedgeLoad{
			routes: []string{"safe", "once", "stream", "fixed", "safe"},
			gap:    time.Duration(rapid.IntRange(1, 20).Draw(r, "gap")) * time.Millisecond,
			n:      rapid.IntRange(20, 150).Draw(r, "n"),
			answer: func(target string, since time.Duration) script {
				return kinds[int(since/(300*time.Millisecond))%3*loadTargets+int(target[1]-'0')]
			},
			leave: func(n int) time.Duration {
				if n%leaves != 0 {
					return 0
				}
				return time.Duration(50+n%100) * time.Millisecond
			},
		}
	})
}

// TestHedgeHistories guards what a router promises of each request against any order of answers, failures and leaving callers.
// Targets that go on with canceled attempts must be found.
func TestHedgeHistories(t *testing.T) {
	extra := 0
	jvproperty.CheckFraction(t, 20, func(r *rapid.T) { // One load has hundreds of requests.
		load := hedgeHistories().Draw(r, "load")
		var result hedgeResult
		synctest.Test(t, func(t *testing.T) { result = load.run(t) })
		extra += result.extra
		require.Empty(r, result.broken)
	})
	require.Positive(t, extra)
	found := false
	for seed := range 5 {
		load := hedgeHistories().Example(seed)
		load.deaf = true
		synctest.Test(t, func(t *testing.T) { found = len(load.run(t).broken) > 0 || found })
	}
	require.True(t, found)
}
