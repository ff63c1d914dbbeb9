package jvgrant

import "time"

// pace tells how often a router uses the store, by the number of routers that share it: the calls
// and bytes of all of them together stay about the same. A fleet is large from small on.
type pace struct {
	routers int
	small   int
}

// large tells whether the fleet is one whose calls are paced.
func (p pace) large() bool { return p.routers > p.small }

// stretch returns a pause between calls of a small fleet as it is for this one.
func (p pace) stretch(pause time.Duration) time.Duration {
	return pause * time.Duration(max(p.routers, p.small)) / time.Duration(p.small)
}

// read returns the pause between reads of what others stated, and pressing the one while a
// request waits for what they may give, or a takeover learns from them. A large fleet lists all
// statements in each read and can't do so for each request.
func (p pace) read(pause time.Duration, pressing bool) time.Duration {
	switch {
	case !p.large() && pressing:
		return pressingRead
	case p.large() && pressing:
		return min(p.stretch(pause), mostRead) / 2
	}
	return min(p.stretch(pause), mostRead)
}

const (
	pressingRead = 20 * time.Millisecond
	// mostRead is a third of the time after which a router that states nothing counts as gone.
	mostRead = liveFor / 3
)

// rest returns the pause before a round that requests ask for, which grows with the rounds in a
// row that changed nothing.
func (p pace) rest(idle int) time.Duration {
	pause := p.stretch(fleetPause) - fleetPause
	if idle > 0 {
		pause = max(pause, min(leastPause<<min(idle, 8), mostPause))
	}
	return pause
}

const (
	leastPause = 10 * time.Millisecond
	mostPause  = 160 * time.Millisecond
	// fleetPause keeps the writes of all routers' rounds, three each as a rule, below what the
	// store takes.
	fleetPause = 24 * time.Millisecond
)

// pace returns the pace of the fleet as it is known; k.mu must be held.
func (k *Allocator) pace() pace { return pace{routers: k.routers(), small: k.options.SmallFleetSize} }

// routers is the number of routers that share budgets; k.mu must be held.
func (k *Allocator) routers() int {
	return max(1, k.book.RoutersSeen(k.options.Timer.Now().Add(-liveFor)))
}

// fleet returns the pace where k.mu is not held.
func (k *Allocator) fleet() pace {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pace()
}
