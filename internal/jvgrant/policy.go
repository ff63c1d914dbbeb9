package jvgrant

import (
	"math"
	"time"
)

// Policy sizes what a router holds of a budget.
type Policy struct {
	// Horizon is how long a router that is cut off should be able to serve recent demand.
	Horizon time.Duration
	// SpareRequests is how many typical requests are held beyond demand and its random swings.
	SpareRequests int64
	// MaxHeldShare is the share of the unspent budget that all routers hold together at most.
	MaxHeldShare float64
	// PriorShare is the share that they hold before any demand is known.
	PriorShare float64
	// RefillBelow, Fill and High are the shares of the target below which a router takes more, up to
	// which it takes, and above which it gives back. TopUp is the share below which it takes more
	// while it writes anyhow: many routers meet at the topic's end, so each should write rarely.
	RefillBelow float64
	TopUpBelow  float64
	RefillTo    float64
	ReturnAbove float64
}

// DefaultPolicy returns the policy of this release.
func DefaultPolicy() Policy {
	return Policy{
		Horizon:       10 * time.Second, // Cuts of 7 to 9 s are usual.
		SpareRequests: 2,
		MaxHeldShare:  0.9, // Less leaves tokens out of reach in a cut, more leaves none for a burst.
		PriorShare:    0.5,
		RefillBelow:   0.8, // A router takes about every four seconds at constant demand.
		TopUpBelow:    1.1,
		RefillTo:      1.2,
		ReturnAbove:   1.6, // Random swings of demand stay below it.
	}
}

// PolicyInput is what a decision on one budget is made from, in tokens.
type PolicyInput struct {
	Prepaid int64
	Totals  Totals
	// DemandRate is this router's own demand in tokens a second, which Totals may lag.
	DemandRate int64
	// Available can be reserved now.
	Available int64
	// TypicalRequest is the size of a request, Want what a request waits for.
	TypicalRequest int64
	Waiting        int64
	// Routers is the number of routers that share the budget.
	Routers int
}

// free returns what no router holds.
func (s PolicyInput) free() int64 { return s.Prepaid - s.Totals.Net }

// unspent returns what is left to be spent, wherever it is held.
func (s PolicyInput) unspent() int64 {
	return max(0, s.Prepaid-s.Totals.Used-s.Totals.Lost)
}

// Target returns what a router should hold unreserved.
func (p Policy) Target(s PolicyInput) int64 {
	routers := float64(max(s.Routers, 1))
	unspent := float64(s.unspent())
	all := float64(max(s.Totals.DemandRate, s.DemandRate))
	if all == 0 {
		return int64(unspent * p.PriorShare / routers)
	}
	// A tenth of the demand counts as spread evenly: callers may turn to any router.
	const even = 0.1
	share := (1-even)*float64(s.DemandRate)/all + even/routers
	wish := float64(s.DemandRate)*p.Horizon.Seconds() + float64(spread(s.DemandRate, s.TypicalRequest, p.Horizon)+p.SpareRequests*s.TypicalRequest)
	return int64(min(wish, share*unspent*p.MaxHeldShare))
}

// GrantAmount returns how much more to take out of the budget. What requests at other routers wait
// for is left to them, unless one waits here as well.
func (p Policy) GrantAmount(s PolicyInput) int64 {
	free := s.free()
	if s.Waiting == 0 {
		free -= s.Totals.Shortfall
	}
	if free <= 0 {
		return 0
	}
	return p.take(s, free, p.TopUpBelow)
}

// NeedsGrant tells whether a router would write to take something if there were enough.
func (p Policy) NeedsGrant(s PolicyInput) bool { return p.take(s, math.MaxInt64/2, p.RefillBelow) > 0 }

func (p Policy) take(s PolicyInput, free int64, low float64) int64 {
	target := p.Target(s)
	take := int64(0)
	if float64(s.Available) < low*float64(target) {
		take = min(int64(p.RefillTo*float64(target))-s.Available, free)
	}
	if need := s.Waiting - s.Available; need > take {
		take = min(need, free)
	}
	return take
}

// wantFactor is how much more routers give together than a request elsewhere waits for, since
// others will follow it.
const wantFactor = 4

// ReturnAmount returns how much to put back: what lies above the target, or this router's part of what
// a request elsewhere waits for and nobody has free.
func (p Policy) ReturnAmount(s PolicyInput) int64 {
	over := s.Available - p.Target(s)
	if float64(s.Available) <= p.ReturnAbove*float64(p.Target(s)) || over <= s.TypicalRequest {
		over = 0
	}
	lack := s.Totals.Shortfall - s.free()
	if s.Totals.Shortfall == 0 || s.Waiting > 0 || lack <= 0 {
		return over
	}
	held := max(s.Totals.Net-s.Totals.Used-s.Totals.Lost, s.Available, 1)
	part := float64(wantFactor*lack) * float64(s.Available) / float64(held)
	return max(over, min(int64(part)+1, s.Available))
}
