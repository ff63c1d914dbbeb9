package jvtrace

import (
	"sync"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Ring holds the last decisions. It is safe for concurrent use, and no other lock is acquired while
// its lock is held.
type Ring struct {
	timer *jvtimer.Service

	mu        sync.Mutex
	decisions []Decision
	next      int
}

// NewRing returns a ring of size decisions.
func NewRing(size int, timer *jvtimer.Service) *Ring {
	return &Ring{timer: timer, decisions: make([]Decision, 0, size)}
}

// Add adds a decision with the current time and drops the oldest one when the ring is full.
func (r *Ring) Add(d Decision) {
	d.At = r.timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.decisions) < cap(r.decisions) {
		r.decisions = append(r.decisions, d)
		return
	}
	r.decisions[r.next] = d
	r.next = (r.next + 1) % len(r.decisions)
}

// List returns the decisions that match, oldest first. It calls match while it holds the lock.
func (r *Ring) List(match func(Decision) bool) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Decision
	for i := range r.decisions {
		d := r.decisions[(r.next+i)%len(r.decisions)]
		if match(d) {
			list = append(list, d)
		}
	}
	return list
}
