package jvtrace

import (
	"sync"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Ring holds the last decisions. It is safe for concurrent use; its lock is a leaf.
type Ring struct {
	timer *jvtimer.Service

	mu   sync.Mutex
	held []Decision
	next int
}

// NewRing returns a ring of a size.
func NewRing(size int, timer *jvtimer.Service) *Ring {
	return &Ring{timer: timer, held: make([]Decision, 0, size)}
}

// Add remembers a decision and drops the oldest when the ring is full.
func (r *Ring) Add(d Decision) {
	d.At = r.timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.held) < cap(r.held) {
		r.held = append(r.held, d)
		return
	}
	r.held[r.next] = d
	r.next = (r.next + 1) % len(r.held)
}

// List returns the decisions that match, oldest first.
func (r *Ring) List(match func(Decision) bool) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Decision
	for i := range r.held {
		d := r.held[(r.next+i)%len(r.held)]
		if match(d) {
			list = append(list, d)
		}
	}
	return list
}
