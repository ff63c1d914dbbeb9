package jvledger

import (
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// GrantSize returns how much of free a claim gets: what it wants, but no more than the
// profile's share ahead unless the need is larger, and nothing where the need can't be met.
func GrantSize(free, need, want, ahead int64) int64 {
	if need <= 0 || free < need {
		return 0
	}
	share := free / 100 * ahead
	size := min(want, share)
	return min(max(size, need), free)
}

func (s *State) applyClaim(origin string, c *jvrecord.Claim) Verdict {
	p, ok := s.catalog.Profile(c.Profile)
	if !ok {
		return Verdict{Reason: ReasonMissing}
	}
	b := s.Budgets[c.Profile]
	if b == nil {
		return Verdict{Reason: ReasonShort}
	}
	size := GrantSize(b.Free, c.Need, c.Want, p.Ahead)
	if size == 0 {
		b.LastShortAt = s.Now
		return Verdict{Reason: ReasonShort}
	}
	b.Free -= size
	b.account(origin).Granted += size
	return Verdict{Reason: ReasonAccepted, Tokens: size}
}

func (s *State) applyReport(origin string, r *jvrecord.Report) Verdict {
	for _, l := range r.Loans {
		if l.From == origin || l.To == origin {
			s.applyLoan(l)
		}
	}
	for _, c := range r.Accounts {
		s.applyAccount(origin, c)
	}
	s.applyBills(r.Bills)
	return Verdict{Reason: ReasonAccepted}
}

// applyLoan moves tokens from lender to borrower. A lender that was reclaimed has all of
// its open mark counted as spent, the loan with it, so there the loan lowers what counts as spent.
func (s *State) applyLoan(l jvrecord.Loan) {
	b := s.Budgets[l.Profile]
	if b == nil || l.From == l.To {
		return
	}
	more := l.Tokens - b.Loans[l.From][l.To]
	if more <= 0 {
		return
	}
	lender := s.Origins[l.From]
	if lender == nil {
		return // The loan is inside what was written off when the lender was forgotten.
	}
	from := b.account(l.From)
	if lender.Closed {
		if from.Spent < more {
			s.Breaches++
			return
		}
		from.Spent -= more
	}
	if b.Loans[l.From] == nil {
		b.Loans[l.From] = map[string]int64{}
	}
	b.Loans[l.From][l.To] = l.Tokens
	from.Lent += more
	if s.Origins[l.To] == nil {
		b.Expired += more // The borrower was forgotten, so nobody will report what it spends.
		b.ExpiredSpent += more
		return
	}
	b.account(l.To).Borrowed += more
}

// applyAccount raises an account's counters. A report that says more than the account
// holds is a breach of the holder's own rule; it is counted and cut to what is held.
func (s *State) applyAccount(origin string, c jvrecord.Account) {
	b := s.Budgets[c.Profile]
	if b == nil || b.Accounts[origin] == nil {
		return
	}
	a := b.Accounts[origin]
	if spent := c.Spent - a.Spent; spent > 0 {
		if spent > a.Unspent() {
			s.Breaches++
			spent = max(a.Unspent(), 0)
		}
		a.Spent += spent
	}
	if back := c.Returned - a.Returned; back > 0 {
		if back > a.Unspent() {
			s.Breaches++
			back = max(a.Unspent(), 0)
		}
		a.Returned += back
		b.Free += back
	}
}

func (s *State) applyBills(groups []jvrecord.BillGroup) {
	for _, g := range groups {
		o := s.Origins[g.Origin]
		if o == nil {
			continue
		}
		t := s.billed(g.Workspace, g.Profile)
		for _, l := range g.Lines {
			if o.bill(l.Serial) {
				s.applyBill(t, l)
			}
		}
	}
}

// applyBill charges one new bill, unless the request's key has been charged before.
func (s *State) applyBill(t *BillTotals, l jvrecord.BillLine) {
	if k, ok := KeyOf(l.Key); ok {
		if _, ok := s.BilledKeys.Get(k); ok {
			t.Repeated++
			return
		}
		s.BilledKeys.Put(k, true)
	}
	t.Requests++
	t.Tokens += l.Tokens
}

func (s *State) billed(workspace, profile string) *BillTotals {
	m := s.BillTotals[workspace]
	if m == nil {
		m = map[string]*BillTotals{}
		s.BillTotals[workspace] = m
	}
	t := m[profile]
	if t == nil {
		t = &BillTotals{}
		m[profile] = t
	}
	return t
}

// applyLeave closes an origin that has reported all: what is left of its grants is free.
func (s *State) applyLeave(origin string, o *Origin) Verdict {
	for _, b := range s.Budgets {
		if a := b.Accounts[origin]; a != nil {
			s.release(b, a, a.Spent)
		}
	}
	o.Closed = true
	return Verdict{Reason: ReasonAccepted}
}

// release closes an account that spent at most spent tokens and frees the rest.
func (s *State) release(b *Budget, a *Account, spent int64) {
	a.Spent = min(max(a.Spent, spent), a.Holding())
	left := a.Unspent()
	a.Returned += left
	b.Free += left
}
