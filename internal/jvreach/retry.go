package jvreach

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// retryUnreachable connects to some unreachable targets. Those that accept are reachable again; if several that had
// answered others do, all are.
func (m *Monitor) retryUnreachable() {
	targets := slices.DeleteFunc(m.options.Targets(), func(t Target) bool { return !m.Unreachable(t.Name) })
	if len(targets) == 0 { // Their entries are gone.
		m.mu.Lock()
		m.cut, m.mute, m.retrying = false, false, false
		clear(m.unreachable)
		m.mu.Unlock()
		return
	}
	sample := m.retrySample(targets)
	here := m.connect(sample)
	m.mu.Lock()
	reached := here.accepted
	if m.mute {
		reached = here.answered
	}
	m.mu.Unlock()
	if len(reached) == 0 {
		m.dropDown(sample)
		m.mu.Lock()
		m.retrying = false
		m.mu.Unlock()
		return
	}
	m.mu.Lock()
	m.retrying = false
	m.cut, m.mute, m.muteSince, m.muteChecks = false, false, time.Time{}, 0
	if tried, back := len(among(sample, m.unreachable)), len(among(among(sample, m.unreachable), reached)); back > 1 || back == tried {
		clear(m.unreachable)
	}
	for name := range reached {
		delete(m.unreachable, name)
		delete(m.failures, name)
	}
	var recovered []string
	for _, t := range targets {
		if !m.unreachable[t.Name] {
			recovered = append(recovered, t.Name)
		}
	}
	left := len(m.unreachable)
	m.mu.Unlock()
	m.askStates() // The others know then that this router uses targets again.
	m.options.Logger.Info("targets reachable again", "reached", slices.Sorted(maps.Keys(reached)), "unreachable", left)
	m.options.Changed(recovered)
}

// retrySample returns the unreachable targets to try: such that answer other routers, and in a cut some of the others
// by turns.
func (m *Monitor) retrySample(targets []Target) []Target {
	m.mu.Lock()
	answering, rest := among(targets, m.unreachable), without(targets, m.unreachable)
	m.mu.Unlock()
	sample := m.sampleOf(answering, retryTargets)
	n := retryTargets
	if len(sample) == 0 {
		n = retryAny
	}
	slices.SortFunc(rest, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	for range min(n, len(rest)) {
		m.turn++
		sample = append(sample, rest[m.turn%len(rest)])
	}
	return sample
}

// dropDown asks other routers, each downInterval, whether they still reach some unreachable targets: otherwise these
// are down, and not unreachable from here.
func (m *Monitor) dropDown(targets []Target) {
	m.mu.Lock()
	now := m.options.Timer.Now()
	due := now.Sub(m.downAskedAt) >= downInterval
	if due {
		m.downAskedAt = now
	}
	before := len(m.unreachable)
	m.mu.Unlock()
	if !due || before == 0 {
		return
	}
	others := m.ask(targets)
	if others.answers == 0 {
		return
	}
	m.mu.Lock()
	for _, t := range targets {
		if !others.reached[t.Name] && !others.mute[t.Name] {
			delete(m.unreachable, t.Name)
		}
	}
	m.cut = m.cut && len(m.unreachable) > 0 // A check finds out whether the link is still cut.
	m.mute = m.mute && m.cut
	dropped := before - len(m.unreachable)
	m.mu.Unlock()
	if dropped > 0 {
		m.options.Changed([]string{})
	}
}
