package jvledger

// Budget is a profile's prepaid tokens. At every offset
//
//	Prepaid = Free + Expired + sum over accounts of Holding
//
// and each term is at least 0.
type Budget struct {
	Prepaid int64 `cbor:"prepaid"`
	// Free is the tokens that no account holds.
	Free int64 `cbor:"free"`
	// Expired is the holding of accounts whose origin was removed: spent or written off.
	Expired int64 `cbor:"gone"`
	// ExpiredSpent is the part of Expired that was spent.
	ExpiredSpent int64 `cbor:"gonespent"`
	// Accounts holds the accounts by origin.
	Accounts map[string]*Account `cbor:"accounts"`
	// Loans holds the cumulative tokens lent, by lender and then borrower.
	Loans map[string]map[string]int64 `cbor:"loans"`
	// LastShortAt is the log time at which a claim was last refused for lack of free tokens, in
	// Unix milliseconds.
	LastShortAt int64 `cbor:"short"`
}

// Account is the cumulative counters of one origin on a budget, in tokens.
type Account struct {
	Granted  int64 `cbor:"granted"`
	Returned int64 `cbor:"returned"`
	Spent    int64 `cbor:"spent"`
	Borrowed int64 `cbor:"in"`
	Lent     int64 `cbor:"out"`
}

// Holding returns the tokens that the origin holds, including those spent.
func (a Account) Holding() int64 { return a.Granted + a.Borrowed - a.Lent - a.Returned }

// Unspent returns the tokens that the origin holds and has not reported spent.
func (a Account) Unspent() int64 { return a.Holding() - a.Spent }

// BudgetTotals is the summary of a budget that operators see, in tokens.
type BudgetTotals struct {
	Prepaid int64 `json:"prepaid"`
	Spent   int64 `json:"spent"`
	// Granted is held by open origins and not reported spent.
	Granted int64 `json:"granted"`
	// Stranded is held by closed or removed origins and not reported spent.
	Stranded int64 `json:"stranded"`
	Free     int64 `json:"free"`
}

func (b *Budget) account(origin string) *Account {
	a := b.Accounts[origin]
	if a == nil {
		a = &Account{}
		b.Accounts[origin] = a
	}
	return a
}

func newBudget() *Budget {
	return &Budget{Accounts: map[string]*Account{}, Loans: map[string]map[string]int64{}}
}
