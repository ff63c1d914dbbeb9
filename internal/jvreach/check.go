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
// then accepts a connection of another router, and after that still none of this one. A connection that is accepted
// shows nothing either if no target answers on it: something on the way may have accepted it.
func (m *Monitor) check(suspects []string) {
	sample := m.checkSample(suspects)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	contacts := make(chan result, 1)
	go func() { contacts <- m.askContacts(ctx) }()
	here := m.connectEach(sample, cancel)
	missing := without(sample, here.accepted)
	others := newResult()
	switch {
	case len(sample) > 0 && len(here.answered) == 0:
		others = m.askAboutCut(sample, contacts)
	case len(missing) > 0:
		others = m.ask(missing)
	}
	targets := m.options.Targets()
	again := among(targets, others.reached)
	again = append(again, among(without(targets, others.reached), others.responded)...)
	if len(here.accepted) == 0 && others.answers == 0 {
		again = m.sampleOf(without(targets, namesOf(sample)), sampleAll)
	}
	here.add(m.connect(again))
	if len(here.answered) == 0 && len(others.reached) == 0 { // All of the sample may be down.
		others = others.with(m.askRouters(others.routers, among(targets, others.responded)))
		here.add(m.connect(among(targets, others.reached)))
	}
	m.conclude(sample, here, others, len(here.answered) == 0 && len(here.accepted) > 0 && m.answerOthers(targets, others))
}

// answerOthers reports whether targets answer other routers, and not only now and then: most of those that accepted their
// connections have answered, and most of these do so again.
func (m *Monitor) answerOthers(targets []Target, others result) bool {
	if !others.mostAnswered() {
		return false
	}
	again := m.askRouters(others.sound[:min(len(others.sound), askedRouters)], among(targets, others.answered))
	return 2*len(again.answered) > len(others.answered)
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

// contacts are the names of the targets that accepted a connection, and of those of them that sent bytes.
type contacts struct {
	accepted map[string]bool
	answered map[string]bool
}

// add adds others.
func (c contacts) add(others contacts) {
	maps.Copy(c.accepted, others.accepted)
	maps.Copy(c.answered, others.answered)
}

// connect returns the targets that accept a connection from here.
func (m *Monitor) connect(targets []Target) contacts { return m.connectEach(targets, func() {}) }

// connectEach is connect; answered is called for each target that sends bytes.
func (m *Monitor) connectEach(targets []Target, answered func()) contacts {
	var mu sync.Mutex
	c := contacts{accepted: map[string]bool{}, answered: map[string]bool{}}
	var connecting sync.WaitGroup
	for _, t := range targets {
		connecting.Go(func() {
			ctx, cancel := m.options.Timer.WithTimeout(context.Background(), connectTimeout)
			defer cancel()
			accepts, answers := m.exchange(ctx, t)
			if answers {
				answered()
				m.recordAnswer(t.Name)
			}
			mu.Lock()
			defer mu.Unlock()
			if accepts {
				c.accepted[t.Name] = true
			}
			if answers {
				c.answered[t.Name] = true
			}
		})
	}
	connecting.Wait()
	return c
}

// exchange reports whether a target accepts a connection, and whether it sends bytes.
func (m *Monitor) exchange(ctx context.Context, t Target) (accepted, answered bool) {
	if m.options.Exchange != nil {
		return m.options.Exchange(ctx, t)
	}
	accepted = m.options.Connect(ctx, t)
	return accepted, accepted
}

// conclude updates what is unreachable after a check.
func (m *Monitor) conclude(sample []Target, here contacts, others result, mute bool) {
	m.mu.Lock()
	now := m.options.Timer.Now()
	m.checking = false
	before := len(m.unreachable)
	mute = m.findMute(here, mute, now)
	for name := range others.reached {
		if !here.accepted[name] || mute && others.answered[name] {
			m.unreachable[name] = true
		}
	}
	if len(here.answered) > 0 {
		for name := range here.accepted {
			delete(m.failures, name)
		}
	}
	m.keepUntried(sample, now)
	// Without an answer only this router's own link can be at fault, if it reaches the store and no target at all.
	alone := others.answers == 0 && len(sample) >= minFailures && m.options.StoreReachable()
	refused := len(sample) > 0 && len(here.accepted) == 0 && (len(others.reached) > 0 || alone)
	cut := refused || mute
	found := cut || len(m.unreachable) > before
	switch {
	case found:
	case m.muteSince.IsZero():
		m.checkedAt = now
	default:
		m.checkedAt = now.Add(mutePause - checkPause)
	}
	if cut {
		m.cut, m.mute = true, mute
		m.servedAt = now
	}
	unreachable := slices.Sorted(maps.Keys(m.unreachable))
	m.mu.Unlock()
	if !found {
		return
	}
	m.options.Logger.Info("targets unreachable from here", "cut", cut, "mute", mute, "targets", unreachable, "sample", len(sample), "routers", others.answers, "reached", len(others.reached))
	m.askStates()
	m.options.Changed(nil)
}

// findMute reports whether all targets are mute: none has answered a check here or responded to an attempt for muteTime,
// while in muteChecks checks, of which the latest is one, targets answered other routers. It records these checks; m.mu
// must be held.
func (m *Monitor) findMute(here contacts, mute bool, now time.Time) bool {
	if len(here.answered) > 0 || m.respondedAt.After(m.muteSince) {
		m.muteSince, m.muteChecks = time.Time{}, 0
	}
	if !mute || !m.respondedAt.Before(m.beganAt) {
		return false
	}
	if m.muteChecks == 0 {
		m.muteSince = m.beganAt
	}
	m.muteChecks++
	return m.muteChecks >= muteChecks && now.Sub(m.muteSince) >= muteTime
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
