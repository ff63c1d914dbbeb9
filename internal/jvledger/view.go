package jvledger

import "slices"

// Account returns an origin's account on a profile's budget.
func (s *State) Account(profile, origin string) (Account, bool) {
	b := s.Budgets[profile]
	if b == nil || b.Accounts[origin] == nil {
		return Account{}, false
	}
	return *b.Accounts[origin], true
}

// RunLock returns the run lock of a key.
func (s *State) RunLock(k Key) (RunLock, bool) { return s.RunLocks.Get(k) }

// QuarantinedUntil returns the log time, in Unix milliseconds, until which requests with a digest are
// quarantined, since they were running in too many target crashes; 0 if they are not.
func (s *State) QuarantinedUntil(digest Key) int64 {
	if s.CrashCount(digest) < s.rules.QuarantineCrashes {
		return 0
	}
	return s.Crashes.ExpiresAt(digest)
}

// CrashCount returns the number of target crashes that are kept for a digest.
func (s *State) CrashCount(digest Key) int {
	c, _ := s.Crashes.Get(digest)
	return len(c.Instances)
}

// Suspected reports whether requests with a digest were running in a target crash.
func (s *State) Suspected(digest Key) bool {
	_, ok := s.Crashes.Get(digest)
	return ok
}

// BudgetTotals returns the summary of a profile's budget.
func (s *State) BudgetTotals(profile string) BudgetTotals {
	b := s.Budgets[profile]
	if b == nil {
		return BudgetTotals{}
	}
	t := BudgetTotals{Prepaid: b.Prepaid, Free: b.Free, Spent: b.ExpiredSpent, Stranded: b.Expired - b.ExpiredSpent}
	for origin, a := range b.Accounts {
		t.Spent += a.Spent
		if o := s.Origins[origin]; o == nil || o.Closed {
			t.Stranded += a.Unspent()
		} else {
			t.Granted += a.Unspent()
		}
	}
	return t
}

// Profiles returns the profiles that have a budget, sorted.
func (s *State) Profiles() []string {
	names := make([]string, 0, len(s.Budgets))
	for n := range s.Budgets {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// UnbalancedProfile returns the first profile whose budget doesn't add up or has a negative
// term, or "" where all are balanced.
func (s *State) UnbalancedProfile() string {
	for _, profile := range s.Profiles() {
		b := s.Budgets[profile]
		sum := b.Free + b.Expired
		valid := b.Free >= 0 && b.Expired >= b.ExpiredSpent && b.ExpiredSpent >= 0
		for _, a := range b.Accounts {
			sum += a.Holding()
			valid = valid && a.Unspent() >= 0 && a.Spent >= 0 && a.Returned >= 0
		}
		if sum != b.Prepaid || !valid {
			return profile
		}
	}
	return ""
}
