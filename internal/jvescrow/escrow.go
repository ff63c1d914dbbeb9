package jvescrow

import (
	"maps"
	"slices"
	"sync"
)

// Escrow is the table of this VM's accounts. It is safe for concurrent use; its lock is a
// leaf: nothing is called while it is held.
type Escrow struct {
	mu       sync.Mutex
	accounts map[string]*Account
	// witnessed is true while the VM has named witnesses, so that marks bind.
	witnessed bool
	// frozen is true from naming new witnesses until the log has them.
	frozen bool
	// epoch counts the sets of witnesses, so that a late acknowledgement by an old one opens nothing.
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

// Granted takes over what the log has granted on a profile, and which loans to this VM it
// has, in cumulative tokens.
func (e *Escrow) Granted(profile string, tokens, borrowed int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account(profile)
	a.Granted = max(a.Granted, tokens)
	a.Logged = max(a.Logged, borrowed)
}

// Reserve takes the worst case of an attempt out of the account, in tokens.
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
	if e.witnessed && a.Use()+tokens > a.Mark {
		return Reservation{}, errMark
	}
	a.Reserved += tokens
	a.Demand += tokens
	return Reservation{Profile: profile, Tokens: tokens}, nil
}

// Settle ends a reservation with the tokens that were used, at most what was reserved, and
// returns what it booked. It serves closed accounts too: what ran was spent.
func (e *Escrow) Settle(r Reservation, used int64) int64 {
	used = min(max(used, 0), r.Tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account(r.Profile)
	a.Reserved -= r.Tokens
	a.Spent += used
	return used
}

// Lend debits up to tokens for a loan and returns how much; the debit stands before the
// loan is sent, so a lost message strands tokens and never doubles them.
func (e *Escrow) Lend(profile string, tokens int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account(profile)
	if e.closed {
		return 0
	}
	lent := min(tokens, a.Lendable())
	if e.witnessed {
		lent = min(lent, a.Mark-a.Use())
	}
	lent = max(lent, 0)
	a.Out += lent
	return lent
}

// Borrow credits a loan.
func (e *Escrow) Borrow(profile string, tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account(profile).In += tokens
}

// Return debits up to tokens that go back to the budget; the next report carries it.
func (e *Escrow) Return(profile string, tokens int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account(profile)
	if e.closed {
		return 0
	}
	back := max(0, min(tokens, a.Lendable()))
	a.Returned += back
	return back
}

// Close ends all reserving; settlements go on.
func (e *Escrow) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
}

// Freeze binds and stops marks, and returns them, for naming new witnesses. A VM that had
// no witnesses until now declares all that it holds: it may have reserved any of it.
func (e *Escrow) Freeze() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	marks := map[string]int64{}
	for p, a := range e.accounts {
		if !e.witnessed {
			a.Mark = max(a.Mark, a.Granted+a.In-a.Returned)
		}
		marks[p] = a.Mark
	}
	e.frozen = true
	e.witnessed = true
	e.epoch++
	return marks
}

// Thaw lets marks rise again; with witnessed false they no longer bind.
func (e *Escrow) Thaw(witnessed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = false
	e.witnessed = witnessed
}

// Epoch returns the number of the present set of witnesses.
func (e *Escrow) Epoch() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch
}

// Open raises a mark that a witness of an epoch has acknowledged.
func (e *Escrow) Open(epoch int, profile string, mark int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen || epoch != e.epoch {
		return
	}
	a := e.account(profile)
	a.Mark = max(a.Mark, mark)
}

// Witnessed tells whether marks bind.
func (e *Escrow) Witnessed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.witnessed
}

// Abandon books all that is reserved as spent, for a holder that stops without waiting.
func (e *Escrow) Abandon() {
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

// Decay halves the demand of every account, so that claims follow recent requests.
func (e *Escrow) Decay() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.accounts {
		a.Demand /= 2
	}
}

// Profiles returns the names of all accounts in order.
func (e *Escrow) Profiles() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.accounts))
}

// Idle tells whether no reservation is under way.
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
