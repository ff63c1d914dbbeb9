package jvtarget

// SetEvacuated replaces the availability zones whose targets get no requests. Attempts that are in progress there end as
// usual; requests that wait for a target there only are refused.
func (t *Table) SetEvacuated(zones []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = map[string]bool{}
	for _, zone := range zones {
		t.evacuated[zone] = true
	}
	for _, p := range t.pools {
		p.wake(t)
	}
}

// isEvacuated reports whether a target gets no requests because its availability zone is evacuated; t.mu must be held.
func (t *Table) isEvacuated(g *target) bool { return t.evacuated[g.config.Zone] }
