package jvlimit

import "time"

// SetCold gives a target a limit in requests a second of all routers together until a time, in which it is cold. A rate
// of 0 ends that. The limit is divided as one that a target names, but it is not published: all routers read the same
// records of targets. A target that also names a limit keeps within both.
func (l *Limits) SetCold(target string, rate float64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !(rate > 0) { // Not a number compares false.
		delete(l.cold, target)
		l.updateCount()
		return
	}
	t := l.cold[target]
	if t == nil {
		t = &limit{knownAt: l.options.Timer.Now()}
		l.cold[target] = t
	}
	if t.value != rate {
		t.value = rate
		t.selection = selection{}
	}
	t.endsAt = until
	l.updateCount()
}

// CountCold returns the number of targets that have a limit since they are cold.
func (l *Limits) CountCold() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	now := l.options.Timer.Now()
	for _, t := range l.cold {
		if now.Before(t.endsAt) {
			n++
		}
	}
	return n
}

// coldLimit returns the limit of a target that is cold, or nil; l.mu must be held.
func (l *Limits) coldLimit(target string, now time.Time) *limit {
	t := l.cold[target]
	if t == nil || !now.Before(t.endsAt) {
		return nil
	}
	return t
}

// updateCount updates the number of limits; l.mu must be held.
func (l *Limits) updateCount() { l.count.Store(int32(len(l.limits) + len(l.cold))) }
