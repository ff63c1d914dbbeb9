package jvfleet

import (
	"fmt"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

// maintainBudgets claims tokens and opens tranches ahead of need, and returns surplus tokens.
func (rt *Router) maintainBudgets() {
	s := rt.current()
	if rt.stopping.Load() || !rt.hasJoined(s) {
		return
	}
	reachable := rt.journal.Reachable(rt.options.Timing.UnreachableAfter)
	marks := map[string]int64{}
	for profile, a := range s.escrow.Snapshot() {
		need := rt.typicalNeed(profile)
		if mark, due := rt.options.ClaimPolicy.NextMark(a, need); due && s.escrow.MarksEnforced() {
			marks[profile] = mark
		}
		if !reachable {
			continue
		}
		desired := rt.placement(profile).DesiredTokens()
		if rt.options.ClaimPolicy.ShouldClaim(a, need, desired) && rt.freeTokens(profile) >= need {
			rt.startClaim(s, profile, need)
			continue
		}
		rt.returnSurplus(s, profile, a, desired)
	}
	if len(marks) > 0 {
		rt.raiseMarks(rt.ctx, s, marks)
	}
}

func (rt *Router) hasJoined(s *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined
}

// typicalNeed returns the tokens from which claims and tranches are sized: the worst case of a
// request, taken as twice the profile's largest answer, or 1 if the profile is unknown.
func (rt *Router) typicalNeed(profile string) int64 {
	p, ok := rt.Catalog().Profile(profile)
	if !ok {
		return 1
	}
	return 2 * p.MaxOutput
}

// freeTokens returns the tokens of a budget that can be claimed, according to the log.
func (rt *Router) freeTokens(profile string) (free int64) {
	rt.journal.View(func(state *jvledger.State) {
		if b := state.Budgets[profile]; b != nil {
			free = b.Free
		}
	})
	return free
}

// placement returns the figures in the log from which this VM's share of a budget is computed.
func (rt *Router) placement(profile string) (p jvescrow.Placement) {
	rt.journal.View(func(state *jvledger.State) {
		c, ok := state.Catalog().Profile(profile)
		b := state.Budgets[profile]
		if !ok || b == nil {
			return
		}
		p.AheadPercent = c.AheadPercent
		p.TotalSpent = b.ExpiredSpent
		for origin, a := range b.Accounts {
			p.TotalSpent += a.Spent
			if o := state.Origins[origin]; o != nil && o.VM == rt.options.VM {
				p.OwnSpent += a.Spent
			}
		}
		p.Unspent = b.Prepaid - p.TotalSpent
	})
	return p
}

// returnSurplus returns the surplus of an idle account, and all lendable tokens if a claim on the
// budget was short within shortWindow.
func (rt *Router) returnSurplus(s *session, profile string, a jvescrow.Account, desired int64) {
	short := false
	rt.journal.View(func(state *jvledger.State) {
		if b := state.Budgets[profile]; b != nil {
			short = b.LastShortAt > 0 && state.Now-b.LastShortAt < shortWindow.Milliseconds()
		}
	})
	surplus := rt.options.ClaimPolicy.Surplus(a, desired)
	if short {
		surplus = a.Lendable()
	}
	if surplus == 0 || (!short && a.Demand > 0) {
		return
	}
	if !short && surplus < rt.typicalNeed(profile) {
		return
	}
	if returned := s.escrow.Return(profile, surplus); returned > 0 {
		rt.meter.Returns.Inc()
		rt.trace.Add(jvtrace.Decision{Step: jvtrace.StepBudget, Profile: profile, Why: fmt.Sprintf("returned %d idle tokens", returned)})
		rt.spawn(func() { rt.sendReport(rt.ctx, s) })
	}
}

// shortWindow is the time after a short claim during which all VMs return what they can.
const shortWindow = 2 * time.Second
