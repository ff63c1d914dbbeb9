package jvgrant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawPolicyInput(r *rapid.T) PolicyInput {
	amount := rapid.Int64Range(0, 1_000_000)
	in := PolicyInput{
		Prepaid:        amount.Draw(r, "prepaid"),
		DemandRate:     rapid.Int64Range(0, 100_000).Draw(r, "rate"),
		Available:      amount.Draw(r, "available"),
		TypicalRequest: rapid.Int64Range(0, 20_000).Draw(r, "typical"),
		Waiting:        rapid.Int64Range(0, 50_000).Draw(r, "want"),
		Routers:        rapid.IntRange(0, 400).Draw(r, "routers"),
		Draw:           rapid.Float64Range(0, 0.999).Draw(r, "draw"),
	}
	in.Totals = Totals{
		Net: amount.Draw(r, "net"), Used: amount.Draw(r, "used"), Lost: amount.Draw(r, "lost"),
		DemandRate: rapid.Int64Range(0, 1_000_000).Draw(r, "rates"), Shortfall: rapid.Int64Range(0, 50_000).Draw(r, "wants"),
	}
	return in
}

// TestPolicyBounds guards against a router that takes more than is free or returns more than it has.
func TestPolicyBounds(t *testing.T) {
	p := DefaultPolicy()
	rapid.Check(t, func(r *rapid.T) {
		in := drawPolicyInput(r)
		take, give := p.GrantAmount(in), p.ReturnAmount(in)
		require.GreaterOrEqual(r, take, int64(0))
		require.LessOrEqual(r, take, max(0, in.Prepaid-in.Totals.Net))
		require.GreaterOrEqual(r, give, int64(0))
		require.LessOrEqual(r, give, in.Available)
	})
}

// TestOneWaitingRequestDoesNotEmptyTheFleet guards against routers that return all they hold for one waiting
// request. On a busy budget near its end, one request waits for 9,000 tokens, nothing is free, and eight
// routers hold 600,000 each. Together they return a part of that and keep what they need while
// disconnected.
func TestOneWaitingRequestDoesNotEmptyTheFleet(t *testing.T) {
	in := PolicyInput{
		Prepaid: 10_000_000, DemandRate: 60_000, Available: 600_000, TypicalRequest: 8000, Routers: 8,
		Totals: Totals{Net: 10_000_000, Used: 5_200_000, DemandRate: 480_000, Shortfall: 9000},
	}
	give := int64(0)
	for n := range in.Routers {
		in.Draw = (float64(n) + 0.5) / float64(in.Routers)
		give += DefaultPolicy().ReturnAmount(in)
	}
	require.Greater(t, give, int64(9000))
	require.Less(t, give, int64(50_000))
}

// TestGrantAmountLeavesTokensToOthers guards against a router that refills its own holding with the
// tokens that requests at other routers wait for.
func TestGrantAmountLeavesTokensToOthers(t *testing.T) {
	in := PolicyInput{
		Prepaid: 1_000_000, DemandRate: 10_000, Available: 0, TypicalRequest: 5000, Routers: 2,
		Totals: Totals{Net: 970_000, Used: 500_000, DemandRate: 20_000, Shortfall: 30_000},
	}
	require.Zero(t, DefaultPolicy().GrantAmount(in))
	in.Waiting = 8000
	require.NotZero(t, DefaultPolicy().GrantAmount(in))
}

// TestBoundRises guards against a bound that falls with time or that starts without its headroom.
func TestBoundRises(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		row := Row{
			Committed: rapid.Int64Range(0, 1_000_000).Draw(r, "base"), BoundRate: rapid.Int64Range(0, 500_000).Draw(r, "rate"),
			Headroom: rapid.Int64Range(0, 50_000).Draw(r, "size"),
		}
		early := rapid.Int64Range(0, 20_000_000_000).Draw(r, "early")
		late := early + rapid.Int64Range(0, 20_000_000_000).Draw(r, "later")
		require.GreaterOrEqual(r, row.boundAfter(0), row.Committed+row.Headroom)
		require.GreaterOrEqual(r, row.boundAfter(durationOf(late)), row.boundAfter(durationOf(early)))
	})
}

func durationOf(nanoseconds int64) time.Duration { return time.Duration(nanoseconds) }
