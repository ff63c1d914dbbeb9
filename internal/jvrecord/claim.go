package jvrecord

// Claim requests a grant on a profile's budget for the sending origin.
type Claim struct {
	Profile string `cbor:"profile"`
	// Need is the smallest grant of use to the sender and Want the size it wants, in tokens.
	Need int64 `cbor:"need"`
	Want int64 `cbor:"want"`
}

// Account is the sender's cumulative counters on one profile's budget, in tokens. The state
// machine only raises its counters, so a repeated report changes nothing.
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
	// Origin ran the request, and Serial counts its bills from 1: the state machine applies a
	// bill once, whether the origin or one of its witnesses reports it.
	Origin string `cbor:"origin"`
	Serial uint64 `cbor:"serial"`
	// Key identifies the request across the fleet; it is empty where the caller gave no key.
	Key       []byte `cbor:"key,omitempty"`
	Workspace string `cbor:"workspace"`
	Profile   string `cbor:"profile"`
	Tokens    int64  `cbor:"tokens"`
}

// BillGroup is bills that have origin, workspace and profile in common.
type BillGroup struct {
	Origin    string     `cbor:"origin"`
	Workspace string     `cbor:"workspace"`
	Profile   string     `cbor:"profile"`
	Lines     []BillLine `cbor:"lines"`
}

// BillLine is the part of a bill that differs within its group.
type BillLine struct {
	_      struct{} `cbor:",toarray"`
	Serial uint64
	Tokens int64
	Key    []byte
}

// GroupBills returns bills in groups, ordered by each group's first bill.
func GroupBills(bills []Bill) []BillGroup {
	var groups []BillGroup
	indexes := map[BillGroupKey]int{}
	for _, b := range bills {
		key := BillGroupKey{Origin: b.Origin, Workspace: b.Workspace, Profile: b.Profile}
		i, ok := indexes[key]
		if !ok {
			i = len(groups)
			indexes[key] = i
			groups = append(groups, BillGroup{Origin: b.Origin, Workspace: b.Workspace, Profile: b.Profile})
		}
		groups[i].Lines = append(groups[i].Lines, BillLine{Serial: b.Serial, Tokens: b.Tokens, Key: b.Key})
	}
	return groups
}

// BillGroupKey is what the bills of a group have in common.
type BillGroupKey struct {
	Origin    string
	Workspace string
	Profile   string
}

// Report is the sender's spent, returned, lent and borrowed tokens, with the bills of requests
// that it ran or that it keeps as a witness.
type Report struct {
	Accounts []Account `cbor:"accounts,omitempty"`
	Loans    []Loan    `cbor:"loans,omitempty"`
	// Bills are grouped, since most consecutive bills have origin, workspace and profile in
	// common.
	Bills []BillGroup `cbor:"bills,omitempty"`
}
