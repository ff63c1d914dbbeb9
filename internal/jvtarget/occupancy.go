package jvtarget

// Occupancy returns the number of requests that wait for a slot of a pool, and the busy slots and all slots of its targets
// that take requests.
func (t *Table) Occupancy(poolName string) (waiting int, busy, slots int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[poolName]
	if p == nil {
		return 0, 0, 0
	}
	now := t.timer.Now()
	maxAge := p.maxReportAge(t.weights.MaxReportAge)
	for name, g := range p.targets {
		if t.isLeaving(g) || t.isEvacuated(g) || t.unreachable(name) || !g.health.usable(now) {
			continue
		}
		busy += g.traffic.estimate(g.load, maxAge, now)
		slots += g.config.Slots
	}
	return len(p.waiting), busy, slots
}
