package jvretry

import "sync"

// Budget is a token bucket that allows retries as a share of first attempts. It is safe for
// concurrent use; no other lock is acquired while its lock is held.
type Budget struct {
	// share is the number of retries that one first attempt adds.
	share float64

	mu sync.Mutex
	// maxSaved is the limit of saved.
	maxSaved float64
	saved    float64
}

// NewBudget returns a full budget.
func NewBudget(share, maxSaved float64) *Budget { return NewBudgetWith(share, maxSaved, maxSaved) }

// NewBudgetWith returns a budget with saved retries.
func NewBudgetWith(share, maxSaved, saved float64) *Budget {
	return &Budget{share: share, maxSaved: maxSaved, saved: min(saved, maxSaved)}
}

// SetMaxSaved changes the limit of saved retries.
func (b *Budget) SetMaxSaved(maxSaved float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxSaved = maxSaved
	b.saved = min(b.saved, maxSaved)
}

// Earn adds the retries that a first attempt earns.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.maxSaved, b.saved+b.share)
}

// Spend takes one retry out of the budget, or returns false if less than one is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// SpendWithReturn takes a retry, and another one for the return of a request that is refused there, or returns false if less
// is left. A budget that never has two takes one: returns is false then.
func (b *Budget) SpendWithReturn() (ok, returns bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cost := 2.0
	if b.maxSaved < cost {
		cost = 1
	}
	if b.saved < cost {
		return false, false
	}
	b.saved -= cost
	return true, cost > 1
}

// Refund puts back a retry that was not used.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.maxSaved, b.saved+1)
}

// Saved returns the number of retries left.
func (b *Budget) Saved() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.saved
}

// SpendSpare takes a retry that is not needed soon, or returns false. One retry is left for a failure, unless the budget never
// has two: then it must be full.
func (b *Budget) SpendSpare() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < max(1, min(2, b.maxSaved)) {
		return false
	}
	b.saved--
	return true
}
