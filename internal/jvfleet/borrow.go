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
func (rt *Router) heldByOthers(s *session, profile string) int64 {
	var sum int64
	rt.journal.View(func(state *jvledger.State) {
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
func (rt *Router) borrowAny(ctx context.Context, s *session, profile string, need int64) bool {
	for _, p := range rt.lendersOf(s, profile) {
		lacking := need - s.escrow.Account(profile).Available()
		if lacking <= 0 {
			return true
		}
		rt.borrowFrom(ctx, s, p, profile, lacking)
	}
	return s.escrow.Account(profile).Available() >= need
}

func (rt *Router) borrowFrom(ctx context.Context, s *session, p jvpeer.Peer, profile string, need int64) {
	ctx, cancel := context.WithTimeout(ctx, rt.options.Timing.PeerTimeout)
	defer cancel()
	origin := rt.lastSeen(p.VM).origin
	loan := &jvpeer.LoanRequest{Profile: profile, Tokens: need, Borrowed: s.borrowedFrom(origin, profile)}
	response, err := rt.send(ctx, p, jvpeer.Request{Loan: loan})
	if err != nil || response.Loan == nil {
		return
	}
	borrowed := s.borrow(response.From, profile, response.Loan.Lent)
	if borrowed > 0 {
		rt.meter.Loans.Inc()
		rt.trace.Add(jvtrace.Decision{Step: jvtrace.StepBudget, Profile: profile, Why: fmt.Sprintf("borrowed %d tokens from %s", borrowed, p.VM)})
	}
}

// lendersOf returns the peers to ask for a loan: those seen recently first, then those of this
// zone, then those that hold most of the budget according to the log.
func (rt *Router) lendersOf(s *session, profile string) []jvpeer.Peer {
	unspent := map[string]int64{}
	rt.journal.View(func(state *jvledger.State) {
		b := state.Budgets[profile]
		if b == nil {
			return
		}
		for origin, a := range b.Accounts {
			if o := state.Origins[origin]; o != nil && !o.Closed && origin != s.origin {
				unspent[o.VM] += a.Unspent()
			}
		}
	})
	list := rt.peers()
	slices.SortStableFunc(list, func(a, b jvpeer.Peer) int {
		if silent := rt.silenceRank(a.VM) - rt.silenceRank(b.VM); silent != 0 {
			return silent
		}
		if near := rt.zoneRank(a.Zone) - rt.zoneRank(b.Zone); near != 0 {
			return near
		}
		return int(min(max(unspent[b.VM]-unspent[a.VM], -1), 1))
	})
	return list[:min(len(list), maxLenders)]
}
