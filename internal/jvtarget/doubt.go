package jvtarget

import (
	"slices"
	"time"
)

// doubtTime is how long a target is selected last that only another router reports as leaving. Most targets have left
// by then, or their entries show it.
const doubtTime = 30 * time.Second

// RecordDoubt records that another router reports a target's process as leaving. The target gets requests only when
// all others are full, for a time that further messages don't prolong, or until it responds to this router. It reports
// whether that is new.
func (t *Table) RecordDoubt(name string, startedAtMillis int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.signs.processes[name]; !ok || p.Leaving || p.StartedAtMillis != startedAtMillis {
		return false
	}
	s := t.signs.of(name, startedAtMillis)
	if s == nil || !s.leavingSince.IsZero() || !s.doubtedAt.IsZero() {
		return false
	}
	s.doubtedAt = t.timer.Now()
	return true
}

// Doubted reports whether another router has lately reported a target as leaving, and the target has not responded
// since.
func (t *Table) Doubted(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.signs.doubted(name, t.timer.Now())
}

// CountDoubted returns the number of targets that only other routers report as leaving.
func (t *Table) CountDoubted() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, now := 0, t.timer.Now()
	for name := range t.signs.byTarget {
		if t.signs.doubted(name, now) {
			n++
		}
	}
	return n
}

func (l *signs) doubted(name string, now time.Time) bool {
	s := l.byTarget[name]
	return s != nil && !s.doubtedAt.IsZero() && now.Sub(s.doubtedAt) < doubtTime && !s.doubtEnded && s.leavingSince.IsZero()
}

// endDoubt ends the doubt about a target that has responded to an attempt which was sent at a time and has not said
// that it leaves.
func (s *sign) endDoubt(sentAt time.Time) {
	if !s.doubtedAt.IsZero() && sentAt.After(s.doubtedAt) {
		s.doubtEnded = true
	}
}

// withoutDoubted returns the candidates that are not doubted, unless all of these are full.
func (l *signs) withoutDoubted(candidates []Candidate, now time.Time) []Candidate {
	doubted := func(c Candidate) bool { return l.doubted(c.Name, now) }
	if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Busy < c.Slots && !doubted(c) }) {
		return candidates
	}
	return slices.DeleteFunc(candidates, doubted)
}
