package jvfleet

import (
	"context"
	"fmt"
	"slices"

	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

// heldByOthers returns the tokens of a budget that other open origins hold according to the log.
func (f *Router) heldByOthers(s *session, profile string) int64 {
	var sum int64
	f.journal.View(func(state *jvledger.State) {
		b := state.Budgets[profile]
		if b == nil {
			return
		}
		for origin, a := range b.Accounts {
			if o := state.Origins[origin]; o != nil && !o.Closed && origin != s.origin {
				sum += a.Unspent()
			}
		}
	})
	return sum
}

// borrowAny asks peers for loans until need tokens are available, and reports whether they are.
func (f *Router) borrowAny(ctx context.Context, s *session, profile string, need int64) bool {
	for _, p := range f.lendersOf(s, profile) {
		lacking := need - s.escrow.Account(profile).Available()
		if lacking <= 0 {
			return true
		}
		f.borrowFrom(ctx, s, p, profile, lacking)
	}
	return s.escrow.Account(profile).Available() >= need
}

func (f *Router) borrowFrom(ctx context.Context, s *session, p jvpeer.Peer, profile string, need int64) {
	ctx, cancel := context.WithTimeout(ctx, f.options.Timing.PeerTimeout)
	defer cancel()
	origin := f.lastSeen(p.VM).origin
	loan := &jvpeer.LoanRequest{Profile: profile, Tokens: need, Borrowed: s.borrowedFrom(origin, profile)}
	answer, err := f.send(ctx, p, jvpeer.Request{Loan: loan})
	if err != nil || answer.Loan == nil {
		return
	}
	got := s.borrow(answer.From, profile, answer.Loan.Lent)
	if got > 0 {
		f.meter.Loans.Inc()
		f.trace.Note(jvtrace.Decision{Step: jvtrace.StepBudget, Profile: profile, Why: fmt.Sprintf("borrowed %d tokens from %s", got, p.VM)})
	}
}

// lendersOf returns the peers to ask for a loan: those seen recently first, then those of this
// zone, then those that hold most of the budget according to the log.
func (f *Router) lendersOf(s *session, profile string) []jvpeer.Peer {
	left := map[string]int64{}
	f.journal.View(func(state *jvledger.State) {
		b := state.Budgets[profile]
		if b == nil {
			return
		}
		for origin, a := range b.Accounts {
			if o := state.Origins[origin]; o != nil && !o.Closed && origin != s.origin {
				left[o.VM] += a.Unspent()
			}
		}
	})
	list := f.peers()
	slices.SortStableFunc(list, func(a, b jvpeer.Peer) int {
		if silent := f.silenceRank(a.VM) - f.silenceRank(b.VM); silent != 0 {
			return silent
		}
		if near := f.zoneRank(a.Zone) - f.zoneRank(b.Zone); near != 0 {
			return near
		}
		return int(min(max(left[b.VM]-left[a.VM], -1), 1))
	})
	return list[:min(len(list), maxLenders)]
}
