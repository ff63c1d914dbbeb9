package jvtarget

import (
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
)

const (
	// minProbePause and maxProbePause bound the time between two probes of a target that refuses connections. It
	// doubles with each probe, and keeps a target that is back from waiting longer than a second.
	minProbePause = 100 * time.Millisecond
	maxProbePause = 800 * time.Millisecond
	// waitableRefusal is how long after a target's first refusal requests wait for it: servers that start again
	// take that long.
	waitableRefusal = 1500 * time.Millisecond
	// answeredAge is how long a response counts as a sign that a target answers.
	answeredAge = 10 * time.Second
)

// refusal is the state of a target that refuses connections. It gets no requests until a probe succeeds.
type refusal struct {
	since   time.Time
	probeAt time.Time
	probes  int
}

// RecordRefused records that a target has refused a connection: nothing listens at its address.
func (t *Table) RecordRefused(poolName, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[poolName]
	if p == nil || p.targets[name] == nil || p.targets[name].health.refusal != nil {
		return
	}
	now := t.timer.Now()
	p.targets[name].health.refusal = &refusal{since: now, probeAt: now.Add(minProbePause)}
}

// TakeProbes returns up to n refusing targets whose probe is due. RecordAccepted must be called for those that accept
// a connection.
func (t *Table) TakeProbes(n int) []jvconfig.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	var due []jvconfig.Target
	for _, p := range t.pools {
		for name, g := range p.targets {
			r := g.health.refusal
			if r == nil || now.Before(r.probeAt) || len(due) >= n || t.unreachable(name) {
				continue
			}
			r.probes++
			r.probeAt = now.Add(min(minProbePause<<min(r.probes, 8), maxProbePause))
			due = append(due, g.config)
		}
	}
	return due
}

// RecordAccepted records that a refusing target has accepted a connection.
func (t *Table) RecordAccepted(accepted jvconfig.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		if g := p.targets[accepted.Name]; g != nil && g.health.refusal != nil && g.config.Address == accepted.Address {
			g.health = health{}
			p.wake(t)
		}
	}
}

// preferAnswered returns the candidates with a free slot that have answered lately, or all if there are none.
func preferAnswered(list []Candidate) []Candidate {
	var answered []Candidate
	for _, c := range list {
		if c.Answered && c.Busy < c.Slots {
			answered = append(answered, c)
		}
	}
	if len(answered) == 0 {
		return list
	}
	return answered
}
