package jvpressure

import "sync/atomic"

// Room is a number of places, of which a limit may be taken. A nil Room has no limit and counts nothing. It is safe for
// concurrent use.
type Room struct {
	limit int64
	taken atomic.Int64
}

// NewRoom returns a room of limit places; 0 means no limit.
func NewRoom(limit int64) *Room { return &Room{limit: limit} }

// Take takes a place, or returns false if none is left.
func (r *Room) Take() bool {
	if r == nil {
		return true
	}
	if n := r.taken.Add(1); r.limit > 0 && n > r.limit {
		r.taken.Add(-1)
		return false
	}
	return true
}

// Return returns a place.
func (r *Room) Return() {
	if r != nil {
		r.taken.Add(-1)
	}
}

// Taken returns the number of places that are taken.
func (r *Room) Taken() int64 { return r.taken.Load() }

// Limit returns the number of places, or 0 if there is no limit.
func (r *Room) Limit() int64 { return r.limit }

// Share returns the share of the places that is taken, or 0 if there is no limit.
func (r *Room) Share() float64 {
	if r.limit == 0 {
		return 0
	}
	return float64(r.Taken()) / float64(r.limit)
}
