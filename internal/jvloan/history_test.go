package jvloan

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvgrant"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvproperty"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// mutant is a fault that the histories must detect.
type mutant string

const (
	mutantNone     mutant = ""
	mutantRestart  mutant = "a restart forgets what is lent"
	mutantTwice    mutant = "a loan is settled twice"
	mutantLate     mutant = "a reserve that arrives after its settle makes a new loan"
	mutantUnproved mutant = "a borrower uses a reservation that it has given up"
	mutantRunning  mutant = "an advance is settled without its running requests"
	mutantReturned mutant = "unused tokens go back to an advance twice"
)

// pot is an allocator that holds a number of tokens and never gets more.
type pot struct {
	Allocator

	escrow *jvescrow.Escrow
}

func (p *pot) Try(w string, tokens int64, _ bool) (jvescrow.Reservation, error) {
	r, err := p.escrow.Reserve(w, tokens)
	if err != nil {
		return r, jvfault.New("reserve", jvgrant.KindWait, err)
	}
	return r, nil
}

func (p *pot) Await(ctx context.Context, w string, tokens int64) (jvescrow.Reservation, error) {
	<-ctx.Done()
	return p.Try(w, tokens, false)
}

func (p *pot) Settle(r jvescrow.Reservation, used int64) { p.escrow.Settle(r, used) }

// network delivers messages late, twice or not at all, by a fixed sequence.
type network struct {
	mutant mutant
	// span is the time that advances cover, 0 for none.
	span    time.Duration
	routers map[string]*router
	// faults are drawn ahead; each message takes the next one.
	faults []int
	mu     sync.Mutex
	sent   int
	calm   bool
}

// draw returns what happens to the next message, and a number that differs each time.
func (n *network) draw() (fault, number int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	if n.calm {
		return 0, n.sent
	}
	return n.faults[n.sent%len(n.faults)], n.sent
}

type router struct {
	network *network
	member  jvmember.Member
	pot     *pot
	loans   atomic.Pointer[Loans]
	open    []jvescrow.Reservation
}

func (n *network) send(to string, data []byte) {
	r := n.routers[to]
	fault, _ := n.draw()
	deliver := func(delay time.Duration) {
		time.AfterFunc(delay, func() {
			m, err := decodeMessage(data)
			if err != nil {
				panic(err)
			}
			key := loanKey{m.Router, m.Process, m.Number}
			l := r.loans.Load()
			if n.mutant == mutantLate && m.Operation == operationSettle {
				defer func() {
					l.lender.mu.Lock()
					delete(l.lender.loans, key)
					l.lender.mu.Unlock()
				}()
			}
			l.lender.mu.Lock()
			if o := l.lender.loans[key]; n.mutant == mutantTwice && m.Operation == operationSettle && o != nil && o.ended {
				o.granted = true
			}
			l.lender.mu.Unlock()
			_ = l.Receive(data, func(reply []byte) { n.send(m.Router, reply) })
		})
	}
	switch fault {
	case 1:
		return
	case 2:
		deliver(time.Millisecond)
		deliver(70 * time.Millisecond)
	case 3:
		deliver(90 * time.Millisecond)
	default:
		deliver(time.Millisecond)
	}
}

const (
	testWorkspace = "w"
	potTokens     = 20_000
	testZones     = 2
	testRouters   = 14
	testHolders   = 4
	// longSpan makes advances of several requests in histories with few requests a second.
	longSpan = 3 * time.Second
)

func (n *network) start(r *router) {
	o := DefaultOptions()
	o.Allocator, o.Timer, o.Logger = r.pot, jvtimer.NewService(), logr.Discard()
	o.Random = func() float64 {
		_, number := n.draw()
		return float64(number%1000) / 1000
	}
	o.Self = func() jvmember.Member { return r.member }
	o.Send = func(to jvmember.Member, data []byte) { n.send(to.Name, data) }
	o.Holders = testHolders
	o.AdvanceSpan, o.AdvanceRequests = n.span, 1
	l := New(o)
	var all []jvmember.Member
	for _, other := range n.routers {
		all = append(all, other.member)
	}
	l.layout = NewLayout(all, o.Holders)
	l.role = RoleBorrower
	r.loans.Store(l)
	r.open = nil
}

