package jvrelay

import (
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Registry holds the entries of the targets in service. Once the log is reachable again after an
// outage, it keeps missing entries for a grace period, since they may have lapsed meanwhile.
type Registry struct {
	timer          *jvtimer.Service
	logger         logr.Logger
	targets        *jvtarget.Table
	crashes        *crashDetector
	limits         Limits
	versions       Versions
	targetsCurrent func() bool
	reconnectGrace time.Duration
	removedGrace   time.Duration

	mu      sync.Mutex
	entries map[string]Entry
	// missing is the time at which each entry that was removed in the grace period is dropped, unless
	// it is written again before.
	missing map[string]time.Time
	// written are the newest records that are known, by target; gone those of removed targets, with the time of
	// the removal. The log may come back from a copy with earlier ones.
	written map[string]written
	gone    map[string]removal
	// displaced are targets at whose address another instance responded; they are not used until
	// their entries are written again.
	displaced map[string]bool
	// unverified are the targets whose process has ended by what connections show, with the time since which
	// no change of their entry could have been missed. Their version is not known: they may have started
	// again with another one.
	unverified map[string]time.Time
	// graceEnd is when the current grace period ends.
	graceEnd time.Time
	loaded   bool
	// coldRate returns the number of requests a second that a cold target of a pool takes, or 0 if it takes as many as a
	// warm one.
	coldRate func(pool string) float64
	// coldUntil is until when targets are cold.
	coldUntil map[string]time.Time
}

// removal is the last record of a removed target, and the time of the removal.
type removal struct {
	written

	at time.Time
}

// goneTime is how long a removed target's last record is known. A copy from which a log comes back is some seconds old.
const goneTime = time.Minute

func newRegistry(o Options, targets *jvtarget.Table, crashes *crashDetector, coldRate func(string) float64) *Registry {
	return &Registry{
		timer:          o.Timer,
		logger:         o.Logger,
		targets:        targets,
		crashes:        crashes,
		limits:         o.Limits,
		versions:       o.Versions,
		targetsCurrent: o.TargetsCurrent,
		reconnectGrace: o.ReconnectGrace,
		removedGrace:   o.RemovedGrace,
		entries:        map[string]Entry{},
		missing:        map[string]time.Time{},
		written:        map[string]written{},
		gone:           map[string]removal{},
		displaced:      map[string]bool{},
		unverified:     map[string]time.Time{},
		coldRate:       coldRate,
		coldUntil:      map[string]time.Time{},
	}
}

// OnReconnect starts the grace period once the log is reachable again.
func (g *Registry) OnReconnect() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.graceEnd = g.timer.Now().Add(g.reconnectGrace)
}

// Update applies changed entries; nil removes one. If complete is true, it also removes all
// entries that are not in changes.
func (g *Registry) Update(changes map[string]*Entry, complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.update(changes, complete)
}

// Renew applies all entries of a log that came back from an earlier copy of itself. Targets that it lacks may be written
// again, and are kept for the grace period.
func (g *Registry) Renew(entries map[string]*Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.graceEnd = g.timer.Now().Add(g.reconnectGrace)
	g.update(entries, true)
}

// update is Update; g.mu must be held.
func (g *Registry) update(changes map[string]*Entry, complete bool) {
	for id, e := range changes {
		if e == nil {
			g.remove(id, "entry removed", g.removedGrace)
			continue
		}
		if g.isOutdated(id, *e) {
			continue
		}
		delete(g.gone, id)
		g.updateCold(id, *e)
		g.written[id] = written{startedAtMillis: e.StartedAtMillis, sequence: e.Sequence}
		delete(g.missing, id)
		delete(g.displaced, id)
		g.crashes.entrySeen(*e)
		old, ok := g.entries[id]
		old.Sequence, old.ColdFor = e.Sequence, e.ColdFor // They change with each heartbeat.
		if !complete || old != *e {                       // A listing also has entries that were written before the process ended.
			delete(g.unverified, id)
		}
		if !ok || old != *e {
			g.logger.Info("target", "target", id, "pool", e.Pool, "address", e.Target.Address, "leaving", e.Leaving, "new", !ok, "born", e.StartedAtMillis, "build", e.Target.Version)
		}
		g.entries[id] = *e
	}
	if complete {
		for id := range g.entries {
			if changes[id] == nil {
				g.remove(id, "entry not listed", 0)
			}
		}
	}
	g.loaded = true
	g.updateTargets()
}

// isOutdated reports whether an entry was written before what is known of the target: it is of a target that has left
// since, or is leaving. An entry that is removed, or missing, comes back only by a later record; g.mu must be held.
func (g *Registry) isOutdated(id string, e Entry) bool {
	if r, ok := g.gone[id]; ok {
		return e.olderThan(r.written)
	}
	w, known := g.written[id]
	_, missing := g.missing[id]
	return known && e.olderThan(w) && (e.Sequence < w.sequence || missing)
}

