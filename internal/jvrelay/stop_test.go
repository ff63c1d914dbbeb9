package jvrelay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestPlanStop checks that the parts of a planned stop fit into any grace period.
func TestPlanStop(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		grace := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(r, "grace"))
		p := PlanStop(grace)
		require.LessOrEqual(r, p.Notice+p.Drain+p.Return, grace)
		require.GreaterOrEqual(r, p.Drain, time.Duration(0))
	})
	require.Equal(t, StopPlan{Notice: 2500 * time.Millisecond, Drain: 4 * time.Second, Return: 750 * time.Millisecond}, PlanStop(8*time.Second))
}

// TestRetryBound checks that the platform's bound on retries overrides the operator's setting.
func TestRetryBound(t *testing.T) {
	o := DefaultOptions()
	require.InDelta(t, 0.15, o.WithRetryBound(0.2, 56).RetryShare, 1e-9)
	require.InDelta(t, 0.075, o.WithRetryBound(0.1, 56).RetryShare, 1e-9)
	require.InDelta(t, 0.15, o.WithRetryBound(0, 0).RetryShare, 1e-9)
	require.InDelta(t, 2, o.WithRetryBound(0.2, 16).MaxSavedRetries, 1e-9)
}
