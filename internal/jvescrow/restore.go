package jvescrow

// Restore sets an account to what an earlier start of this VM was granted and returned; spent
// is an upper bound of what that start spent.
func (e *Escrow) Restore(profile string, granted, returned, spent int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account(profile)
	a.Granted = granted
	a.Returned = returned
	a.Spent = min(spent, granted-returned)
}

// RaiseTotals raises the cumulative tokens granted and returned to those of a record, which may stem
// from an earlier start and have been appended late.
func (e *Escrow) RaiseTotals(profile string, granted, returned int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account(profile)
	a.Granted = max(a.Granted, granted)
	a.Returned = max(a.Returned, returned)
}

// Refund subtracts tokens from Spent that were found not to have been spent.
func (e *Escrow) Refund(profile string, tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account(profile)
	a.Spent -= min(tokens, a.Spent)
}
