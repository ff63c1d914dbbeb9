package jvtarget

import "time"

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

// Awaited returns, for each target of a pool, whether an attempt of this router has been in progress there for a time at least.
func (t *Table) Awaited(poolName string, d time.Duration) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	awaited := map[string]bool{}
	if p := t.pools[poolName]; p != nil {
		before := t.timer.Now().Add(-d)
		for name, g := range p.targets {
			awaited[name] = g.traffic.inProgress(before)
		}
	}
	return awaited
}
