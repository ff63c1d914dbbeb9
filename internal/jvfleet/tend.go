package jvfleet

import (
	"fmt"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

// maintainBudgets claims tokens and opens tranches ahead of need, and returns surplus tokens.
func (f *Router) maintainBudgets() {
	s := f.current()
	if f.stopping.Load() || !f.hasJoined(s) {
		return
	}
	reachable := f.journal.Reachable(f.options.Timing.UnreachableAfter)
	marks := map[string]int64{}
	for profile, a := range s.escrow.Snapshot() {
		need := f.typicalNeed(profile)
		if mark, due := f.options.ClaimPolicy.NextMark(a, need); due && s.escrow.MarksEnforced() {
			marks[profile] = mark
		}
		if !reachable {
			continue
		}
		target := f.placement(profile).DesiredTokens()
		if f.options.ClaimPolicy.ShouldClaim(a, need, target) && f.freeTokens(profile) >= need {
			f.startClaim(s, profile, need)
			continue
		}
		f.returnSurplus(s, profile, a, target)
	}
	if len(marks) > 0 {
		f.raiseMarks(f.ctx, s, marks)
	}
}

func (f *Router) hasJoined(s *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined
}

// typicalNeed returns the worst case of a request, in tokens, from which claims and tranches are
// sized.
func (f *Router) typicalNeed(profile string) int64 {
	p, ok := f.Catalog().Profile(profile)
	if !ok {
		return 1
	}
	return 2 * p.Output
}

func (f *Router) freeTokens(profile string) (free int64) {
	f.journal.View(func(state *jvledger.State) {
		if b := state.Budgets[profile]; b != nil {
			free = b.Free
		}
	})
	return free
}

// placement returns the figures in the log from which this VM's share of a budget is computed.
func (f *Router) placement(profile string) (p jvescrow.Placement) {
	f.journal.View(func(state *jvledger.State) {
		c, ok := state.Catalog().Profile(profile)
		b := state.Budgets[profile]
		if !ok || b == nil {
			return
		}
		p.AheadPercent = c.Ahead
		p.TotalSpent = b.ExpiredSpent
		for origin, a := range b.Accounts {
			p.TotalSpent += a.Spent
			if o := state.Origins[origin]; o != nil && o.VM == f.options.VM {
				p.OwnSpent += a.Spent
			}
		}
		p.Unspent = b.Prepaid - p.TotalSpent
	})
	return p
}

// returnSurplus returns an account's surplus if it is idle, and all lendable tokens while a claim of
// another VM was short.
func (f *Router) returnSurplus(s *session, profile string, a jvescrow.Account, target int64) {
	short := false
	f.journal.View(func(state *jvledger.State) {
		if b := state.Budgets[profile]; b != nil {
			short = b.LastShortAt > 0 && state.Now-b.LastShortAt < shortWindow.Milliseconds()
		}
	})
	surplus := f.options.ClaimPolicy.Surplus(a, target)
	if short {
		surplus = a.Lendable()
	}
	if surplus == 0 || (!short && a.Demand > 0) {
		return
	}
	if !short && surplus < f.typicalNeed(profile) {
		return
	}
	if back := s.escrow.Return(profile, surplus); back > 0 {
		f.meter.Returns.Inc()
		f.trace.Note(jvtrace.Decision{Step: jvtrace.StepBudget, Profile: profile, Why: fmt.Sprintf("returned %d idle tokens", back)})
		f.spawn(func() { f.sendReport(f.ctx, s) })
	}
}

// shortWindow is the time after a short claim during which the other VMs return what they can.
const shortWindow = 2 * time.Second
