package jvescrow

// Restore takes over an account that an earlier start of this VM held: what it had been
// granted and had returned stands, and the rest of it counts as spent.
func (e *Escrow) Restore(profile string, granted, returned int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account(profile)
	a.Granted = granted
	a.Returned = returned
	a.Spent = granted - returned
}
