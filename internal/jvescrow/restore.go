package jvescrow

// Restore takes over an account that an earlier start of this VM held: what it had been
// granted and had returned stands, and spent is the most that it can have spent of that.
func (e *Escrow) Restore(profile string, granted, returned, spent int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account(profile)
	a.Granted = granted
	a.Returned = returned
	a.Spent = min(spent, granted-returned)
}

// Adopt takes over what a record says has been granted and returned in all, also when it was
// made by an earlier start and added late.
func (e *Escrow) Adopt(profile string, granted, returned int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account(profile)
	a.Granted = max(a.Granted, granted)
	a.Returned = max(a.Returned, returned)
}

// Refund takes tokens off what counts as spent that were found not to have been.
func (e *Escrow) Refund(profile string, tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account(profile)
	a.Spent -= min(tokens, a.Spent)
}
