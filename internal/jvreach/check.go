package jvreach

import (
	"context"
	"maps"
	"slices"
	"sync"
)

// check connects to a sample of targets, lets other routers try those that it can't reach, and draws the
// conclusions.
func (m *Monitor) check(suspects []string) {
	targets := m.options.Targets()
	isSuspect := func(t Target) bool { return slices.Contains(suspects, t.Name) }
	suspected := slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return !isSuspect(t) })
	sample := m.sampleOf(suspected, sampleSuspects)
	sample = append(sample, m.sampleOf(slices.DeleteFunc(targets, isSuspect), sampleOthers)...)
	reached := m.connect(sample)
	missing := slices.DeleteFunc(slices.Clone(sample), func(t Target) bool { return reached[t.Name] })
	others := result{reached: map[string]bool{}}
	switch {
	case len(missing) > 0 && len(reached) == 0:
		others = m.askAboutCut(missing)
	case len(missing) > 0:
		others = m.ask(missing)
	}
	m.conclude(sample, reached, others)
}

// askAboutCut asks other routers after no target could be reached. Most of them may be cut off as well, so all are
// asked whether they have had responses meanwhile.
func (m *Monitor) askAboutCut(missing []Target) result {
	results := make(chan result, 2)
	go func() { results <- m.ask(missing) }()
	go func() { results <- m.askContacts() }()
	all := <-results
	if all.contact || len(all.reached) > 0 {
		return all
	}
	second := <-results
	return result{answers: all.answers + second.answers, reached: second.reached, contact: second.contact}
}

// connect returns the targets that accept a connection from here.
func (m *Monitor) connect(targets []Target) map[string]bool {
	var mu sync.Mutex
	reached := map[string]bool{}
	var connecting sync.WaitGroup
	for _, t := range targets {
		connecting.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
			defer cancel()
			if m.options.Connect(ctx, t) {
				mu.Lock()
				defer mu.Unlock()
				reached[t.Name] = true
			}
		})
	}
	connecting.Wait()
	return reached
}

// conclude updates what is unreachable after a check.
func (m *Monitor) conclude(sample []Target, reached map[string]bool, others result) {
	m.mu.Lock()
	now := m.options.Timer.Now()
	m.checking = false
	before := len(m.unreachable)
	for _, t := range sample {
		if reached[t.Name] {
			delete(m.failures, t.Name)
		} else if others.reached[t.Name] {
			m.unreachable[t.Name] = true
		}
	}
	// Without an answer only this router's own link can be at fault, if it reaches the store and no target at all.
	alone := others.answers == 0 && len(sample) >= minFailures && m.options.StoreReachable()
	cut := len(sample) > 0 && len(reached) == 0 && (others.contact || len(others.reached) > 0 || alone)
	found := cut || len(m.unreachable) > before
	if !found {
		m.checkedAt = now
	}
	if cut {
		m.cut = true
		m.servedAt = now
	}
	unreachable := slices.Sorted(maps.Keys(m.unreachable))
	m.mu.Unlock()
	if !found {
		return
	}
	m.options.Logger.Info("targets unreachable from here", "cut", cut, "targets", unreachable, "sample", len(sample), "routers", others.answers, "reached", len(others.reached))
	m.askStates()
	m.options.Changed(nil)
}

// sampleOf returns n random ones of some targets, whose order it changes.
func (m *Monitor) sampleOf(targets []Target, n int) []Target {
	sample := make([]Target, 0, n)
	for len(targets) > 0 && len(sample) < n {
		i := min(int(m.options.Random()*float64(len(targets))), len(targets)-1)
		sample = append(sample, targets[i])
		targets = slices.Delete(targets, i, i+1)
	}
	return sample
}
