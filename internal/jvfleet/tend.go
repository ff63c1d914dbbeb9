package jvfleet

import (
	"fmt"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

// tendBudgets claims ahead of need, opens tranches ahead, and gives back what lies idle.
func (f *Fleet) tendBudgets() {
	s := f.current()
	if f.stopping.Load() || !f.hasJoined(s) {
		return
	}
	reachable := f.journal.Reachable(f.options.Pace.Unreachable)
	marks := map[string]int64{}
	for profile, a := range s.escrow.Snapshot() {
		need := f.typicalNeed(profile)
		if mark, due := f.options.Policy.Mark(a, need); due && s.escrow.Witnessed() {
			marks[profile] = mark
		}
		if !reachable {
			continue
		}
		target := f.placement(profile).Target()
		if f.options.Policy.Low(a, need, target) && f.freeOf(profile) >= need {
			f.startClaim(s, profile, need)
			continue
		}
		f.giveBack(s, profile, a, target)
	}
	if len(marks) > 0 {
		f.raiseMarks(f.ctx, s, marks)
	}
}

func (f *Fleet) hasJoined(s *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined
}

// typicalNeed is the worst case that claims and tranches are sized by.
func (f *Fleet) typicalNeed(profile string) int64 {
	p, ok := f.Catalog().Profile(profile)
	if !ok {
		return 1
	}
	return 2 * p.MaxOutput
}

func (f *Fleet) freeOf(profile string) (free int64) {
	f.journal.View(func(state *jvledger.State) {
		if b := state.Budgets[profile]; b != nil {
			free = b.Free
		}
	})
	return free
}

// placement returns what this VM's share of a budget is sized by, as the log has it.
func (f *Fleet) placement(profile string) (p jvescrow.Placement) {
	f.journal.View(func(state *jvledger.State) {
		c, ok := state.Catalog().Profile(profile)
		b := state.Budgets[profile]
		if !ok || b == nil {
			return
		}
		p.Ahead = c.AheadPercent
		p.All = b.ExpiredSpent
		for origin, a := range b.Accounts {
			p.All += a.Spent
			if o := state.Origins[origin]; o != nil && o.VM == f.options.VM {
				p.Own += a.Spent
			}
		}
		p.Unspent = b.Prepaid - p.All
	})
	return p
}

// giveBack returns an account's surplus while a claim elsewhere found too little.
func (f *Fleet) giveBack(s *session, profile string, a jvescrow.Account, target int64) {
	short := false
	f.journal.View(func(state *jvledger.State) {
		if b := state.Budgets[profile]; b != nil {
			short = b.LastShortAt > 0 && state.Now-b.LastShortAt < shortMemory.Milliseconds()
		}
	})
	surplus := f.options.Policy.Surplus(a, target)
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
		f.trace.Note(jvtrace.Decision{Step: jvtrace.StepBudget, Profile: profile, Why: fmt.Sprintf("gave back %d idle tokens", back)})
		f.spawn(func() { f.sendReport(f.ctx, s) })
	}
}

// shortMemory is how long after a claim found too little the others give back what they can.
const shortMemory = 2 * time.Second
