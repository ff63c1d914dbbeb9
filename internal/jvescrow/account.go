package jvescrow

// Account is this VM's holding of one budget, in cumulative tokens except for Reserved.
type Account struct {
	// Granted is what the log has given; the rest is this VM's own count, which the log may lag.
	Granted  int64 `json:"granted"`
	In       int64 `json:"in"`
	Out      int64 `json:"out"`
	Returned int64 `json:"returned"`
	Spent    int64 `json:"spent"`
	// Reserved is held for requests under way.
	Reserved int64 `json:"reserved"`
	// Mark is the highest use that a witness has acknowledged.
	Mark int64 `json:"mark"`
	// Demand is a moving sum of recent reservations, in tokens, which sizes claims.
	Demand int64 `json:"demand"`
}

// Available returns the tokens that can be reserved, marks aside.
func (a Account) Available() int64 {
	return a.Granted + a.In - a.Out - a.Returned - a.Spent - a.Reserved
}

// Use returns what a mark has to cover: what is spent, promised to requests, or lent.
func (a Account) Use() int64 { return a.Spent + a.Reserved + a.Out }

// Lendable returns the tokens that may be lent or returned: granted ones that nothing has
// been spent or reserved of. Spending counts against the VM's own grant first even where it
// was covered by a loan, since the log may learn of the passed-on token before it learns of
// the borrowed one: with 1 granted, 1 borrowed and 1 spent, lending the granted token on
// would show the log a VM that holds less than nothing until its next report.
func (a Account) Lendable() int64 {
	own := a.Granted - a.Out - a.Returned - a.Spent - a.Reserved
	return max(0, min(a.Available(), own))
}
