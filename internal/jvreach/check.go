package jvreach

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// check connects to a sample of targets, asks other routers about those that it can't reach, and draws the
// conclusions. A failed connection alone shows nothing: the target may be down. It is unreachable from here if it
// then accepts a connection of another router, and after that still none of this one.
func (m *Monitor) check(suspects []string) {
	sample := m.checkSample(suspects)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	contacts := make(chan result, 1)
	go func() { contacts <- m.askContacts(ctx) }()
	reached := m.connectEach(sample, cancel)
	missing := without(sample, reached)
	others := newResult()
	switch {
	case len(missing) > 0 && len(reached) == 0:
		others = m.askAboutCut(missing, contacts)
	case len(missing) > 0:
		others = m.ask(missing)
	}
	targets := m.options.Targets()
	again := among(targets, others.reached)
	again = append(again, among(without(targets, others.reached), others.responded)...)
	if len(reached) == 0 && others.answers == 0 {
		again = m.sampleOf(without(targets, namesOf(sample)), sampleAll)
	}
	maps.Copy(reached, m.connect(again))
	if len(reached) == 0 && len(others.reached) == 0 { // All of the sample may be down.
		others = others.with(m.askRouters(others.routers, among(targets, others.responded)))
		maps.Copy(reached, m.connect(among(targets, others.reached)))
	}
	m.conclude(sample, reached, others)
}

// checkSample returns the targets to which a check connects: suspects that are not known to be unreachable come first.
func (m *Monitor) checkSample(suspects []string) []Target {
	targets := m.options.Targets()
	names := map[string]bool{}
	for _, name := range suspects {
		names[name] = true
	}
	m.mu.Lock()
	unknown := m.unknownFailures()
	m.mu.Unlock()
	sample := m.sampleOf(among(among(targets, names), unknown), sampleSuspects)
	sample = append(sample, m.sampleOf(without(among(targets, names), unknown), sampleSuspects-len(sample))...)
	return append(sample, m.sampleRecent(without(targets, namesOf(sample)))...)
}

// sampleRecent returns sampleRecent random ones of some targets that have answered lately, and sampleOthers
// others.
func (m *Monitor) sampleRecent(targets []Target) []Target {
	names := map[string]bool{}
	for _, name := range m.answered(answerAge, len(targets)) {
		names[name] = true
	}
	sample := m.sampleOf(among(targets, names), sampleRecent)
	return append(sample, m.sampleOf(without(targets, namesOf(sample)), sampleOthers)...)
}

// among returns the targets that are among some names.
func among(targets []Target, names map[string]bool) []Target {
	return slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return !names[t.Name] })
}

// without returns the targets that are not among some names.
func without(targets []Target, names map[string]bool) []Target {
	return slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return names[t.Name] })
}

func namesOf(targets []Target) map[string]bool {
	names := map[string]bool{}
	for _, t := range targets {
		names[t.Name] = true
	}
	return names
}

// askAboutCut asks other routers after no target could be reached. The first ones that are asked may be cut off as
// well, so all are asked whether targets have responded meanwhile, and then some to which targets have: contacts gets
// the answers.
func (m *Monitor) askAboutCut(missing []Target, contacts <-chan result) result {
	asked := make(chan result, 1)
	go func() { asked <- m.ask(missing) }()
	var first result
	select {
	case first = <-asked:
		if len(first.reached) > 0 {
			return first
		}
		first = first.with(<-contacts)
	case first = <-contacts:
		if len(first.routers) == 0 {
			first = first.with(<-asked)
		}
	}
	if len(first.reached) > 0 {
		return first
	}
	return first.with(m.askRouters(first.routers, missing))
}

// connect returns the targets that accept a connection from here.
func (m *Monitor) connect(targets []Target) map[string]bool { return m.connectEach(targets, func() {}) }

// connectEach is connect; accepted is called for each target that accepts.
func (m *Monitor) connectEach(targets []Target, accepted func()) map[string]bool {
	var mu sync.Mutex
	reached := map[string]bool{}
	var connecting sync.WaitGroup
	for _, t := range targets {
		connecting.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
			defer cancel()
			if m.options.Connect(ctx, t) {
				accepted()
				m.recordAnswer(t.Name)
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
	for name := range others.reached {
		if !reached[name] {
			m.unreachable[name] = true
		}
	}
	for name := range reached {
		delete(m.failures, name)
	}
	m.keepUntried(sample, now)
	// Without an answer only this router's own link can be at fault, if it reaches the store and no target at all.
	alone := others.answers == 0 && len(sample) >= minFailures && m.options.StoreReachable()
	cut := len(sample) > 0 && len(reached) == 0 && (len(others.reached) > 0 || alone)
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

// keepUntried makes failures during a check, of targets that it did not try, count from its end, so that they are not
// forgotten in the pause before the next one; m.mu must be held.
func (m *Monitor) keepUntried(sample []Target, now time.Time) {
	tried := namesOf(sample)
	for name, at := range m.failures {
		if !tried[name] && !at.Before(m.beganAt) {
			m.failures[name] = now
		}
	}
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
