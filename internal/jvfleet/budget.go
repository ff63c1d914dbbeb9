package jvfleet

import (
	"context"
	"fmt"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvmeter"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

const (
	// maxShortClaims is how often a request repeats its claim while other VMs hold the missing
	// tokens.
	maxShortClaims = 4
	// shortClaimDelay is the time between these claims, in which other VMs return their surplus.
	shortClaimDelay = 100 * time.Millisecond
	// budgetRetryAfter is the retry delay for a caller that lacks budget; a top-up or returned
	// tokens may have arrived by then.
	budgetRetryAfter = 30 * time.Second
	// logRetryAfter is the retry delay for a caller whose request needs the log while it is
	// unreachable.
	logRetryAfter = 5 * time.Second
	// maxMarkRaises is how often a request raises the mark: others may use up what it opened.
	maxMarkRaises = 5
	// maxLenders is the maximum number of peers that a request asks for a loan.
	maxLenders = 4
)

// sessionReservation is a reservation together with the session that it was made in.
type sessionReservation struct {
	jvescrow.Reservation
	session *session
}

// settle ends the reservation with the tokens used and returns the tokens that were charged.
func (r sessionReservation) settle(used int64) int64 {
	return r.session.escrow.Settle(r.Reservation, used)
}

// reserve reserves the worst case of an attempt. Where needed it opens the next tranche, claims
// more tokens from the log or borrows from a peer first.
func (rt *Router) reserve(ctx context.Context, q *Request, need int64) (sessionReservation, *Problem) {
	started := rt.options.Timer.Now()
	defer func() { jvmeter.Observe(rt.meter.ReserveWait, rt.options.Timer.Since(started)) }()
	profile := q.Model.Profile.Name
	// A request whose claims took all their rounds may still need a mark for the tokens that it got.
	claims, marks := 0, 0
	for {
		s := rt.current()
		r, err := s.escrow.Reserve(profile, need)
		var p *Problem
		switch jvfault.KindOf[jvescrow.Kind](err) {
		case "":
			rt.meter.Reserved.AddInt64(need)
			rt.recordDecision(q, jvtrace.StepReserve, "", fmt.Sprintf("%d tokens reserved under %s", need, s.origin))
			return sessionReservation{Reservation: r, session: s}, nil
		case jvescrow.KindMark:
			p = rt.openTranche(ctx, s, profile, need, marks)
			marks++
		case jvescrow.KindClosed:
			p = rt.closedProblem()
		case jvescrow.KindShort:
			p = rt.replenish(ctx, s, profile, need, claims)
			claims++
		}
		if p != nil {
			rt.recordDecision(q, jvtrace.StepReserve, "", fmt.Sprintf("%d tokens refused: %s", need, p.Message))
			return sessionReservation{}, p
		}
		if ctx.Err() != nil {
			return sessionReservation{}, &Problem{Name: ProblemDeadline, Message: "the deadline passed while waiting for budget", RetryAfter: time.Second}
		}
	}
}

func (rt *Router) closedProblem() *Problem {
	return &Problem{Name: ProblemUnavailable, Message: "this VM is stopping or is rejoining the fleet", RetryAfter: time.Second}
}

// replenish obtains more tokens of a budget, from the log while it is reachable, else from peers.
// A nil result means that the caller should reserve again; round counts how often it did.
func (rt *Router) replenish(ctx context.Context, s *session, profile string, need int64, round int) *Problem {
	if round > maxShortClaims+maxLenders {
		return rt.shortProblem(profile, need)
	}
	if !rt.journal.Reachable(rt.options.Timing.UnreachableAfter) {
		if rt.borrowAny(ctx, s, profile, need) {
			return nil
		}
		return &Problem{
			Name:       ProblemUnavailable,
			Message:    fmt.Sprintf("this zone holds too little of profile %s's budget and the platform's log is unreachable", profile),
			RetryAfter: logRetryAfter,
		}
	}
	verdict, err := rt.claimMore(ctx, s, profile, need)
	switch {
	case err != nil && rt.borrowAny(ctx, s, profile, need):
		return nil
	case err != nil:
		return &Problem{Name: ProblemUnavailable, Message: "the platform's log did not answer a claim on the budget in time", RetryAfter: logRetryAfter}
	case verdict.Accepted():
		return nil
	case verdict.Reason == jvledger.ReasonClosed:
		rt.renew(s)
		return nil
	}
	if rt.borrowAny(ctx, s, profile, need) {
		return nil
	}
	// Tokens that other VMs returned since the claim are free already, so they count too.
	if round >= maxShortClaims || rt.freeTokens(profile)+rt.heldByOthers(s, profile)+s.escrow.Account(profile).Available() < need {
		return rt.shortProblem(profile, need)
	}
	select {
	case <-ctx.Done():
	case <-rt.options.Timer.After(shortClaimDelay):
	}
	return nil
}

func (rt *Router) shortProblem(profile string, need int64) *Problem {
	return &Problem{
		Name:       ProblemBudget,
		Message:    fmt.Sprintf("profile %s's prepaid budget has less left than the %d tokens that this request may use", profile, need),
		RetryAfter: budgetRetryAfter,
	}
}
