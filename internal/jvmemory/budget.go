package jvmemory

import "sync/atomic"

// Budget limits the bytes that all buffers of a process hold together. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Acquire takes n bytes, or returns false if fewer are left.
func (b *Budget) Acquire(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release returns n bytes.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }
