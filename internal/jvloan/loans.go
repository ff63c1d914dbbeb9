package jvloan

import (
	"context"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvgrant"
	"github.com/jasminevale/jasminevale/internal/jvmember"
)

// Role is what a router does for the budgets.
type Role string

// Roles of a router.
const (
	// RoleUnknown is the role until the members of the fleet are known.
	RoleUnknown Role = "unknown"
	// RoleDirect serves its own requests out of its own share, as all routers of a small fleet do.
	RoleDirect Role = "direct"
	// RoleHolder serves requests of all routers in its zone.
	RoleHolder Role = "holder"
	// RoleBorrower reserves at holders.
	RoleBorrower Role = "borrower"
)

// Loans are the prepaid budgets as one router uses them: out of its own share, or out of the holders'. They are safe
// for concurrent use.
type Loans struct {
	options  Options
	lender   *lender
	borrower *borrower
	advances *advances
	// derived is the layout for the members below; only Run uses them.
	derived       Layout
	derivedSelf   jvmember.Member
	derivedOthers []jvmember.Member

	mu     sync.Mutex
	role   Role
	layout Layout
	// stop ends the allocator's rounds, or is nil if it runs none.
	stop func()
	// leaving is true once the end of the process is prepared; the role does not change any more.
	leaving bool
	// checkAt is when a borrower looks for what an earlier process held, zero if it does not.
	checkAt time.Time
}

const (
	// updateInterval is how often the layout is derived from the members.
	updateInterval = 100 * time.Millisecond
	// resendInterval is how often messages that need to be sent again are looked for.
	resendInterval = 25 * time.Millisecond
	// expireInterval is how often old loans are looked for.
	expireInterval = 5 * time.Second
	// minCheckDelay and maxCheckDelay spread the reads of routers that start together.
	minCheckDelay = time.Second
	maxCheckDelay = 5 * time.Second
)

// New returns Loans that know no other router.
func New(o Options) *Loans {
	if o.Post == nil {
		o.Post = o.Send
	}
	l := &Loans{options: o, lender: newLender(o), borrower: newBorrower(o), role: RoleUnknown}
	l.advances = newAdvances(o, &advanceMessages{loans: l, open: map[uint64]asked{}})
	return l
}

// Run adapts the role to the fleet, and runs the allocator while this router has one, until ctx ends.
func (l *Loans) Run(ctx context.Context) {
	resends := l.options.Timer.Every(resendInterval, l.resend)
	defer resends.Close()
	expiry := l.options.Timer.Every(expireInterval, l.lender.expire)
	defer expiry.Close()
	var running sync.WaitGroup
	for ctx.Err() == nil {
		l.update(ctx, &running)
		l.checkEarlier(ctx, &running)
		select {
		case <-ctx.Done():
		case <-l.options.Timer.After(updateInterval):
		}
	}
	running.Wait()
}

// resend sends again what has not been confirmed, and reviews the advances.
func (l *Loans) resend() {
	l.borrower.resend()
	l.advances.tick(l.options.Timer.Now())
}

