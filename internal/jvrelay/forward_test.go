package jvrelay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvreach"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// forwarderFake answers for the other routers by scripts.
type forwarderFake struct {
	scripts []script
	sent    []string
}

func (s *forwarderFake) Forward(ctx context.Context, to jvmember.Member, d Dispatch) (*Response, error) {
	s.sent = append(s.sent, fmt.Sprintf("%s: after %q, bound=%t to %q, avoiding %v", to.Name, d.LastEventID, d.Selection.Bound, d.Selection.Version, d.Selection.Avoid))
	if len(s.scripts) == 0 {
		return nil, jvfault.Newf("forward", KindUnsent, "no script is left")
	}
	c := s.scripts[0]
	s.scripts = s.scripts[1:]
	if c.err != "" {
		return nil, jvfault.New("forward", c.err, nil)
	}
	return &Response{
		Status: c.status, Header: http.Header{}, Body: io.NopCloser(&scriptBody{ctx: ctx, rest: c.body, script: c}),
		Refused: c.refused, Signed: !c.unsigned, End: endOf(c.unframed), Target: jvconfig.Target{Name: "t9", Version: "v1"}, Leaving: c.leaving,
	}, nil
}

// cutFixture is a relay that is cut off from all targets, which two other routers reach.
type cutFixture struct {
	*fixture

	forwarder *forwarderFake
}

// newCutFixture returns a fixture that finds its cut by failed connections.
func newCutFixture(t *testing.T, scripts ...script) cutFixture {
	f := cutFixture{forwarder: &forwarderFake{scripts: scripts}}
	timer := jvtimer.NewService()
	t.Cleanup(timer.Close)
	o := jvreach.DefaultOptions()
	o.Timer = timer
	o.Random = func() float64 { return 0.5 }
	o.Others = func() []jvmember.Member { return []jvmember.Member{{Name: "r1"}, {Name: "r2"}} }
	o.Targets = func() []jvreach.Target { return []jvreach.Target{{Name: "t0"}, {Name: "t1"}, {Name: "t2"}} }
	o.Connect = func(context.Context, jvreach.Target) bool { return false }
	reach := jvreach.New(o)
	f.fixture = newFixtureWith(t, func(o *Options) { o.Reach, o.Forwarder = reach, f.forwarder })
	reach.Failed("t0")
	reach.Failed("t1")
	time.Sleep(time.Second)
	require.True(t, reach.Cut())
	return f
}

// TestForwardedAttempts guards against refusing requests while other routers reach the targets (incident RECOVER, issue
// 24), against running an unsafe one twice, and against a stream that goes on at another version.
func TestForwardedAttempts(t *testing.T) {
	whole := script{status: 200, body: "answer"}
	for _, c := range []struct {
		name    string
		route   string
		scripts []script
		want    string
		tries   int
	}{
		{"served", "once", []script{whole}, "200 length 6: answer", 1},
		{"first router is lost before", "once", []script{{err: KindUnsent}, whole}, "200 length 6: answer", 2},
		{"router is lost midway", "once", []script{{err: KindBroken}, whole}, "refused 502 failed, retry after 0s", 1},
		{"no router has room", "once", []script{{err: KindUnsent}, {err: KindUnsent}}, "refused 503 overloaded, retry after 200ms", 2},
		{"safe, router is lost midway", "safe", []script{{err: KindBroken}, whole}, "200 length 6: answer", 2},
		{"stream", "stream", []script{{status: 200, body: events123}}, "200 length -1: id: 1|data: a||id: 2|data: b||id: 3|data: c||", 1},
		{"stream, router is lost midway", "stream", []script{{status: 200, body: events1, cut: true}, {status: 200, body: events23}}, "200 length -1: id: 1|data: a||id: 2|data: b||id: 3|data: c||", 2},
		{"unsigned", "once", []script{{status: 200, body: "other", unsigned: true}}, "refused 502 failed, retry after 0s", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCutFixture(t, c.scripts...)
				require.Equal(t, c.want, f.serve(t.Context(), t, c.route, nil))
				require.Len(t, f.forwarder.sent, c.tries)
				require.Empty(t, f.sender.sent)
				if c.route == "stream" && c.tries == 2 {
					require.Contains(t, f.forwarder.sent[1], `after "1", bound=true to "v1", avoiding [t9]`)
				}
			})
		})
	}
}

