package jvgrant

import "time"

// fleetSize is the number of routers that share the store. It determines how often each of them
// uses the store, so that the calls and bytes of all routers together stay about the same. A fleet
// of more than small routers counts as large.
type fleetSize struct {
	routers int
	small   int
}

// large reports whether the fleet is so large that its routers call the store less often.
func (f fleetSize) large() bool { return f.routers > f.small }

// scale returns the pause between calls in this fleet, given the pause in a small fleet.
func (f fleetSize) scale(pause time.Duration) time.Duration {
	return pause * time.Duration(max(f.routers, f.small)) / time.Duration(f.small)
}

// readInterval returns the pause between reads of other routers' statements, given the pause in a
// small fleet. It is shorter when urgent: while a request waits for tokens that others may return, or a
// takeover learns from their statements. A large fleet lists all statements in each read and can't do
// so for each request.
func (f fleetSize) readInterval(pause time.Duration, urgent bool) time.Duration {
	switch {
	case !f.large() && urgent:
		return urgentReadInterval
	case f.large() && urgent:
		return min(f.scale(pause), maxReadInterval) / 2
	}
	return min(f.scale(pause), maxReadInterval)
}

const (
	urgentReadInterval = 20 * time.Millisecond
	// maxReadInterval is a third of the time after which a router without statements no longer
	// counts as live.
	maxReadInterval = livenessTimeout / 3
)

// roundDelay returns the pause before a round that a request starts. It grows with the number of
// consecutive rounds that changed nothing.
func (f fleetSize) roundDelay(idle int) time.Duration {
	pause := f.scale(fleetRoundDelay) - fleetRoundDelay
	if idle > 0 {
		pause = max(pause, min(minIdleDelay<<min(idle, 8), maxIdleDelay))
	}
	return pause
}

const (
	minIdleDelay = 10 * time.Millisecond
	maxIdleDelay = 160 * time.Millisecond
	// fleetRoundDelay keeps the writes of all routers' rounds, usually three per round, below the
	// store's capacity.
	fleetRoundDelay = 24 * time.Millisecond
)

// fleetSizeLocked returns the known size of the fleet; a.mu must be held.
func (a *Allocator) fleetSizeLocked() fleetSize {
	return fleetSize{routers: a.routers(), small: a.options.SmallFleetSize}
}

// routers returns the number of routers that share budgets; a.mu must be held.
func (a *Allocator) routers() int {
	return max(1, a.fleet.RoutersSeen(a.options.Timer.Now().Add(-livenessTimeout)))
}

// fleetSize returns the known size of the fleet; a.mu must not be held.
func (a *Allocator) fleetSize() fleetSize {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fleetSizeLocked()
}

// CountRouters returns the number of routers that share budgets, and false if it may be outdated since
// the topic of statements does not respond.
func (a *Allocator) CountRouters() (int, bool) {
	return a.fleetSize().routers, a.Reachable()
}
