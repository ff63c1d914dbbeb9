package jvescrow

import (
	"maps"
	"slices"
	"sync"
)

// Escrow is the table of this VM's accounts. It is safe for concurrent use; no other lock is
// acquired while its lock is held.
type Escrow struct {
	mu       sync.Mutex
	accounts map[string]*Account
	// enforced is true while the VM has named witnesses; Reserve and Lend then respect the marks.
	enforced bool
	// frozen is true while a record that names new witnesses is being appended to the log.
	frozen bool
	// epoch numbers the sets of witnesses, so that a late acknowledgement from an earlier set is
	// ignored.
	epoch  int
	closed bool
}

// NewEscrow returns an empty table.
func NewEscrow() *Escrow { return &Escrow{accounts: map[string]*Account{}} }

func (e *Escrow) account(profile string) *Account {
	a := e.accounts[profile]
	if a == nil {
		a = &Account{}
		e.accounts[profile] = a
	}
	return a
}

// RaiseGranted raises an account to the cumulative tokens that the log has as granted, and as
// borrowed from other VMs.
func (e *Escrow) RaiseGranted(profile string, granted, borrowed int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account(profile)
	a.Granted = max(a.Granted, granted)
	a.LoggedLoans = max(a.LoggedLoans, borrowed)
}

// Reserve reserves the worst case of an attempt, in tokens.
func (e *Escrow) Reserve(profile string, tokens int64) (Reservation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return Reservation{}, errClosed
	}
	a := e.account(profile)
	if a.Available() < tokens {
		return Reservation{}, errShort
	}
	if e.enforced && a.Committed()+tokens > a.Mark {
		return Reservation{}, errMark
	}
	a.Reserved += tokens
	a.Demand += tokens
	return Reservation{Profile: profile, Tokens: tokens}, nil
}

// Settle ends a reservation and adds the tokens used, at most those reserved, to Spent. It
// returns the tokens added, and works after Close too, since an attempt that ran was spent.
func (e *Escrow) Settle(r Reservation, used int64) int64 {
	used = min(max(used, 0), r.Tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account(r.Profile)
	a.Reserved -= r.Tokens
	a.Spent += used
	return used
}

// Lend debits up to tokens for a loan and returns the amount. The debit precedes the message
// that carries the loan, so a lost message strands tokens but never duplicates them.
func (e *Escrow) Lend(profile string, tokens int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account(profile)
	if e.closed {
		return 0
	}
	lent := min(tokens, a.Lendable())
	if e.enforced {
		lent = min(lent, a.Mark-a.Committed())
	}
	lent = max(lent, 0)
	a.Lent += lent
	return lent
}

// Borrow credits a loan of tokens.
func (e *Escrow) Borrow(profile string, tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account(profile).Borrowed += tokens
}

// Return debits up to tokens that go back to the budget with the next report, and returns the
// amount.
func (e *Escrow) Return(profile string, tokens int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account(profile)
	if e.closed {
		return 0
	}
	returned := max(0, min(tokens, a.Lendable()))
	a.Returned += returned
	return returned
}

// Close ends reserving, lending and returning; settlements remain possible.
func (e *Escrow) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
}

// FreezeMarks starts to enforce marks, keeps them from rising, and returns them for the record that
// names new witnesses. Without witnesses so far, each mark is first raised to all that the VM
// holds, since any of it may have been reserved.
func (e *Escrow) FreezeMarks() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	marks := map[string]int64{}
	for p, a := range e.accounts {
		if !e.enforced {
			a.Mark = max(a.Mark, a.Granted+a.Borrowed-a.Returned)
		}
		marks[p] = a.Mark
	}
	e.frozen = true
	e.enforced = true
	e.epoch++
	return marks
}

// UnfreezeMarks lets marks rise again, and enforces them further only if enforced is true.
func (e *Escrow) UnfreezeMarks(enforced bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = false
	e.enforced = enforced
}

// Epoch returns the number of the current set of witnesses.
func (e *Escrow) Epoch() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch
}

// RaiseMark raises a mark to one that a witness of an epoch has acknowledged, unless marks are
// frozen or the epoch has ended.
func (e *Escrow) RaiseMark(epoch int, profile string, mark int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen || epoch != e.epoch {
		return
	}
	a := e.account(profile)
	a.Mark = max(a.Mark, mark)
}

// MarksEnforced reports whether Reserve and Lend respect the marks.
func (e *Escrow) MarksEnforced() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.enforced
}

// CloseAndSettle closes the accounts and counts all reserved tokens as spent, for a VM that stops
// without waiting for its requests.
func (e *Escrow) CloseAndSettle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, a := range e.accounts {
		a.Spent += a.Reserved
		a.Reserved = 0
	}
}

// Snapshot returns a copy of all accounts.
func (e *Escrow) Snapshot() map[string]Account {
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := make(map[string]Account, len(e.accounts))
	for p, a := range e.accounts {
		copied[p] = *a
	}
	return copied
}

// Account returns a copy of one account.
func (e *Escrow) Account(profile string) Account {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.accounts[profile]; a != nil {
		return *a
	}
	return Account{}
}

// Decay halves the demand of every account, so that claims are sized by recent requests.
func (e *Escrow) Decay() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.accounts {
		a.Demand /= 2
	}
}

// Profiles returns the profiles of all accounts in sorted order.
func (e *Escrow) Profiles() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.accounts))
}

// Idle reports whether no reservation is open.
func (e *Escrow) Idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.accounts {
		if a.Reserved > 0 {
			return false
		}
	}
	return true
}