// TestNoForwardWithoutReason checks that a request goes to another router only if that may reach more targets.
func TestNoForwardWithoutReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &forwarderFake{scripts: []script{{status: 200, body: "answer"}}}
		s := newFixtureWith(t, func(o *Options) { o.Forwarder = forwarder }, script{status: 503, refused: true}, script{status: 503, refused: true}, script{status: 503, refused: true})
		require.Equal(t, "refused 503 overloaded, retry after 200ms", s.serve(t.Context(), t, "once", nil))
		require.Empty(t, forwarder.sent)
	})
}

// TestServePeer guards against requests that go through more than one other router, and against slots that stay in use
// after an attempt for another router.
func TestServePeer(t *testing.T) {
	dispatch := func() Dispatch {
		return Dispatch{
			Request: &Request{ID: "q", Method: "POST", Host: "h", URI: "/once/x", Header: http.Header{}}, Timeout: time.Second,
			Selection: Selection{Pool: "p", Bound: true, Version: "v1"},
		}
	}
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, script{status: 200, body: "answer"}, script{err: KindBroken}, script{status: 503, refused: true})
		r, err := s.relay.ServePeer(t.Context(), dispatch(), "r1")
		require.NoError(t, err)
		require.Equal(t, "v1", r.Target.Version)
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.Equal(t, "answer", string(body))
		require.NoError(t, r.Body.Close())
		_, err = s.relay.ServePeer(t.Context(), dispatch(), "r1")
		require.Equal(t, KindBroken, jvfault.KindOf[Kind](err))
		r, err = s.relay.ServePeer(t.Context(), dispatch(), "r1")
		require.NoError(t, err)
		require.True(t, r.Refused)
		require.NoError(t, r.Body.Close())
		d := dispatch()
		d.Selection.Version = "v2"
		_, err = s.relay.ServePeer(t.Context(), d, "r1")
		require.Equal(t, KindUnsent, jvfault.KindOf[Kind](err))
		for _, p := range s.relay.targets.Views() {
			for _, g := range p.Targets {
				require.Zero(t, g.OwnRequests)
			}
		}
		require.Zero(t, s.relay.options.Gate.Requests().Taken())
		s.relay.Stop(time.Now(), PlanStop(8*time.Second))
		_, err = s.relay.ServePeer(t.Context(), dispatch(), "r1")
		require.Equal(t, KindUnsent, jvfault.KindOf[Kind](err))
	})
	synctest.Test(t, func(t *testing.T) {
		f := newCutFixture(t, script{status: 200, body: "answer"})
		_, err := f.relay.ServePeer(t.Context(), dispatch(), "r1")
		require.Equal(t, KindUnsent, jvfault.KindOf[Kind](err))
		require.Empty(t, f.forwarder.sent)
	})
}

// TestCutIsNoCrash guards against reporting crashes of sound targets, by which other routers refuse sound requests,
// when this router's own link is cut (incident RECOVER, issue 24).
func TestCutIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCutFixture(t)
		for n := range 10 {
			a := newActiveRequest(&Request{ID: fmt.Sprint(n), URI: strings.Repeat("/", n+1)}, nil)
			a.setFeatures()
			f.sender.probe = ProbeRefused
			require.False(t, f.relay.crashes.attemptBroke(t.Context(), a, jvconfig.Target{Name: "t0"}, false))
			f.relay.crashes.entryRemoved("t0") // Its entry may lapse in the same cut.
			require.False(t, f.relay.options.Quarantine.Suspected(a.features.Request))
		}
	})
}

// TestStrandedRouter guards against a router that keeps its callers although it reaches neither targets nor other
// routers.
func TestStrandedRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCutFixture(t)
		time.Sleep(2 * time.Second) // No other router answers.
		ready, reason := f.relay.Ready()
		require.False(t, ready)
		require.Equal(t, "cut off from all targets and routers", reason)
		require.True(t, f.relay.SendsAway())
	})
}
