package jvledger

import "slices"

// Account returns what an origin holds of a profile's budget.
func (s *State) Account(profile, origin string) (Account, bool) {
	b := s.Budgets[profile]
	if b == nil || b.Accounts[origin] == nil {
		return Account{}, false
	}
	return *b.Accounts[origin], true
}

// RunLock returns the memory of a request that may run once.
func (s *State) RunLock(k Key) (RunLock, bool) { return s.RunLocks.Get(k) }

// Quarantined tells whether a digest was part of too many target crashes.
func (s *State) Quarantined(digest Key) bool {
	c, _ := s.Crashes.Get(digest)
	return len(c.Attempts) >= s.rules.QuarantineCrashes
}

// BudgetTotals sums up a profile's budget.
func (s *State) BudgetTotals(profile string) BudgetTotals {
	b := s.Budgets[profile]
	if b == nil {
		return BudgetTotals{}
	}
	t := BudgetTotals{Prepaid: b.Prepaid, Free: b.Free, Spent: b.ExpiredSpent, Stranded: b.Expired - b.ExpiredSpent}
	for name, a := range b.Accounts {
		t.Spent += a.Spent
		if o := s.Origins[name]; o == nil || o.Closed {
			t.Stranded += a.Unspent()
		} else {
			t.Granted += a.Unspent()
		}
	}
	return t
}

// Profiles returns the names of all budgets in order.
func (s *State) Profiles() []string {
	names := make([]string, 0, len(s.Budgets))
	for n := range s.Budgets {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// UnbalancedProfile returns the first profile whose budget does not add up or has a negative
// term, or "".
func (s *State) UnbalancedProfile() string {
	for _, name := range s.Profiles() {
		b := s.Budgets[name]
		sum := b.Free + b.Expired
		sound := b.Free >= 0 && b.Expired >= b.ExpiredSpent && b.ExpiredSpent >= 0
		for _, a := range b.Accounts {
			sum += a.Holding()
			sound = sound && a.Unspent() >= 0 && a.Spent >= 0 && a.Returned >= 0
		}
		if sum != b.Prepaid || !sound {
			return name
		}
	}
	return ""
}
