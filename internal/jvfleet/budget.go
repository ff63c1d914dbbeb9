package jvfleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvmeter"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

const (
	// shortTries is how often a request claims anew while others hold what it lacks.
	shortTries = 4
	// shortPause is the time that others get to give back what they don't need.
	shortPause = 100 * time.Millisecond
	// budgetRetry is when a caller without budget may come back: a top-up or a return may
	// have come by then.
	budgetRetry = 30 * time.Second
	// logRetry is when a caller may come back who needs the log while it is away.
	logRetry = 5 * time.Second
	// lenders is how many peers one request asks for a loan.
	lenders = 4
)

// claims makes one claim at a time for each profile; requests that need more wait for it.
type claims struct {
	mu      sync.Mutex
	pending map[string]*claim
}

// claim is one claim under way; done is closed when its verdict is there.
type claim struct {
	done    chan struct{}
	verdict jvledger.Verdict
	err     error
}

func newClaims() *claims { return &claims{pending: map[string]*claim{}} }

// held is a reservation with the session that it was made in.
type held struct {
	jvescrow.Reservation
	session *session
}

// settle ends the reservation with the tokens that were used.
func (h held) settle(used int64) int64 { return h.session.escrow.Settle(h.Reservation, used) }

// reserve takes the worst case of an attempt out of this VM's grant, after opening the
// grant's next tranche, claiming more from the log or borrowing from a peer where needed.
func (f *Fleet) reserve(ctx context.Context, q *Request, need int64) (held, *Problem) {
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
			return held{}, &Problem{Name: ProblemDeadline, Message: "the deadline passed while waiting for budget", Retry: time.Second}
		}
	}
}

func (f *Fleet) closedProblem() *Problem {
	return &Problem{Name: ProblemUnavailable, Message: "this VM is stopping or is rejoining the fleet", Retry: time.Second}
}

// replenish gets more of a budget, from the log while it answers, else from peers.
func (f *Fleet) replenish(ctx context.Context, s *session, profile string, need int64, try int) *Problem {
	if try > shortTries+lenders {
		return f.shortProblem(profile, need)
	}
	if !f.journal.Reachable(f.options.Pace.Unreachable) {
		if f.borrowAny(ctx, s, profile, need) {
			return nil
		}
		return &Problem{
			Name:    ProblemUnavailable,
			Message: fmt.Sprintf("this zone holds too little of profile %s's budget and the platform's log is away", profile),
			Retry:   logRetry,
		}
	}
	verdict, err := f.claimMore(ctx, s, profile, need)
	switch {
	case err != nil && f.borrowAny(ctx, s, profile, need):
		return nil
	case err != nil:
		return &Problem{Name: ProblemUnavailable, Message: "the platform's log did not answer a claim on the budget in time", Retry: logRetry}
	case verdict.Accepted():
		return nil
	case verdict.Reason == jvledger.ReasonClosed:
		f.renew(s)
		return nil
	}
	if f.borrowAny(ctx, s, profile, need) {
		return nil
	}
	if try >= shortTries || f.heldByOthers(s, profile) < need {
		return f.shortProblem(profile, need)
	}
	select {
	case <-ctx.Done():
	case <-f.options.Timer.After(shortPause):
	}
	return nil
}

func (f *Fleet) shortProblem(profile string, need int64) *Problem {
	return &Problem{
		Name:    ProblemBudget,
		Message: fmt.Sprintf("profile %s's prepaid budget has less left than the %d tokens that this request may use", profile, need),
		Retry:   budgetRetry,
	}
}

// heldByOthers returns what other open origins hold of a budget, as far as the log tells.
func (f *Fleet) heldByOthers(s *session, profile string) int64 {
	var sum int64
	f.journal.View(func(state *jvledger.State) {
		b := state.Budgets[profile]
		if b == nil {
			return
		}
		for origin, a := range b.Accounts {
			if o := state.Origins[origin]; o != nil && !o.Closed && origin != s.origin {
				sum += a.Left()
			}
		}
	})
	return sum
}

