package jvescrow

// Account is this VM's holding of one budget, in cumulative tokens except for Reserved.
type Account struct {
	// Granted is what the log has given; the rest is this VM's own count, which the log may lag.
	Granted int64 `json:"granted"`
	In      int64 `json:"in"`
	// Logged is the part of In that the log has.
	Logged   int64 `json:"logged"`
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

// Lendable returns the tokens that may be lent or returned: granted ones, and borrowed ones
// that the log has, of which nothing has been spent or reserved. A borrowed token that the
// log does not have yet is not passed on: the log would learn of the second loan first, and
// with 1 granted, 1 borrowed and 1 spent it would see a VM that holds less than nothing.
func (a Account) Lendable() int64 {
	known := a.Granted + a.Logged - a.Out - a.Returned - a.Spent - a.Reserved
	return max(0, min(a.Available(), known))
}
