package jvroute

import "time"

// Kind says what may be repeated of a route's requests.
type Kind string

// Kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered with events and run at most once unless Resumable.
	KindStream Kind = "stream"
)

// WeightedPool is a pool with its weight among the pools of a route.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Route says where the requests of a host and path prefix go, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting, 0 for no bound.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to a stream's first event, that earns full credit.
	TargetLatency time.Duration
	// TargetGap is the longest pause between the events of a stream that is on time.
	TargetGap time.Duration
	// Priority is the rank, 0 the most urgent.
	Priority int
	// MaxAttempts is the number of targets on which one request may run.
	MaxAttempts  int
	Pools    []WeightedPool
	Anonymous bool
	// Sticky routes carry prompts whose prefixes targets keep.
	Sticky bool
	// Resumable streams can go on at another target after their last event.
	Resumable bool
}

// Repeatable tells whether a request may run again after an attempt that may have run.
func (r Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// SelectPool returns the pool for a number drawn from 0..1, or "" where the route has none.
func (r Route) SelectPool(draw float64) string {
	total := 0
	for _, s := range r.Pools {
		total += s.Weight
	}
	at := int(draw * float64(total))
	for _, s := range r.Pools {
		if at -= s.Weight; at < 0 {
			return s.Pool
		}
	}
	return ""
}
