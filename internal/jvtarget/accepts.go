package jvtarget

// Accepts reports whether a target of the pool accepts a request now, without acquiring a slot.
func (t *Table) Accepts(q Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[q.Pool]
	return p != nil && !p.waiting.blocks(q) && t.weights.Select(p.candidates(t, q), q.Prefix, t.random) >= 0
}

// MayAccept reports whether a target of the pool accepts a request now, or probably will soon.
func (t *Table) MayAccept(q Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[q.Pool]
	return p != nil && p.worthWaiting(t, q)
}
