package jvrecord

// Claim asks for a grant on a profile's budget for the sending origin.
type Claim struct {
	Profile string `cbor:"profile"`
	// Need is the least number of tokens of use to the sender; Want is what it would hold.
	Need int64 `cbor:"need"`
	Want int64 `cbor:"want"`
}

// Account is the sender's cumulative counters on one profile's budget, in tokens.
// The larger counter wins, so a repeated report changes nothing.
type Account struct {
	Profile  string `cbor:"profile"`
	Spent    int64  `cbor:"spent"`
	Returned int64  `cbor:"returned"`
}

// Loan is the cumulative number of tokens that one origin has lent another on a budget.
type Loan struct {
	From    string `cbor:"from"`
	To      string `cbor:"to"`
	Profile string `cbor:"profile"`
	Tokens  int64  `cbor:"tokens"`
}

// Bill charges one request to its workspace.
type Bill struct {
	// Origin ran the request, and Serial counts its bills from 1: whoever reports the bill,
	// the origin itself or a witness of it, the fold takes it once.
	Origin string `cbor:"origin"`
	Serial uint64 `cbor:"serial"`
	// Key identifies the request across the fleet; empty where the caller gave no key.
	Key       []byte `cbor:"key,omitempty"`
	Workspace string `cbor:"workspace"`
	Profile   string `cbor:"profile"`
	Tokens    int64  `cbor:"tokens"`
}

// BillGroup is the bills of one origin on one profile.
type BillGroup struct {
	Origin    string     `cbor:"origin"`
	Workspace string     `cbor:"workspace"`
	Profile   string     `cbor:"profile"`
	Lines     []BillLine `cbor:"lines"`
}

// BillLine is what differs between the bills of a group.
type BillLine struct {
	_      struct{} `cbor:",toarray"`
	Serial uint64
	Tokens int64
	Key    []byte
}

// GroupBills puts bills into groups, in order of their first bill.
func GroupBills(bills []Bill) []BillGroup {
	var groups []BillGroup
	places := map[BillGroupKey]int{}
	for _, b := range bills {
		name := BillGroupKey{Origin: b.Origin, Workspace: b.Workspace, Profile: b.Profile}
		at, ok := places[name]
		if !ok {
			at = len(groups)
			places[name] = at
			groups = append(groups, BillGroup{Origin: b.Origin, Workspace: b.Workspace, Profile: b.Profile})
		}
		groups[at].Lines = append(groups[at].Lines, BillLine{Serial: b.Serial, Tokens: b.Tokens, Key: b.Key})
	}
	return groups
}

// BillGroupKey is what the bills of a group have in common.
type BillGroupKey struct {
	Origin    string
	Workspace string
	Profile   string
}

// Report tells what the sender has spent, returned, lent and borrowed, and for whom.
type Report struct {
	Accounts []Account `cbor:"accounts,omitempty"`
	Loans    []Loan    `cbor:"loans,omitempty"`
	// Bills are grouped, since most of a bill is the same as in the one before it.
	Bills []BillGroup `cbor:"bills,omitempty"`
}
