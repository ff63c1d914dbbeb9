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

// Registry holds the targets in service. An entry that is missing just after the log was away
// may have lapsed meanwhile, so it is kept for a while.
type Registry struct {
	timer    *jvtimer.Service
	logger   logr.Logger
	targets  *jvtarget.Table
	settling time.Duration

	mu      sync.Mutex
	entries map[string]Entry
	// missing are entries to be dropped at a time unless they come back.
	missing map[string]time.Time
	// displaced are targets at whose address another one answered; they are not used until their
	// entries are written anew.
	displaced map[string]bool
	// settled is when the list can be trusted again.
	settled time.Time
	loaded  bool
}

func newRegistry(o Options, targets *jvtarget.Table) *Registry {
	return &Registry{
		timer:     o.Timer,
		logger:    o.Logger,
		targets:   targets,
		settling:  o.ReconnectGrace,
		entries:   map[string]Entry{},
		missing:   map[string]time.Time{},
		displaced: map[string]bool{},
	}
}

// LogReconnected notes that the log answers again.
func (g *Registry) LogReconnected() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settled = g.timer.Now().Add(g.settling)
}

// Update takes over changed entries; nil drops one. With whole set, entries that are not named
// are dropped.
func (g *Registry) Update(changes map[string]*Entry, whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, e := range changes {
		if e == nil {
			g.drop(id, "entry removed")
			continue
		}
		delete(g.missing, id)
		delete(g.displaced, id)
		if old, ok := g.entries[id]; !ok || old != *e {
			g.logger.Info("target", "target", id, "pool", e.Pool, "address", e.Target.Address, "leaving", e.Leaving, "new", !ok)
		}
		g.entries[id] = *e
	}
	if whole {
		for id := range g.entries {
			if changes[id] == nil {
				g.drop(id, "entry not listed")
			}
		}
	}
	g.loaded = true
	g.publish()
}

// drop removes an entry, or while the list is not settled marks it; g.mu must be held.
func (g *Registry) drop(id, why string) {
	if _, ok := g.entries[id]; !ok {
		return
	}
	if _, marked := g.missing[id]; marked {
		return
	}
	if g.timer.Now().Before(g.settled) {
		g.missing[id] = g.settled
		g.logger.Info("target missing", "target", id, "why", why, "kept", g.settling.String())
		return
	}
	delete(g.entries, id)
	delete(g.displaced, id)
	g.logger.Info("target gone", "target", id, "why", why)
}

// displace notes that another target answered at a target's address: this one has ended, which
// its entry may not tell for long while the log is away.
func (g *Registry) displace(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.entries[id]; !ok || g.displaced[id] {
		return
	}
	g.displaced[id] = true
	g.logger.Info("target displaced", "target", id, "address", g.entries[id].Target.Address)
	g.publish()
}

// sweep drops the entries that did not come back in time.
func (g *Registry) sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, dropped := g.timer.Now(), false
	for id, due := range g.missing {
		if now.Before(due) {
			continue
		}
		delete(g.missing, id)
		delete(g.entries, id)
		dropped = true
		g.logger.Info("target gone", "target", id, "why", "entry did not come back")
	}
	if dropped {
		g.publish()
	}
}

// publish hands the targets to the choice; g.mu must be held.
func (g *Registry) publish() {
	pools := map[string][]jvconfig.Target{}
	for id, e := range g.entries {
		if g.displaced[id] {
			continue
		}
		pools[e.Pool] = append(pools[e.Pool], e.Target)
	}
	entries := maps.Clone(g.entries)
	g.targets.SetPools(pools, func(name string) bool { return entries[name].Leaving })
}

// Loaded tells whether the list has been read.
func (g *Registry) Loaded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loaded
}

// Entries returns a copy of all entries.
func (g *Registry) Entries() map[string]Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.entries)
}
