package jvroute

import (
	"slices"
	"time"
)

// Kind is the class of a route, which decides whether its requests may run more than once.
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

// Route describes how requests with a host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time for which a caller waits, or 0 for no limit.
	Timeout time.Duration
	// TargetLatency is the longest time to the response, or to a stream's first event, for which the
	// platform gives full credit.
	TargetLatency time.Duration
	// TargetGap is the longest pause between the events of a stream that is on time.
	TargetGap time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// MaxAttempts is the number of targets on which one request may run.
	MaxAttempts int
	Pools       []WeightedPool
	// Anonymous routes require no key.
	Anonymous bool
	// CachedPrefixes is true if targets cache the prefixes of the route's prompts.
	CachedPrefixes bool
	// Resumable streams can continue at another target after their last event.
	Resumable bool
}

// Repeatable reports whether a request may run again after an attempt that may have run.
func (r Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// PoolNames returns the names of the route's pools.
func (r Route) PoolNames() []string {
	names := make([]string, len(r.Pools))
	for n, p := range r.Pools {
		names[n] = p.Pool
	}
	return names
}

// HasPool reports whether the route may use a pool.
func (r Route) HasPool(name string) bool { return slices.Contains(r.PoolNames(), name) }

// SelectPool returns the pool for a random number in [0, 1), or "" if the route has none.
func (r Route) SelectPool(random float64) string {
	total := 0
	for _, p := range r.Pools {
		total += p.Weight
	}
	rest := int(random * float64(total))
	for _, p := range r.Pools {
		if rest -= p.Weight; rest < 0 {
			return p.Pool
		}
	}
	return ""
}
