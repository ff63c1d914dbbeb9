package jvescrow

// Account is this VM's holding of one budget, in tokens. All fields but Reserved and Demand are
// cumulative. All but Granted and LoggedLoans are counted by this VM, and the log may lag behind
// them.
type Account struct {
	// Granted is the sum of the grants in the log.
	Granted int64 `json:"granted"`
	// Borrowed is the sum of the loans that this VM has received.
	Borrowed int64 `json:"in"`
	// LoggedLoans is the part of Borrowed that the log has.
	LoggedLoans int64 `json:"logged"`
	// Lent is the sum of the loans that this VM has made.
	Lent     int64 `json:"out"`
	Returned int64 `json:"returned"`
	Spent    int64 `json:"spent"`
	// Reserved is the sum of the open reservations.
	Reserved int64 `json:"reserved"`
	// Mark is the high-water mark of Committed that a witness has acknowledged.
	Mark int64 `json:"mark"`
	// Demand is a decaying sum of recent reservations, from which claims are sized.
	Demand int64 `json:"demand"`
}

// Available returns the tokens that can be reserved, without regard to the mark.
func (a Account) Available() int64 {
	return a.Granted + a.Borrowed - a.Lent - a.Returned - a.Spent - a.Reserved
}

// Committed returns the tokens that the mark must cover: those spent, reserved or lent.
func (a Account) Committed() int64 { return a.Spent + a.Reserved + a.Lent }

// Lendable returns the tokens that may be lent or returned: those granted, or borrowed with the
// loan in the log, that are neither spent nor reserved. Tokens of a loan that the log does not
// have yet are excluded: the log could get the second loan before the first, and a VM with
// 1 token granted, 1 borrowed and 1 spent would then have a negative holding there.
func (a Account) Lendable() int64 {
	known := a.Granted + a.LoggedLoans - a.Lent - a.Returned - a.Spent - a.Reserved
	return max(0, min(a.Available(), known))
}
