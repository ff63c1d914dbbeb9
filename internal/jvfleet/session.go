package jvfleet

import (
	"sync"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// session is what a router holds under one origin: its grants, loans and witnesses. A router
// whose origin was closed while it was paused starts a new session; reservations of the old
// one are settled there.
type session struct {
	origin string
	escrow *jvescrow.Escrow

	mu sync.Mutex
	// lent and borrowed are cumulative tokens by the other side's origin and profile.
	lent     map[string]map[string]int64
	borrowed map[string]map[string]int64
	// joined is true once the log has the origin's hello.
	joined    bool
	witnesses []witness
	// reported is what the log is known to have.
	reported map[string]jvrecord.Account
	told     map[loanPair]int64
	// serial counts the bills of requests that ran under this origin.
	serial uint64
}

// loanPair identifies the two sides of loans on a profile.
type loanPair struct {
	from, to, profile string
}

func pairOf(l jvrecord.Loan) loanPair { return loanPair{from: l.From, to: l.To, profile: l.Profile} }

func newSession(origin string) *session {
	return &session{
		origin:   origin,
		escrow:   jvescrow.NewEscrow(),
		lent:     map[string]map[string]int64{},
		borrowed: map[string]map[string]int64{},
		reported: map[string]jvrecord.Account{},
		told:     map[loanPair]int64{},
	}
}

// lend debits a loan to a borrower and returns the cumulative sum lent to it. A borrower
// that does not know of an earlier loan is told of that one and gets no other.
func (s *session) lend(to, profile string, tokens, held int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.lent[to][profile]
	if held < sum {
		return sum
	}
	lent := s.escrow.Lend(profile, tokens)
	if lent == 0 {
		return sum
	}
	put(s.lent, to, profile, sum+lent)
	return sum + lent
}

// bill gives a bill its name under this origin.
func (s *session) bill(l jvrecord.Bill) jvrecord.Bill {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	l.Origin, l.Serial = s.origin, s.serial
	return l
}

// borrow credits what a lender says that it has lent in all, and returns what was new.
func (s *session) borrow(from, profile string, sum int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	more := sum - s.borrowed[from][profile]
	if more <= 0 {
		return 0
	}
	put(s.borrowed, from, profile, sum)
	s.escrow.Borrow(profile, more)
	return more
}

func (s *session) borrowedFrom(origin, profile string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.borrowed[origin][profile]
}

// witnessList returns the witnesses that the log names.
func (s *session) witnessList() []witness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.witnesses
}

func put(m map[string]map[string]int64, a, b string, n int64) {
	if m[a] == nil {
		m[a] = map[string]int64{}
	}
	m[a][b] = n
}

// report returns the accounts and loans that the log does not have yet. The accounts are
// read before the loans, so that no account shows borrowed tokens spent that no loan explains.
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
	if s.told[pairOf(l)] < l.Tokens {
		r.Loans = append(r.Loans, l)
	}
}

// confirm notes that the log has a report.
func (s *session) confirm(r *jvrecord.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range r.Accounts {
		s.reported[a.Profile] = a
	}
	for _, l := range r.Loans {
		s.told[pairOf(l)] = max(s.told[pairOf(l)], l.Tokens)
	}
}