// remove removes an entry, or marks it as missing during the grace period, for a limited time unless that is 0; g.mu must be
// held.
func (g *Registry) remove(id, reason string, limit time.Duration) {
	if _, ok := g.entries[id]; !ok {
		return
	}
	if now := g.timer.Now(); now.Before(g.graceEnd) {
		due := g.graceEnd
		if end := now.Add(limit); limit > 0 && end.Before(due) {
			due = end
		}
		if marked, ok := g.missing[id]; ok && !due.Before(marked) {
			return
		}
		g.missing[id] = due
		g.logger.Info("target missing", "target", id, "why", reason, "kept", due.Sub(now).String())
		return
	}
	g.drop(id, reason)
}

// drop removes an entry; g.mu must be held.
func (g *Registry) drop(id, reason string) {
	if !g.entries[id].Leaving && !g.targets.Leaves(id) {
		g.crashes.entryRemoved(id)
	}
	delete(g.entries, id)
	delete(g.missing, id)
	g.gone[id] = removal{written: g.written[id], at: g.timer.Now()}
	delete(g.written, id)
	delete(g.displaced, id)
	delete(g.unverified, id)
	g.warm(id)
	g.logger.Info("target gone", "target", id, "why", reason)
}

// markDisplaced records that another instance responded at a target's address. The target has
// ended, but its entry may stay for long while the log is unreachable.
func (g *Registry) markDisplaced(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.entries[id]; !ok || g.displaced[id] {
		return
	}
	g.displaced[id] = true
	g.crashes.targetReplaced(id)
	g.logger.Info("target displaced", "target", id, "address", g.entries[id].Target.Address)
	g.updateTargets()
}

// markEnded records that a target's process has ended. Its entry shows the version again once it is written by
// the next process, or has not lapsed for verifyTime.
func (g *Registry) markEnded(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, marked := g.unverified[id]
	if _, ok := g.entries[id]; !ok || marked {
		return
	}
	g.unverified[id] = g.timer.Now()
	g.logger.Info("target unverified", "target", id, "build", g.entries[id].Target.Version)
	g.updateTargets()
}

// forgetEnded ends the doubts about targets that began just before this router found out that its own link is at
// fault.
func (g *Registry) forgetEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.timer.Now()
	for id, since := range g.unverified {
		if now.Sub(since) < maxCutDetection {
			delete(g.unverified, id)
		}
	}
	g.updateTargets()
}

// maxCutDetection is the time in which a router finds out that its own link is at fault.
const maxCutDetection = time.Second

// verifyTime is the time after which a target whose entry has neither changed nor lapsed is still the same
// process. Entries lapse a few seconds after the last heartbeat.
const verifyTime = 6 * time.Second

// verify ends the doubt about targets whose entries did not change for long enough.
func (g *Registry) verify() {
	current := g.targetsCurrent()
	g.mu.Lock()
	defer g.mu.Unlock()
	now, changed := g.timer.Now(), false
	for id, since := range g.unverified {
		switch {
		case !current:
			g.unverified[id] = now
		case now.Sub(since) >= verifyTime:
			delete(g.unverified, id)
			changed = true
		}
	}
	if changed {
		g.updateTargets()
	}
}

// expireMissing removes the missing entries that were not written again in the grace period, and forgets the last records of
// targets that were removed long ago.
func (g *Registry) expireMissing() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, removed := g.timer.Now(), false
	maps.DeleteFunc(g.gone, func(_ string, r removal) bool { return now.Sub(r.at) >= goneTime })
	for id, due := range g.missing {
		if now.Before(due) {
			continue
		}
		g.drop(id, "entry not written again in time")
		removed = true
	}
	if removed {
		g.updateTargets()
	}
}

// updateTargets copies the targets to the table from which they are selected; g.mu must be held.
func (g *Registry) updateTargets() {
	pools := map[string][]jvconfig.Target{}
	started := map[string]int64{}
	versions := map[string][]string{}
	for id, e := range g.entries {
		started[id] = e.StartedAtMillis
		versions[e.Pool] = append(versions[e.Pool], e.Target.Version)
		if g.displaced[id] {
			continue
		}
		target := e.Target
		if _, ok := g.unverified[id]; ok {
			target.Version = ""
		}
		pools[e.Pool] = append(pools[e.Pool], target)
	}
	g.limits.Retain(started)
	g.targets.SetProcesses(processes(g.entries))
	g.versions.Observe(versions)
	entries := maps.Clone(g.entries)
	g.targets.SetPools(pools, func(name string) bool { return entries[name].Leaving })
}

// startedAt returns the start of a target's process by its entry, or 0 if it isn't known.
func (g *Registry) startedAt(id string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.entries[id].StartedAtMillis
}

// Loaded reports whether the list of targets has been read.
func (g *Registry) Loaded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loaded
}

// Entries returns a copy of all entries by target ID.
func (g *Registry) Entries() map[string]Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.entries)
}
