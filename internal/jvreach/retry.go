package jvreach

import (
	"maps"
	"slices"
)

// retryUnreachable connects to some unreachable targets. Those that accept are reachable again; if several do, all
// are.
func (m *Monitor) retryUnreachable() {
	targets := slices.DeleteFunc(m.options.Targets(), func(t Target) bool { return !m.Unreachable(t.Name) })
	sample := m.sampleOf(slices.Clone(targets), retryTargets)
	m.mu.Lock()
	if len(targets) == 0 { // Their entries are gone.
		m.cut = false
		clear(m.unreachable)
	}
	m.mu.Unlock()
	reached := m.connect(sample)
	m.mu.Lock()
	m.retrying = false
	if len(reached) == 0 {
		m.mu.Unlock()
		return
	}
	all := len(reached) > 1 || len(sample) == 1
	if all {
		m.cut = false
		clear(m.unreachable)
	} else if m.cut {
		m.cut = false
		for _, t := range targets {
			m.unreachable[t.Name] = true
		}
	}
	for name := range reached {
		delete(m.unreachable, name)
		delete(m.failures, name)
	}
	left := len(m.unreachable)
	m.mu.Unlock()
	m.askStates() // The others know then that this router uses targets again.
	m.options.Logger.Info("targets reachable again", "reached", slices.Sorted(maps.Keys(reached)), "unreachable", left)
	var recovered []string
	for _, t := range targets {
		if all || reached[t.Name] {
			recovered = append(recovered, t.Name)
		}
	}
	m.options.Changed(recovered)
}
