package jvgrant

import (
	"math"
	"time"
)

// Policy determines how much of a budget a router holds.
type Policy struct {
	// Horizon is how long a disconnected router should be able to serve its recent demand.
	Horizon time.Duration
	// SpareRequests is how many typical requests are held beyond demand and its random variation.
	SpareRequests int64
	// MaxHeldShare is the maximum share of the unspent budget that all routers hold together.
	MaxHeldShare float64
	// PriorShare is the share that they hold before any demand is known.
	PriorShare float64
	// RefillBelow, RefillTo and ReturnAbove are the shares of the target below which a router takes
	// more, up to which it takes, and above which it returns tokens. TopUpBelow is the share below
	// which it takes more if it writes anyway: many routers append to the same topic, so each should
	// write rarely.
	RefillBelow float64
	TopUpBelow  float64
	RefillTo    float64
	ReturnAbove float64
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{
		Horizon:       10 * time.Second, // Network partitions of 7 to 9 s are usual.
		SpareRequests: 2,
		MaxHeldShare:  0.9, // Less leaves tokens unusable in a network partition, more leaves none for a burst.
		PriorShare:    0.5,
		RefillBelow:   0.8, // A router takes more about every four seconds at constant demand.
		TopUpBelow:    1.1,
		RefillTo:      1.2,
		ReturnAbove:   1.6, // Random variation of demand stays below it.
	}
}

// Leaving returns the policy of a router that serves new callers only for a time.
func (p Policy) Leaving(serving time.Duration) Policy {
	p.Horizon = min(p.Horizon, max(serving, 0))
	p.PriorShare = 0
	if p.Horizon == 0 {
		p.SpareRequests = 0
	}
	return p
}

// PolicyInput is what a decision on one budget depends on, in tokens.
type PolicyInput struct {
	Prepaid int64
	Totals  Totals
	// DemandRate is this router's own demand in tokens per second, which Totals may lag behind.
	DemandRate int64
	// Available is what can be reserved now.
	Available int64
	// TypicalRequest is the size of a request, Waiting what this router's requests wait for.
	TypicalRequest int64
	Waiting        int64
	// Routers is the number of routers that share the budget.
	Routers int
	// Draw is a random number in [0, 1) by which this router is among those that return tokens to others.
	Draw float64
}

// free returns what no router holds.
func (in PolicyInput) free() int64 { return in.Prepaid - in.Totals.Net }

// unspent returns what is left to be spent, whether or not a router holds it.
func (in PolicyInput) unspent() int64 {
	return max(0, in.Prepaid-in.Totals.Used-in.Totals.Lost)
}

// Target returns what a router should hold unreserved.
func (p Policy) Target(in PolicyInput) int64 {
	routers := float64(max(in.Routers, 1))
	unspent := float64(in.unspent())
	fleetRate := float64(max(in.Totals.DemandRate, in.DemandRate))
	if fleetRate == 0 {
		return int64(unspent * p.PriorShare / routers)
	}
	// A tenth of the demand counts as spread evenly: callers may use any router.
	const evenShare = 0.1
	share := (1-evenShare)*float64(in.DemandRate)/fleetRate + evenShare/routers
	needed := float64(in.DemandRate)*p.Horizon.Seconds() + float64(demandMargin(in.DemandRate, in.TypicalRequest, p.Horizon)+p.SpareRequests*in.TypicalRequest)
	return int64(min(needed, share*unspent*p.MaxHeldShare))
}

// GrantAmount returns how much more to take out of the budget. The shortfall of other
// routers is left to them, unless a request waits at this router as well.
func (p Policy) GrantAmount(in PolicyInput) int64 {
	free := in.free()
	if in.Waiting == 0 {
		free -= in.Totals.Shortfall
	}
	if free <= 0 {
		return 0
	}
	return p.grantAmount(in, free, p.TopUpBelow)
}

// NeedsGrant reports whether a router would write a record to take tokens if enough were free.
func (p Policy) NeedsGrant(in PolicyInput) bool {
	return p.grantAmount(in, math.MaxInt64/2, p.RefillBelow) > 0
}

func (p Policy) grantAmount(in PolicyInput, free int64, refillBelow float64) int64 {
	target := p.Target(in)
	take := int64(0)
	if float64(in.Available) < refillBelow*float64(target) {
		take = min(int64(p.RefillTo*float64(target))-in.Available, free)
	}
	if need := in.Waiting - in.Available; need > take {
		take = min(need, free)
	}
	return take
}

// shortfallFactor is the multiple of the uncovered shortfall that the routers return together, since
// more requests will follow.
const shortfallFactor = 4

// ReturnAmount returns how much to put back into the budget: what exceeds the target, or, at some of the routers, the
// other routers' shortfall that the free tokens don't cover.
func (p Policy) ReturnAmount(in PolicyInput) int64 {
	excess := in.Available - p.Target(in)
	if float64(in.Available) <= p.ReturnAbove*float64(p.Target(in)) || excess <= in.TypicalRequest {
		excess = 0
	}
	uncovered := in.Totals.Shortfall - in.free()
	if in.Totals.Shortfall == 0 || in.Waiting > 0 || uncovered <= 0 {
		return excess
	}
	held := max(in.Totals.Net-in.Totals.Used-in.Totals.Lost, in.Available, 1)
	part := float64(shortfallFactor*uncovered) * float64(in.Available) / float64(held)
	// Each return is a record. A few routers return what is missing, each with a probability by what it holds, rather than
	// all of them a small part of it.
	if least := float64(min(uncovered, in.Available)); part < least {
		if in.Draw*least >= part {
			return excess
		}
		part = least
	}
	return max(excess, min(int64(part)+1, in.Available))
}
