package jvrelay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvgrant"
	"github.com/jasminevale/jasminevale/internal/jvlimit"
	"github.com/jasminevale/jasminevale/internal/jvquarantine"
	"github.com/jasminevale/jasminevale/internal/jvreach"
	"github.com/jasminevale/jasminevale/internal/jvroute"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
	"github.com/jasminevale/jasminevale/internal/jvversion"
)

// script is the behavior of a target for one attempt.
type script struct {
	err     Kind
	status  int
	body    string
	refused bool
	// wrongInstance refuses the attempt as another instance at the same address.
	wrongInstance bool
	unsigned      bool
	// unidentified leaves out the request's ID.
	unidentified bool
	// limit is the target's limit, or nil; namesLimit names one that can't be read.
	limit      *float64
	namesLimit bool
	// leaving says that the target leaves, retryAfter for how long it wants no requests.
	leaving    bool
	retryAfter time.Duration
	// figure is the work figure of the target's load report, or 0 for none.
	figure float64
	// unframed ends the body with the connection.
	unframed bool
	// cut ends the body with an error; hang never ends it.
	cut  bool
	hang bool
	// ended makes the target refuse connections afterwards, dark makes it not respond to them.
	ended bool
	dark  bool
	// delay is how long the target takes to respond.
	delay time.Duration
}

// scriptSender runs the next script for each attempt and records what was sent.
type scriptSender struct {
	scripts []script
	sent    []string
	// probe is the result that follows from the latest script, target and address are those of the
	// latest attempt's target.
	probe   ProbeResult
	target  string
	address string
}

// index returns the number of the latest attempt's target, which its address tells.
func (s *scriptSender) index() int { return int(s.address[1] - '0') }

func (s *scriptSender) Probe(context.Context, jvconfig.Target) ProbeResult { return s.probe }

func (s *scriptSender) Send(ctx context.Context, d Dispatch) (*Response, error) {
	if len(s.scripts) == 0 {
		return nil, jvfault.Newf("send", KindUnsent, "no script is left")
	}
	c := s.scripts[0]
	s.scripts = s.scripts[1:]
	s.probe = ProbeAccepted
	switch {
	case c.ended:
		s.probe = ProbeRefused
	case c.dark:
		s.probe = ProbeNoResponse
	}
	s.target = d.Target.Name
	s.address = d.Target.Address
	line := "sent"
	if d.LastEventID != "" {
		line += " after event " + d.LastEventID
	}
	if d.Workspace != "" {
		line += " for " + d.Workspace
	}
	s.sent = append(s.sent, line)
	select {
	case <-ctx.Done():
		return nil, jvfault.New("send", KindBroken, ctx.Err())
	case <-time.After(c.delay):
	}
	if c.err != "" {
		return nil, jvfault.New("send", c.err, nil)
	}
	var load *jvtarget.Load
	if c.figure > 0 {
		load = &jvtarget.Load{Figure: c.figure, ReportedAt: time.Now()}
	}
	return &Response{
		Load: load, Status: c.status, Header: http.Header{}, Body: io.NopCloser(&scriptBody{ctx: ctx, rest: c.body, script: c}),
		Refused: c.refused || c.wrongInstance, WrongInstance: c.wrongInstance, Signed: !c.unsigned, End: endOf(c.unframed),
		Limit: c.limit, NamesLimit: c.limit != nil || c.namesLimit, Unidentified: c.unidentified, Leaving: c.leaving, RetryAfter: c.retryAfter,
	}, nil
}

type scriptBody struct {
	ctx    context.Context //nolint:containedctx // Canceling it ends the body as it ends that of a real response.
	rest   string
	script script
}

func (b *scriptBody) Read(p []byte) (int, error) {
	if b.rest != "" {
		n := copy(p, b.rest)
		b.rest = b.rest[n:]
		return n, nil
	}
	switch {
	case b.script.cut:
		return 0, io.ErrUnexpectedEOF
	case b.script.hang:
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	return 0, io.EOF
}

// callerFake records what a caller received.
type callerFake struct {
	got   bytes.Buffer
	shown jvend.End
}

func (c *callerFake) Begin(status int, _ http.Header, length int64, end jvend.End) {
	c.shown = end
	if end == jvend.Claimed {
		fmt.Fprintf(&c.got, "%d until the close: ", status)
		return
	}
	fmt.Fprintf(&c.got, "%d length %d: ", status, length)
}

func (c *callerFake) Write(p []byte) error {
	c.got.WriteString(strings.ReplaceAll(string(p), "\n", "|"))
	return nil
}

func (c *callerFake) Refuse(p Problem) {
	fmt.Fprintf(&c.got, "refused %d %s, retry after %s", p.Status, p.Name, p.RetryAfter)
}

func (c *callerFake) End(e jvend.End) {
	if e == jvend.Broken || !e.Shows(c.shown) {
		c.got.WriteString("... cut")
	}
}

// budgetFake holds a fixed number of tokens.
type budgetFake struct {
	mu    sync.Mutex
	left  int64
	kind  jvgrant.Kind
	ready bool
}

func (b *budgetFake) Reserve(_ context.Context, workspace string, tokens int64) (jvescrow.Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if tokens > b.left {
		return jvescrow.Reservation{}, jvfault.Newf("reserve", b.kind, "not enough tokens left")
	}
	b.left -= tokens
	return jvescrow.Reservation{Profile: workspace, Tokens: tokens}, nil
}

func (b *budgetFake) Settle(r jvescrow.Reservation, used int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += r.Tokens - used
}

func (b *budgetFake) Ready() bool { return b.ready }

// localQuarantine is a quarantine without other routers.
type localQuarantine struct {
	*jvquarantine.Quarantine
	unloaded bool
}

func (q localQuarantine) Loaded() bool { return !q.unloaded }

func newLocalQuarantine(timer *jvtimer.Service) localQuarantine {
	o := jvquarantine.DefaultOptions()
	o.Timer = timer
	return localQuarantine{Quarantine: jvquarantine.New(o)}
}

// versionsFake knows the origins of streams that it was given.
type versionsFake struct {
	byRequest map[string]jvversion.Origin
	// only is the version of all targets, or empty.
	only  string
	mu    sync.Mutex
	begun map[string]jvversion.Origin
}

func (v *versionsFake) Observe(map[string][]string) {}

func (v *versionsFake) Begin(_ context.Context, request string, o jvversion.Origin) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.begun[request] = o
}

