package jvledger

// Budget is a profile's prepaid tokens. At every offset
//
//	Prepaid = Free + Gone + sum over accounts of Holding
//
// and each term is at least 0.
type Budget struct {
	Prepaid int64 `cbor:"prepaid"`
	Free    int64 `cbor:"free"`
	// Expired is what closed and forgotten accounts spent or left written off.
	Expired int64 `cbor:"gone"`
	// ExpiredSpent is the part of Gone that was spent.
	ExpiredSpent int64               `cbor:"gonespent"`
	Accounts  map[string]*Account `cbor:"accounts"`
	// Loans are cumulative, by lender and then borrower.
	Loans map[string]map[string]int64 `cbor:"loans"`
	// LastShortAt is the log time at which a claim last found too little, in Unix milliseconds.
	LastShortAt int64 `cbor:"short"`
}

// Account is what one origin holds of a budget, in cumulative tokens.
type Account struct {
	Granted  int64 `cbor:"granted"`
	Returned int64 `cbor:"returned"`
	Spent    int64 `cbor:"spent"`
	Borrowed       int64 `cbor:"in"`
	Lent      int64 `cbor:"out"`
}

// Holding returns the tokens that the origin has or has spent.
func (a Account) Holding() int64 { return a.Granted + a.Borrowed - a.Lent - a.Returned }

// Unspent returns the tokens that the origin holds and has not reported spent.
func (a Account) Unspent() int64 { return a.Holding() - a.Spent }

// BudgetTotals is a budget summed up for operators, in tokens.
type BudgetTotals struct {
	Prepaid int64 `json:"prepaid"`
	Spent   int64 `json:"spent"`
	// Granted is held by open origins and not reported spent.
	Granted int64 `json:"granted"`
	// Stranded is held by closed or silent origins and not reported spent.
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