// update derives the layout and this router's role from the members.
func (l *Loans) update(ctx context.Context, running *sync.WaitGroup) {
	if !l.options.Settled() {
		return
	}
	self := l.options.Self()
	layout := l.derive(self, l.options.Others())
	role := RoleBorrower
	switch {
	case layout.Direct:
		role = RoleDirect
	case layout.Holds(self):
		role = RoleHolder
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.layout = layout
	if l.leaving || role == l.role {
		l.endRetired()
		return
	}
	l.options.Logger.Info("role changed", "from", string(l.role), "to", string(role), "routers", len(l.options.Others())+1)
	switch {
	case role != RoleBorrower:
		l.options.Allocator.Resume(role == RoleHolder)
		l.checkAt = time.Time{}
		l.start(ctx, running)
	case l.stop != nil:
		l.options.Allocator.Retire()
	default:
		delay := minCheckDelay + time.Duration(l.options.Random()*float64(maxCheckDelay-minCheckDelay))
		l.checkAt = l.options.Timer.Now().Add(delay)
	}
	l.role = role
}

// derive returns the layout of the fleet. Only Run calls it.
func (l *Loans) derive(self jvmember.Member, others []jvmember.Member) Layout {
	if self.Address == "" {
		return Layout{Direct: true} // Other routers can't reach it.
	}
	same := l.derivedSelf == self && len(l.derivedOthers) == len(others) && (len(others) == 0 || &l.derivedOthers[0] == &others[0])
	if !same || l.derivedSelf.Name == "" {
		l.derived = NewLayout(append([]jvmember.Member{self}, others...), l.options.Holders)
		l.derivedSelf, l.derivedOthers = self, others
	}
	return l.derived
}

// start runs the allocator; l.mu must be held.
func (l *Loans) start(ctx context.Context, running *sync.WaitGroup) {
	if l.stop != nil {
		return
	}
	ctx, l.stop = context.WithCancel(ctx)
	running.Go(func() { l.options.Allocator.Run(ctx) })
}

// endRetired ends the allocator's rounds once it holds nothing any more; l.mu must be held.
func (l *Loans) endRetired() {
	if l.role == RoleBorrower && l.stop != nil && l.options.Allocator.Retired() {
		l.options.Logger.Info("retired")
		l.stop()
		l.stop = nil
	}
}

// checkEarlier makes a borrower return what an earlier process of this router held.
func (l *Loans) checkEarlier(ctx context.Context, running *sync.WaitGroup) {
	l.mu.Lock()
	due := l.role == RoleBorrower && !l.checkAt.IsZero() && !l.options.Timer.Now().Before(l.checkAt)
	l.mu.Unlock()
	if !due {
		return
	}
	held, err := l.options.Allocator.HeldBefore(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.checkAt = l.options.Timer.Now().Add(maxCheckDelay)
		return
	}
	l.checkAt = time.Time{}
	if held && l.role == RoleBorrower {
		l.options.Allocator.Retire()
		l.start(ctx, running)
	}
}

// state returns the role and the layout.
func (l *Loans) state() (Role, Layout) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.role, l.layout
}

// Role returns what this router does for the budgets.
func (l *Loans) Role() Role {
	role, _ := l.state()
	return role
}

// Reserve reserves a request's worst case, in tokens, and waits for it until ctx ends. A borrower draws it on an advance if
// one has enough left. Otherwise it asks the workspace's first
// holder in the zone, the zone's other holders, then some of other zones, and at last waits at the first one that
// responds.
func (l *Loans) Reserve(ctx context.Context, workspace string, tokens int64) (jvescrow.Reservation, error) {
	role, layout := l.state()
	switch role {
	case RoleUnknown:
		return jvescrow.Reservation{}, jvfault.Newf("reserve", jvgrant.KindUnready, "the routers of the fleet are not known yet")
	case RoleDirect:
		return l.options.Allocator.Reserve(ctx, workspace, tokens)
	}
	candidates, _ := layout.Candidates(l.options.Self().Zone, workspace)
	if len(candidates) == 0 { // The last holders are leaving.
		return l.options.Allocator.Reserve(ctx, workspace, tokens)
	}
	if role == RoleBorrower {
		if number := l.advances.begin(l.options.Timer.Now(), workspace, tokens); number != 0 {
			return jvescrow.Reservation{Profile: workspace, Tokens: tokens, Draw: number}, nil
		}
	}
	return newSearch(l, workspace, tokens, candidates).run(ctx)
}

// draw draws a request that waits on an advance, if one has enough left.
func (l *Loans) draw(workspace string, tokens int64) (r jvescrow.Reservation, ok bool) {
	number := l.advances.draw(l.options.Timer.Now(), workspace, tokens)
	if number == 0 {
		return r, false
	}
	return jvescrow.Reservation{Profile: workspace, Tokens: tokens, Draw: number}, true
}

// Settle ends a reservation with the tokens that the request used.
func (l *Loans) Settle(r jvescrow.Reservation, used int64) {
	switch {
	case r.Draw != 0:
		l.advances.end(r.Draw, used)
	case r.Loan != 0:
		l.borrower.settle(r.Loan, min(max(used, 0), r.Tokens))
	default:
		l.options.Allocator.Settle(r, used)
	}
}

