package jvfleet

import (
	"sync"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// session holds a router's grants, loans and witnesses under one origin. A router whose origin was
// closed while it was paused starts a new session; reservations of the old session are still
// settled in it.
type session struct {
	origin string
	escrow *jvescrow.Escrow

	mu sync.Mutex
	// lent and borrowed are cumulative tokens by the peer's origin, then by profile.
	lent     map[string]map[string]int64
	borrowed map[string]map[string]int64
	// joined is true once the log has the origin's hello.
	joined    bool
	witnesses []witness
	// reported and reportedLoans are the accounts and loans that the log is known to have.
	reported      map[string]jvrecord.Account
	reportedLoans map[loanPair]int64
	// serial is the serial number of the last bill under this origin.
	serial uint64
}

// loanPair identifies the lender, the borrower and the profile of loans.
type loanPair struct {
	from, to, profile string
}

func loanPairOf(l jvrecord.Loan) loanPair {
	return loanPair{from: l.From, to: l.To, profile: l.Profile}
}

func newSession(origin string) *session {
	return &session{
		origin:        origin,
		escrow:        jvescrow.NewEscrow(),
		lent:          map[string]map[string]int64{},
		borrowed:      map[string]map[string]int64{},
		reported:      map[string]jvrecord.Account{},
		reportedLoans: map[loanPair]int64{},
	}
}

// lend lends tokens to a borrower and returns the cumulative tokens lent to it. A borrower whose
// cumulative sum, known, lacks an earlier loan gets only that one, since the response that carried
// it was lost.
func (s *session) lend(to, profile string, tokens, known int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.lent[to][profile]
	if known < sum {
		return sum
	}
	lent := s.escrow.Lend(profile, tokens)
	if lent == 0 {
		return sum
	}
	putNested(s.lent, to, profile, sum+lent)
	return sum + lent
}

// bill sets the origin and the next serial number of a bill.
func (s *session) bill(b jvrecord.Bill) jvrecord.Bill {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	b.Origin, b.Serial = s.origin, s.serial
	return b
}

// borrow credits the loans in a lender's cumulative sum that are new, and returns their tokens.
func (s *session) borrow(from, profile string, sum int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	more := sum - s.borrowed[from][profile]
	if more <= 0 {
		return 0
	}
	putNested(s.borrowed, from, profile, sum)
	s.escrow.Borrow(profile, more)
	return more
}

func (s *session) borrowedFrom(origin, profile string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.borrowed[origin][profile]
}

// witnessList returns the witnesses that the log has for this origin.
func (s *session) witnessList() []witness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.witnesses
}

func putNested(m map[string]map[string]int64, a, b string, n int64) {
	if m[a] == nil {
		m[a] = map[string]int64{}
	}
	m[a][b] = n
}

// report returns the accounts and loans that the log does not have yet. The accounts are read
// before the loans, so that every borrowed token that an account shows as spent has its loan in
// the same report or in an earlier one.
func (s *session) report() *jvrecord.Report {
	accounts := s.escrow.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &jvrecord.Report{}
	for profile, a := range accounts {
		now := jvrecord.Account{Profile: profile, Spent: a.Spent, Returned: a.Returned}
		if s.reported[profile] != now && (now.Spent > 0 || now.Returned > 0) {
			r.Accounts = append(r.Accounts, now)
		}
	}
	s.addLoans(r)
	return r
}

func (s *session) addLoans(r *jvrecord.Report) {
	for to, profiles := range s.lent {
		for profile, tokens := range profiles {
			s.addLoan(r, jvrecord.Loan{From: s.origin, To: to, Profile: profile, Tokens: tokens})
		}
	}
	for from, profiles := range s.borrowed {
		for profile, tokens := range profiles {
			s.addLoan(r, jvrecord.Loan{From: from, To: s.origin, Profile: profile, Tokens: tokens})
		}
	}
}

func (s *session) addLoan(r *jvrecord.Report, l jvrecord.Loan) {
	if s.reportedLoans[loanPairOf(l)] < l.Tokens {
		r.Loans = append(r.Loans, l)
	}
}

// confirm stores that the log has a report.
func (s *session) confirm(r *jvrecord.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range r.Accounts {
		s.reported[a.Profile] = a
	}
	for _, l := range r.Loans {
		s.reportedLoans[loanPairOf(l)] = max(s.reportedLoans[loanPairOf(l)], l.Tokens)
	}
}