func (v *versionsFake) Find(_ context.Context, _ []string, request string) (jvversion.Origin, jvversion.Source) {
	if o, ok := v.byRequest[request]; ok {
		return o, jvversion.SourcePeer
	}
	if v.only != "" {
		return jvversion.Origin{Version: v.only}, jvversion.SourceOnly
	}
	return jvversion.Origin{}, jvversion.SourceNone
}

// fixture is a relay with three targets.
type fixture struct {
	relay   *Relay
	sender  *scriptSender
	budgets *budgetFake
	// versions knows that all targets have the version v1.
	versions *versionsFake
}

func newFixture(t *testing.T, scripts ...script) *fixture {
	return newFixtureWith(t, func(*Options) {}, scripts...)
}

// newFixtureWith returns a fixture whose relay has changed options.
func newFixtureWith(t *testing.T, change func(o *Options), scripts ...script) *fixture {
	s := &fixture{sender: &scriptSender{scripts: scripts}, budgets: &budgetFake{left: 10_000, kind: jvgrant.KindShort, ready: true}}
	timer := jvtimer.NewService()
	t.Cleanup(timer.Close)
	o := DefaultOptions()
	o.Zone = "a"
	o.Timer = timer
	o.Random = jvchance.NewSource([32]byte{1})
	o.Logger = logr.Discard()
	o.Sender = s.sender
	o.Budgets = s.budgets
	o.Quarantine = newLocalQuarantine(timer)
	limits := jvlimit.DefaultOptions()
	limits.Timer = timer
	limits.Clock = timer.Now
	o.Limits = jvlimit.New(limits)
	s.versions = &versionsFake{only: "v1", byRequest: map[string]jvversion.Origin{}, begun: map[string]jvversion.Origin{}}
	o.Versions = s.versions
	reach := jvreach.DefaultOptions()
	reach.Timer = timer
	reach.Random = o.Random.Float
	o.Reach = jvreach.New(reach)
	change(&o)
	s.relay = NewRelay(o)
	s.relay.Configure(table(1))
	entries := map[string]*Entry{}
	for n := range 3 {
		id := fmt.Sprint("t", n)
		entries[id] = &Entry{Pool: "p", Target: jvconfig.Target{Name: id, Zone: "a", Address: id + ":1", Slots: 4, Version: "v1"}}
	}
	s.relay.Registry().Update(entries, true)
	return s
}

func table(version uint64) *jvroute.Table { return newTable(version, false) }

// cachedTable returns a configuration whose targets cache prefixes.
func cachedTable(version uint64) *jvroute.Table { return newTable(version, true) }

func newTable(version uint64, cached bool) *jvroute.Table {
	pools := []jvroute.WeightedPool{{Pool: "p", Weight: 1}}
	route := func(name string, kind jvroute.Kind, attempts int, resumable bool) jvroute.Route {
		return jvroute.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second,
			TargetLatency: 300 * time.Millisecond, MaxAttempts: attempts, Pools: pools, Resumable: resumable, CachedPrefixes: cached,
		}
	}
	return jvroute.NewTable(version, jvroute.Limits{}).
		WithRoutes([]jvroute.Route{
			route("safe", jvroute.KindSafe, 2, false), route("once", jvroute.KindUnsafe, 1, false),
			route("stream", jvroute.KindStream, 2, true), route("fixed", jvroute.KindStream, 1, false),
		}).
		WithWorkspaces([]jvroute.Workspace{{Name: "w", Keys: []string{"key"}, Priority: -1, Prepaid: 10_000}}).
		WithPools([]jvroute.Pool{{Name: "p", Engine: true, MaxEventTokens: 7}})
}

// serve sends one request to a route and returns what the caller received.
func (s *fixture) serve(ctx context.Context, t *testing.T, route string, change func(q *Request)) string {
	t.Helper()
	now := time.Now()
	q := &Request{
		ID: "r", Method: "POST", Host: "h", Path: "/" + route + "/x", URI: "/" + route + "/x", Header: http.Header{},
		Key: "key", ArrivedAt: now, Deadline: now.Add(3 * time.Second),
	}
	if route == "stream" || route == "fixed" {
		q.Usage = Usage{PromptTokens: 1000, OutputTokens: 80}
	}
	if change != nil {
		change(q)
	}
	c := &callerFake{}
	s.relay.Serve(ctx, q, c)
	require.Zero(t, s.relay.Active())
	return c.got.String()
}
