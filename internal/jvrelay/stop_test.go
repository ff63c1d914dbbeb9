package jvrelay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvpressure"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// TestPlanStop guards against a plan that ends answers before the last sixth of the grace period, or that leaves
// the process no time to exit before it is killed, at any grace period.
func TestPlanStop(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		grace := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(r, "grace"))
		p := PlanStop(grace)
		require.GreaterOrEqual(r, p.DrainEnd(), grace*5/6)
		require.GreaterOrEqual(r, p.Drain, p.Notice, "requests that arrive at the end of the notice have as long as the notice")
		require.GreaterOrEqual(r, p.Return, time.Duration(0))
		margin := min(750*time.Millisecond, grace/24) // The process exits within it, also with a fifth of a processor.
		require.LessOrEqual(r, p.ReturnEnd(p.DrainEnd()), grace-margin)
		require.LessOrEqual(r, p.ReturnEnd(p.Notice), p.Notice+time.Second, "a router without requests doesn't wait for the store for long")
		require.GreaterOrEqual(r, p.Return, margin, "the return has as long")
	})
}

// TestRetryBound checks that the platform's bound on retries overrides the operator's setting.
func TestRetryBound(t *testing.T) {
	o := DefaultOptions()
	require.InDelta(t, 0.15, o.WithRetryBound(0.2, 56).RetryShare, 1e-9)
	require.InDelta(t, 0.075, o.WithRetryBound(0.1, 56).RetryShare, 1e-9)
	require.InDelta(t, 0.15, o.WithRetryBound(0, 0).RetryShare, 1e-9)
	o.Timer = jvtimer.NewService()
	defer o.Timer.Close()
	for _, c := range []struct {
		slack    float64
		routers  int
		maxSaved float64
		start    float64
	}{{56, 1, 5, 1}, {56, 8, 5, 1}, {16, 8, 1.5, 0.5}, {164, 62, 1.984, 0.661}, {16, 62, 1, 0.065}} {
		bounded := o.WithRetryBound(0.2, c.slack)
		bounded.CountRouters = func() (int, bool) { return c.routers, true }
		r := newRetryBudgets(bounded)
		r.resize()
		maxSaved, start := r.limits()
		require.InDelta(t, c.maxSaved, maxSaved, 1e-3, "%+v", c)
		require.InDelta(t, c.start, start, 1e-3, "%+v", c)
	}
	maxSaved, start := newRetryBudgets(o).limits()
	require.InDelta(t, o.MaxSavedRetries, maxSaved, 1e-9)
	require.InDelta(t, o.MaxSavedRetries, start, 1e-9)
}

// TestLinkRefusal guards against a request that the link can't carry and that is refused without its reason, or counted as
// in progress.
func TestLinkRefusal(t *testing.T) {
	var offered []any
	s := newFixtureWith(t, func(o *Options) {
		o.AdmitLink = func(workspace string, bytes int64) (time.Duration, bool) {
			offered = append(offered, workspace, bytes)
			return 30 * time.Millisecond, false
		}
	})
	_, refusal := s.relay.Enter(Head{Key: "unknown", Bytes: 5000})
	require.Equal(t, jvpressure.KindLink, refusal.Kind)
	require.Equal(t, []any{"", int64(5000)}, offered)
	c := &callerFake{}
	s.relay.RefuseUnread("r", refusal, c)
	require.Equal(t, "refused 503 overloaded, retry after 30ms", c.got.String())
	require.Zero(t, s.relay.Gate().Requests().Taken())
	require.Equal(t, int64(1), s.relay.Gate().Counts().Refused[jvpressure.KindLink])
}

// TestMaxActive checks that no more requests are admitted than the machine bears, and that their end makes room.
func TestMaxActive(t *testing.T) {
	s := newFixtureWith(t, func(o *Options) {
		g := jvpressure.DefaultGateOptions()
		g.Timer = o.Timer
		g.Random = func() float64 { return 0.5 }
		g.Limits.Requests = 2
		o.Gate = jvpressure.NewGate(g)
	})
	enter := func(r *Relay) *jvpressure.Refusal {
		_, refusal := r.Enter(Head{})
		return refusal
	}
	require.Nil(t, enter(s.relay))
	require.Nil(t, enter(s.relay))
	refusal := enter(s.relay)
	require.Equal(t, jvpressure.KindRequests, refusal.Kind)
	c := &callerFake{}
	s.relay.RefuseUnread("r", refusal, c)
	require.Equal(t, "refused 503 overloaded, retry after 200ms", c.got.String())
	s.relay.Leave(jvpressure.Flow{}, false)
	require.Nil(t, enter(s.relay))
	unlimited := newFixture(t)
	for range 10_000 {
		require.Nil(t, enter(unlimited.relay))
	}
}
