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
	// shortTries is how often a request repeats its claim while other VMs hold the missing tokens.
	shortTries = 4
	// shortPause is the time between these claims, in which other VMs return their surplus.
	shortPause = 100 * time.Millisecond
	// budgetRetry is the retry delay for a caller that lacks budget; a top-up or returned
	// tokens may have arrived by then.
	budgetRetry = 30 * time.Second
	// logRetry is the retry delay for a caller whose request needs the log while it is unreachable.
	logRetry = 5 * time.Second
	// lenders is the largest number of peers that a request asks for a loan.
	lenders = 4
)

// held is a reservation together with the session that it was made in.
type held struct {
	jvescrow.Reservation
	session *session
}

// settle ends the reservation with the tokens used and returns the tokens that were charged.
func (h held) settle(used int64) int64 { return h.session.escrow.Settle(h.Reservation, used) }

// reserve reserves the worst case of an attempt. Where needed it opens the next tranche, claims
// more tokens from the log or borrows from a peer first.
func (f *Router) reserve(ctx context.Context, q *Request, need int64) (held, *Problem) {
	started := f.options.Timer.Now()
	defer func() { jvmeter.Observe(f.meter.ReserveWait, f.options.Timer.Since(started)) }()
	profile := q.Model.Profile.Name
	for try := 0; ; try++ {
		s := f.current()
		r, err := s.escrow.Reserve(profile, need)
		var p *Problem
		switch jvfault.KindOf[jvescrow.Kind](err) {
		case "":
			f.meter.Reserved.AddInt64(need)
			f.note(q, jvtrace.StepReserve, "", fmt.Sprintf("%d tokens reserved under %s", need, s.origin))
			return held{Reservation: r, session: s}, nil
		case jvescrow.KindMark:
			p = f.openTranche(ctx, s, profile, need, try)
		case jvescrow.KindClosed:
			p = f.closedProblem()
		case jvescrow.KindShort:
			p = f.replenish(ctx, s, profile, need, try)
		}
		if p != nil {
			f.note(q, jvtrace.StepReserve, "", fmt.Sprintf("%d tokens refused: %s", need, p.Message))
			return held{}, p
		}
		if ctx.Err() != nil {
			return held{}, &Problem{Name: ProblemDeadline, Message: "the deadline passed while waiting for budget", RetryAfter: time.Second}
		}
	}
}

func (f *Router) closedProblem() *Problem {
	return &Problem{Name: ProblemUnavailable, Message: "this VM is stopping or is rejoining the fleet", RetryAfter: time.Second}
}

// replenish obtains more tokens of a budget, from the log while it is reachable, else from peers.
// A nil result means that the caller should try to reserve again.
func (f *Router) replenish(ctx context.Context, s *session, profile string, need int64, try int) *Problem {
	if try > shortTries+lenders {
		return f.shortProblem(profile, need)
	}
	if !f.journal.Reachable(f.options.Timing.UnreachableAfter) {
		if f.borrowAny(ctx, s, profile, need) {
			return nil
		}
		return &Problem{
			Name:    ProblemUnavailable,
			Message: fmt.Sprintf("this zone holds too little of profile %s's budget and the platform's log is unreachable", profile),
			RetryAfter:   logRetry,
		}
	}
	verdict, err := f.claimMore(ctx, s, profile, need)
	switch {
	case err != nil && f.borrowAny(ctx, s, profile, need):
		return nil
	case err != nil:
		return &Problem{Name: ProblemUnavailable, Message: "the platform's log did not answer a claim on the budget in time", RetryAfter: logRetry}
	case verdict.Accepted():
		return nil
	case verdict.Reason == jvledger.ReasonClosed:
		f.renew(s)
		return nil
	}
	if f.borrowAny(ctx, s, profile, need) {
		return nil
	}
	// Tokens that other VMs returned since the claim are free already, so they count too.
	if try >= shortTries || f.freeOf(profile)+f.heldByOthers(s, profile)+s.escrow.Account(profile).Available() < need {
		return f.shortProblem(profile, need)
	}
	select {
	case <-ctx.Done():
	case <-f.options.Timer.After(shortPause):
	}
	return nil
}

func (f *Router) shortProblem(profile string, need int64) *Problem {
	return &Problem{
		Name:    ProblemBudget,
		Message: fmt.Sprintf("profile %s's prepaid budget has less left than the %d tokens that this request may use", profile, need),
		RetryAfter:   budgetRetry,
	}
}
