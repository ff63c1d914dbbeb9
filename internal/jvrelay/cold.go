package jvrelay

import "time"

// unknownCold is the cold time of an entry or a response that says nothing of it.
const unknownCold time.Duration = -1

// coldRate returns the number of requests a second that a cold target of a pool takes by the configuration in force, or 0
// if it has no such bound.
func (r *Relay) coldRate(pool string) float64 {
	t := r.table.Load()
	if t == nil {
		return 0
	}
	p, _ := t.Pool(pool)
	return p.ColdRate
}

// updateCold applies how long a target stays cold by its entry; g.mu must be held. A record that was read before says
// nothing new: its time has partly passed.
func (g *Registry) updateCold(id string, e Entry) {
	w, known := g.written[id]
	if known && e.Sequence != 0 && e.StartedAtMillis == w.startedAtMillis && e.Sequence == w.sequence {
		return
	}
	if known && e.StartedAtMillis != w.startedAtMillis {
		g.warm(id)
	}
	g.setCold(id, e.StartedAtMillis, e.Pool, e.ColdFor)
}

// setCold applies how long a process of a target stays cold from now on; g.mu must be held.
func (g *Registry) setCold(id string, startedAtMillis int64, pool string, d time.Duration) {
	switch d {
	case unknownCold:
		return
	case 0:
		g.warm(id)
		return
	}
	now := g.timer.Now()
	if !now.Before(g.coldUntil[id]) {
		g.logger.Info("target is cold", "target", id, "pool", pool, "ms", d.Milliseconds(), "rate", g.coldRate(pool), "born", startedAtMillis)
	}
	g.coldUntil[id] = now.Add(d)
	g.limits.SetCold(id, g.coldRate(pool), g.coldUntil[id])
}

// warm ends the time in which a target is cold; g.mu must be held.
func (g *Registry) warm(id string) {
	if _, ok := g.coldUntil[id]; !ok {
		return
	}
	delete(g.coldUntil, id)
	g.limits.SetCold(id, 0, time.Time{})
	g.logger.Info("target is warm", "target", id)
}

// expireCold ends the cold times that have passed.
func (g *Registry) expireCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.timer.Now()
	for id, until := range g.coldUntil {
		if !now.Before(until) {
			g.warm(id)
		}
	}
}

// ratesChanged applies the rates of cold targets in a new configuration.
func (g *Registry) ratesChanged() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, until := range g.coldUntil {
		g.limits.SetCold(id, g.coldRate(g.entries[id].Pool), until)
	}
}

// hearCold applies the cold time in a response of a target's process.
func (g *Registry) hearCold(id string, startedAtMillis int64, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.entries[id]; ok && e.StartedAtMillis == startedAtMillis {
		g.setCold(id, startedAtMillis, e.Pool, d)
	}
}

// hasTargets reports whether a target of an availability zone is known.
func (g *Registry) hasTargets(zone string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.entries {
		if e.Target.Zone == zone {
			return true
		}
	}
	return false
}