// Receive handles a message of another router; reply sends one back.
func (l *Loans) Receive(data []byte, reply func([]byte)) error {
	m, err := decodeMessage(data)
	if err != nil {
		return err
	}
	respond := func(r message) { reply(r.encode()) }
	switch m.Operation {
	case operationReserve:
		l.lender.reserve(m, respond)
	case operationSettle:
		l.lender.settle(m, respond)
	case operationReserved, operationSettled:
		l.borrower.receive(m)
	default:
		return jvfault.Newf("receive", KindMalformed, "the unknown operation %q", m.Operation)
	}
	return nil
}

// Ready reports whether this router can make reservations.
func (l *Loans) Ready() bool {
	switch l.Role() {
	case RoleUnknown:
		return false
	case RoleBorrower:
		return true
	}
	return l.options.Allocator.Ready()
}

// Leave prepares the end of the process; see Allocator.Leave of jvgrant.
func (l *Loans) Leave(serving time.Duration) {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	l.advances.stop()
	l.options.Allocator.Leave(serving)
}

// closeTime is how long the end of the process waits for confirmations of holders, some of which may be gone.
const closeTime = 300 * time.Millisecond

// Close returns what this router holds, until ctx ends at the latest, and waits for a short time until what it has borrowed is
// settled.
func (l *Loans) Close(ctx context.Context) {
	l.advances.settleAll()
	l.options.Allocator.Close(ctx)
	ctx, cancel := l.options.Timer.WithTimeout(ctx, closeTime)
	defer cancel()
	for l.borrower.unsettled() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-l.options.Timer.After(resendInterval):
		}
	}
}

// CountRouters returns the number of routers in the fleet, and false if the number may be outdated.
func (l *Loans) CountRouters() (int, bool) {
	if l.Role() == RoleDirect {
		return l.options.Allocator.CountRouters()
	}
	return len(l.options.Others()) + 1, true
}

// RegisterGauges registers the numbers of open reservations for other routers, of own ones at other routers whose end is
// not confirmed, and of advances.
func (l *Loans) RegisterGauges(register func(name string, read func() float64)) {
	register("jv_loans_lent", func() float64 { return float64(l.lender.Open()) })
	register("jv_loans_unsettled", func() float64 { return float64(l.borrower.unsettled()) })
	register("jv_advances_rest_tokens", func() float64 {
		_, rest := l.advances.snapshot()
		return float64(rest)
	})
	for name, read := range map[string]func(AdvanceCounts) int64{
		"draws": func(c AdvanceCounts) int64 { return c.Draws }, "asked": func(c AdvanceCounts) int64 { return c.Asked },
		"granted": func(c AdvanceCounts) int64 { return c.Granted }, "refused": func(c AdvanceCounts) int64 { return c.Refused },
		"unanswered": func(c AdvanceCounts) int64 { return c.Unanswered }, "unused": func(c AdvanceCounts) int64 { return c.Unused },
		"moved": func(c AdvanceCounts) int64 { return c.Moved },
	} {
		register("jv_advances_"+name, func() float64 {
			c, _ := l.advances.snapshot()
			return float64(read(c))
		})
	}
}

// Dump is the state of Loans.
type Dump struct {
	jvgrant.Dump

	Role Role `json:"role"`
	// Holders are the holders by zone.
	Holders map[string][]string `json:"holders"`
	// Lent is the number of reservations for other routers, Unsettled that of own ones whose end is not confirmed.
	Lent      int `json:"lent"`
	Unsettled int `json:"unsettled"`
	// Advances are the open reservations made in advance, AdvanceCounts their counts.
	Advances      []AdvanceDump `json:"advances"`
	AdvanceCounts AdvanceCounts `json:"advanceCounts"`
}

// Dump returns the state.
func (l *Loans) Dump() Dump {
	role, layout := l.state()
	d := Dump{Dump: l.options.Allocator.Dump(), Role: role, Holders: map[string][]string{}, Lent: l.lender.Open(), Unsettled: l.borrower.unsettled()}
	d.Advances = l.advances.dump(l.options.Timer.Now())
	d.AdvanceCounts, _ = l.advances.snapshot()
	for zone, list := range layout.ByZone {
		for _, h := range list {
			d.Holders[zone] = append(d.Holders[zone], h.Name)
		}
	}
	return d
}