// claimMore appends a claim, or waits for the one under way on the same profile. It stops
// waiting when the log has become unreachable; the claim itself stays under way.
func (f *Fleet) claimMore(ctx context.Context, s *session, profile string, need int64) (jvledger.Verdict, error) {
	c := f.startClaim(s, profile, need)
	ctx, cancel := context.WithTimeout(ctx, f.options.Pace.Unreachable)
	defer cancel()
	select {
	case <-c.done:
		return c.verdict, c.err
	case <-ctx.Done():
		return jvledger.Verdict{}, ctx.Err()
	}
}

func (f *Fleet) startClaim(s *session, profile string, need int64) *claim {
	f.claims.mu.Lock()
	defer f.claims.mu.Unlock()
	if c := f.claims.pending[profile]; c != nil {
		return c
	}
	c := &claim{done: make(chan struct{})}
	f.claims.pending[profile] = c
	want := f.options.Policy.Want(s.escrow.Account(profile), need, f.placement(profile).Target())
	f.spawn(func() {
		f.meter.Claims.Inc()
		record := jvrecord.Record{Claim: &jvrecord.Claim{Profile: profile, Need: need, Want: want}}
		verdicts, err := f.journal.Submit(f.ctx, s.origin, record)
		if err == nil {
			c.verdict = verdicts[0]
		}
		c.err = err
		f.claims.mu.Lock()
		delete(f.claims.pending, profile)
		f.claims.mu.Unlock()
		close(c.done)
	})
	return c
}

// borrowAny asks the peers that hold most of a budget for a loan, those of this zone first.
func (f *Fleet) borrowAny(ctx context.Context, s *session, profile string, need int64) bool {
	for _, p := range f.lendersOf(s, profile) {
		if f.borrowFrom(ctx, s, p, profile, need) >= need {
			return true
		}
	}
	return s.escrow.Account(profile).Available() >= need
}

func (f *Fleet) borrowFrom(ctx context.Context, s *session, p jvpeer.Peer, profile string, need int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, f.options.Pace.PeerTimeout)
	defer cancel()
	origin := f.lastHeard(p.VM).origin
	loan := &jvpeer.LoanAsk{Profile: profile, Tokens: need, Held: s.borrowedFrom(origin, profile)}
	answer, err := f.ask(ctx, p, jvpeer.Ask{Loan: loan})
	if err != nil || answer.Loan == nil {
		return 0
	}
	got := s.borrow(answer.From, profile, answer.Loan.Lent)
	if got > 0 {
		f.meter.Loans.Inc()
		f.trace.Note(jvtrace.Decision{Step: jvtrace.StepBudget, Profile: profile, Why: fmt.Sprintf("borrowed %d tokens from %s", got, p.VM)})
	}
	return got
}

// lendersOf orders peers: those heard of lately, then by zone, then by what the log last knew
// them to hold.
func (f *Fleet) lendersOf(s *session, profile string) []jvpeer.Peer {
	left := map[string]int64{}
	f.journal.View(func(state *jvledger.State) {
		b := state.Budgets[profile]
		if b == nil {
			return
		}
		for origin, a := range b.Accounts {
			if o := state.Origins[origin]; o != nil && !o.Closed && origin != s.origin {
				left[o.VM] += a.Left()
			}
		}
	})
	list := f.peers()
	slices.SortStableFunc(list, func(a, b jvpeer.Peer) int {
		if silent := f.silence(a.VM) - f.silence(b.VM); silent != 0 {
			return silent
		}
		if near := f.far(a.Zone) - f.far(b.Zone); near != 0 {
			return near
		}
		return int(min(max(left[b.VM]-left[a.VM], -1), 1))
	})
	return list[:min(len(list), lenders)]
}

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
	return 2 * p.Output
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
		p.Ahead = c.Ahead
		p.All = b.GoneSpent
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
			short = b.Short > 0 && state.Now-b.Short < shortMemory.Milliseconds()
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