// runHistory returns the first violation, or "".
func runHistory(t *testing.T, m mutant, span time.Duration, faults, steps []int) (violation string) {
	synctest.Test(t, func(*testing.T) {
		n := &network{mutant: m, span: span, routers: map[string]*router{}, faults: faults}
		for i := range testRouters {
			name := fmt.Sprint("r", i)
			n.routers[name] = &router{network: n, member: jvmember.Member{Name: name, Zone: fmt.Sprint("z", i%testZones), Weight: 1}, pot: &pot{escrow: jvescrow.NewEscrow()}}
			n.routers[name].pot.escrow.RaiseTotals(testWorkspace, potTokens, 0)
		}
		for _, r := range n.routers {
			n.start(r)
		}
		used := int64(0) // By requests that have ended, and at most by those that run or whose router was killed.
		killed := false
		for _, s := range steps {
			r := n.routers[fmt.Sprint("r", s%testRouters)]
			switch s / testRouters % 8 {
			case 0, 1, 2, 3:
				ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
				tokens := int64(200 + s%3000)
				number := r.loans.Load().borrower.last
				got, err := r.loans.Load().Reserve(ctx, testWorkspace, tokens)
				if m == mutantUnproved && err != nil && number != r.loans.Load().borrower.last {
					used += tokens
				}
				cancel()
				if err == nil {
					r.open = append(r.open, got)
					used += tokens
				}
			case 4, 5:
				if len(r.open) > 0 {
					end := r.open[0]
					r.open = r.open[1:]
					part := end.Tokens * int64(s%101) / 100
					used -= end.Tokens - part
					a := r.loans.Load().advances
					a.mu.Lock()
					v := a.draws[end.Draw]
					if m == mutantReturned && v != nil {
						v.rest += end.Tokens - part
					}
					a.mu.Unlock()
					r.loans.Load().Settle(end, part)
				}
			case 6:
				parts := 1
				if span > 0 { // Requests for advances are sent again and given up meanwhile.
					parts = 8
				}
				for range parts {
					time.Sleep(time.Duration(s%3000) * time.Millisecond / time.Duration(parts))
					for _, o := range n.routers {
						if m == mutantRunning {
							a := o.loans.Load().advances
							a.mu.Lock()
							for _, v := range a.all() {
								v.running, v.draws = 0, map[uint64]int64{}
							}
							a.mu.Unlock()
						}
						o.loans.Load().resend()
						o.loans.Load().lender.expire()
					}
				}
			case 7: // The next process knows only what the one before may have spent: all that it had committed.
				killed = true
				if m != mutantRestart {
					r.pot.escrow.CloseAndSettle()
				}
				fresh := &pot{escrow: jvescrow.NewEscrow()}
				fresh.escrow.Restore(testWorkspace, potTokens, 0, r.pot.escrow.Account(testWorkspace).Spent)
				r.pot = fresh
				n.start(r)
			}
			committed := int64(0)
			for _, o := range n.routers {
				a := o.pot.escrow.Account(testWorkspace)
				committed += a.Committed()
				if a.Reserved < 0 || a.Available() < 0 {
					violation = fmt.Sprintf("%s has %+v", o.member.Name, a)
				}
			}
			if used > committed {
				violation = fmt.Sprintf("%d tokens used, holders count %d", used, committed)
			}
			if violation != "" {
				return
			}
		}
		n.mu.Lock()
		n.calm = true
		n.mu.Unlock()
		for _, r := range n.routers {
			for _, o := range r.open {
				r.loans.Load().Settle(o, o.Tokens)
			}
		}
		for range 2 * maxSettles {
			time.Sleep(maxSettleInterval)
			for _, o := range n.routers {
				o.loans.Load().resend()
			}
		}
		for _, r := range n.routers {
			if list := r.loans.Load().advances.dump(time.Now()); len(list) > 0 {
				violation = fmt.Sprintf("%s keeps %+v", r.member.Name, list)
			}
			if a := r.pot.escrow.Account(testWorkspace); !killed && a.Reserved != 0 {
				violation = fmt.Sprintf("%s keeps %d tokens reserved", r.member.Name, a.Reserved)
			}
		}
	})
	return violation
}

func historyProperty(t *testing.T, m mutant, span time.Duration) func(*rapid.T) {
	return func(r *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 5), 7, 40).Draw(r, "faults")
		steps := rapid.SliceOfN(rapid.IntRange(0, 100_000), 20, 150).Draw(r, "steps")
		require.Empty(r, runHistory(t, m, span, faults, steps))
	}
}

// TestLoansNeverExceedWhatHoldersCount guards against requests that use more than their holders count as spent or
// reserved, and against tokens that stay reserved for nobody: messages are lost, doubled and late, and routers are killed.
// It holds without advances and with them.
func TestLoansNeverExceedWhatHoldersCount(t *testing.T) {
	for _, span := range []time.Duration{0, DefaultOptions().AdvanceSpan, longSpan} {
		t.Run(span.String(), func(t *testing.T) { rapid.Check(t, historyProperty(t, mutantNone, span)) })
	}
}

// TestLoanFaultsAreNoticed guards against a property that detects nothing.
func TestLoanFaultsAreNoticed(t *testing.T) {
	spans := map[mutant]time.Duration{
		mutantRestart: 0, mutantTwice: 0, mutantLate: 0, mutantUnproved: 0, mutantRunning: longSpan, mutantReturned: longSpan,
	}
	for m, span := range spans {
		t.Run(string(m), func(t *testing.T) {
			caught, how := jvproperty.CheckFails(t, historyProperty(t, m, span))
			require.True(t, caught, "mutant not detected")
			t.Log(how)
		})
	}
}

// TestRefusedReserveIsNotGrantedLater guards against tokens that stay reserved for nobody: a reserve that arrives twice is
// refused at first, tokens return meanwhile, and the borrower has given it up when the second copy arrives.
func TestRefusedReserveIsNotGrantedLater(t *testing.T) {
	p := &pot{escrow: jvescrow.NewEscrow()}
	p.escrow.RaiseTotals(testWorkspace, 100, 0)
	o := DefaultOptions()
	o.Allocator, o.Timer, o.Logger = p, jvtimer.NewService(), logr.Discard()
	l := newLender(o)
	held, err := p.Try(testWorkspace, 100, true)
	require.NoError(t, err)
	m := message{Operation: operationReserve, Router: "r", Process: 1, Number: 1, Workspace: testWorkspace, Tokens: 50}
	for range 2 { // The tokens return after the first copy.
		refusals := 0
		l.reserve(m, func(response message) {
			require.Equal(t, string(jvgrant.KindWait), response.Refusal)
			refusals++
		})
		require.Equal(t, 1, refusals)
		p.Settle(held, 0)
		held.Tokens = 0
	}
	require.Zero(t, p.escrow.Account(testWorkspace).Reserved)
	m.Number++
	l.reserve(m, func(response message) { require.Empty(t, response.Refusal) })
}
