package jvledger

import (
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// GrantSize returns how many of the free tokens a claim gets: want, but at most ahead percent
// of free unless need is larger, and 0 where free is less than need.
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
	size := GrantSize(b.Free, c.Need, c.Want, p.AheadPercent)
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
	for _, a := range r.Accounts {
		s.applyAccount(origin, a)
	}
	s.applyBills(r.Bills)
	return Verdict{Reason: ReasonAccepted}
}

// applyLoan moves tokens from lender to borrower. The account of a closed lender already
// counts all tokens up to its mark as spent, the loan among them, so there the loan is
// subtracted from the spent tokens.
func (s *State) applyLoan(l jvrecord.Loan) {
	b := s.Budgets[l.Profile]
	if b == nil || l.From == l.To {
		return
	}
	added := l.Tokens - b.Loans[l.From][l.To]
	if added <= 0 {
		return
	}
	lender := s.Origins[l.From]
	if lender == nil {
		return // The lender was removed, and the loan is part of what was written off then.
	}
	from := b.account(l.From)
	if lender.Closed {
		if from.Spent < added {
			s.Breaches++
			return
		}
		from.Spent -= added
	}
	if b.Loans[l.From] == nil {
		b.Loans[l.From] = map[string]int64{}
	}
	b.Loans[l.From][l.To] = l.Tokens
	from.Lent += added
	if s.Origins[l.To] == nil {
		b.Expired += added // The borrower was removed, so no report of its spending will come.
		b.ExpiredSpent += added
		return
	}
	b.account(l.To).Borrowed += added
}

// applyAccount raises an account's counters. A counter above what the account holds means
// that the holder broke its own limit: that is counted as a breach and cut to what is held.
func (s *State) applyAccount(origin string, reported jvrecord.Account) {
	b := s.Budgets[reported.Profile]
	if b == nil || b.Accounts[origin] == nil {
		return
	}
	a := b.Accounts[origin]
	if spent := reported.Spent - a.Spent; spent > 0 {
		if spent > a.Unspent() {
			s.Breaches++
			spent = max(a.Unspent(), 0)
		}
		a.Spent += spent
	}
	if returned := reported.Returned - a.Returned; returned > 0 {
		if returned > a.Unspent() {
			s.Breaches++
			returned = max(a.Unspent(), 0)
		}
		a.Returned += returned
		b.Free += returned
	}
}

func (s *State) applyBills(groups []jvrecord.BillGroup) {
	for _, g := range groups {
		o := s.Origins[g.Origin]
		if o == nil {
			continue
		}
		t := s.billTotals(g.Workspace, g.Profile)
		for _, l := range g.Lines {
			if o.recordBill(l.Serial) {
				s.applyBill(t, l)
			}
		}
	}
}

// applyBill charges a bill with a new serial, unless the request's key has been charged.
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

func (s *State) billTotals(workspace, profile string) *BillTotals {
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

// applyLeave closes an origin that has reported all its spending and frees its unspent tokens.
func (s *State) applyLeave(origin string, o *Origin) Verdict {
	for _, b := range s.Budgets {
		if a := b.Accounts[origin]; a != nil {
			s.release(b, a, a.Spent)
		}
	}
	o.Closed = true
	return Verdict{Reason: ReasonAccepted}
}

// release closes an account: it counts maxSpent tokens as spent, the most that the origin can
// have spent, and frees the rest.
func (s *State) release(b *Budget, a *Account, maxSpent int64) {
	a.Spent = min(max(a.Spent, maxSpent), a.Holding())
	unspent := a.Unspent()
	a.Returned += unspent
	b.Free += unspent
}
