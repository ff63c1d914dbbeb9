package jvretry

import "sync"

// Budget allows retries as a share of first attempts. It is safe for concurrent use; its
// lock is a leaf.
type Budget struct {
	// Share is the number of retries that one first attempt earns, Most the number saved up.
	share float64
	most  float64

	mu    sync.Mutex
	saved float64
}

// NewBudget returns a full budget.
func NewBudget(share, most float64) *Budget {
	return &Budget{share: share, most: most, saved: most}
}

// Earn notes a first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.most, b.saved+b.share)
}

// Spend takes one retry out of the budget, or returns false where none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Saved returns the number of retries left.
func (b *Budget) Saved() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.saved
}
