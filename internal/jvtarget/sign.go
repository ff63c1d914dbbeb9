package jvtarget

import "time"

// Process is a target's process as its entry shows it.
type Process struct {
	// StartedAtMillis is the start of the process, or 0 if it isn't known.
	StartedAtMillis int64
	// Leaving is true if the entry shows that the target accepts no new requests.
	Leaving bool
}

// sign is what a process of a target has announced in its responses.
type sign struct {
	// startedAtMillis is the start of the process, or 0 if it isn't known.
	startedAtMillis int64
	// leavingSince is when the process first announced that it leaves.
	leavingSince time.Time
	// entryEnded is true if the entry was removed or leaving since then.
	entryEnded bool
	// backoff is the time in which the process wants no requests of this router.
	backoff backoff
	// doubtedAt is when another router first reported the process as leaving. doubtEnded is true once the process has
	// responded to this router since.
	doubtedAt  time.Time
	doubtEnded bool
}

// maxSigns limits the signs of targets that have no entry. It is far above the number of targets that leave
// while entries may lapse and return.
const maxSigns = 4096

// signs holds the latest sign of each target, and the processes of all targets that have an entry.
type signs struct {
	byTarget  map[string]*sign
	processes map[string]Process
}

func newSigns() signs { return signs{byTarget: map[string]*sign{}, processes: map[string]Process{}} }

// isOf reports whether a sign is of a target's process as its entry shows it.
func (s *sign) isOf(p Process) bool {
	if s.startedAtMillis != 0 && p.StartedAtMillis != 0 {
		return s.startedAtMillis == p.StartedAtMillis
	}
	return p.Leaving || !s.entryEnded
}

// retain replaces the processes and forgets the signs of those that were replaced.
func (l *signs) retain(processes map[string]Process) {
	l.processes = processes
	for name, s := range l.byTarget {
		p, ok := processes[name]
		switch {
		case !ok:
			s.entryEnded = true
		case !s.isOf(p):
			delete(l.byTarget, name)
		case p.Leaving:
			s.entryEnded = true
		}
	}
}

// of returns the sign of a target's process, which is added if there is none. It is nil if another process has
// replaced that one.
func (l *signs) of(name string, startedAtMillis int64) *sign {
	p, ok := l.processes[name]
	if startedAtMillis == 0 {
		startedAtMillis = p.StartedAtMillis
	}
	added := &sign{startedAtMillis: startedAtMillis, entryEnded: !ok || p.Leaving}
	if p.StartedAtMillis != 0 && p.StartedAtMillis != startedAtMillis {
		return nil
	}
	if s := l.byTarget[name]; s != nil && (startedAtMillis == 0 || s.startedAtMillis == startedAtMillis) {
		return s
	}
	l.limit()
	l.byTarget[name] = added
	return added
}

// limit makes room for one more sign: of the targets without an entry, it forgets the one that left first.
func (l *signs) limit() {
	if len(l.byTarget) < maxSigns {
		return
	}
	oldest := ""
	for name, s := range l.byTarget {
		if _, ok := l.processes[name]; !ok && (oldest == "" || s.leavingSince.Before(l.byTarget[oldest].leavingSince)) {
			oldest = name
		}
	}
	delete(l.byTarget, oldest)
}

// leavingSince returns when a target first announced that it leaves, and whether it did.
func (l *signs) leavingSince(name string) (time.Time, bool) {
	s := l.byTarget[name]
	if s == nil || s.leavingSince.IsZero() {
		return time.Time{}, false
	}
	return s.leavingSince, true
}

// SetProcesses replaces the processes of all targets that have an entry. What an earlier process of a target has
// announced no longer counts. SetPools must follow.
func (t *Table) SetProcesses(processes map[string]Process) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.signs.retain(processes)
}

// RecordLeaving records that a target's process has announced in a response that it leaves. The target gets no new requests,
// whatever its entry shows, until the entry shows another process. It reports whether that is new.
func (t *Table) RecordLeaving(poolName, name string, startedAtMillis int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.signs.of(name, startedAtMillis)
	if s == nil || !s.leavingSince.IsZero() {
		return false
	}
	s.leavingSince = t.timer.Now()
	if p := t.pools[poolName]; p != nil {
		p.wake(t) // Requests that wait for this target only are refused.
	}
	return true
}

// Leaves reports whether a target has announced that it leaves.
func (t *Table) Leaves(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, leaving := t.signs.leavingSince(name)
	return leaving
}

// LeavingTargets returns the names of a pool's targets that have announced that they leave.
func (t *Table) LeavingTargets(poolName string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[poolName]
	if p == nil {
		return nil
	}
	var names []string
	for name := range p.targets {
		if _, leaving := t.signs.leavingSince(name); leaving {
			names = append(names, name)
		}
	}
	return names
}

// CountAnnouncedLeaving returns the number of targets that have announced that they leave while their entries did not show it.
func (t *Table) CountAnnouncedLeaving() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for name := range t.signs.byTarget {
		p, ok := t.signs.processes[name]
		if _, leaving := t.signs.leavingSince(name); leaving && ok && !p.Leaving {
			n++
		}
	}
	return n
}

// leavingSince returns whether a target is leaving by its entry or by its responses, and since when. The time is zero
// if it was leaving from the start.
func (t *Table) leavingSince(g *target) (since time.Time, leaving bool) {
	said, leaving := t.signs.leavingSince(g.config.Name)
	switch {
	case !leaving:
		return g.leavingSince, g.leaving
	case g.leaving && g.leavingSince.Before(said):
		return g.leavingSince, true
	}
	return said, true
}

func (t *Table) isLeaving(g *target) bool {
	_, leaving := t.leavingSince(g)
	return leaving
}
