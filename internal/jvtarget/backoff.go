package jvtarget

import "time"

const (
	// returnSpread is the part of the time that a target named by which routers and callers return later at most, so
	// that they don't return at once. routerSpread for each router of the fleet is the least, as a target may have
	// refused all of them, maxReturnSpread the most.
	returnSpread    = 0.1
	routerSpread    = 10 * time.Millisecond
	maxReturnSpread = time.Second
	// returnTime is the time after which a target that has returned gets as many requests as before, also without
	// responses: long streams may still be on their way.
	returnTime = 2 * time.Second
)

// backoff is the time in which a target wants no requests of this router, and its return after that.
type backoff struct {
	// namedEnd is the end that the target has named, end that of this router, which is later by spread.
	namedEnd time.Time
	end      time.Time
	spread   time.Duration
	// accepted counts the responses after end that were no refusals.
	accepted int64
}

// with returns the backoff of a target that wants no requests for d from now on. spread is used if it begins now.
func (b backoff) with(now time.Time, d, spread time.Duration) backoff {
	namedEnd := now.Add(d)
	if !namedEnd.After(b.namedEnd) {
		return b
	}
	if !now.Before(b.end) {
		b.spread = spread
	}
	return backoff{namedEnd: namedEnd, end: namedEnd.Add(b.spread), spread: b.spread}
}

// spread returns a random time by which a return after d is later.
func (t *Table) spread(d time.Duration) time.Duration {
	_, routers := t.sharers()
	longest := min(max(time.Duration(returnSpread*float64(d)), routerSpread*time.Duration(routers)), maxReturnSpread)
	return time.Duration(t.random() * float64(longest))
}

// rest returns how long the target still gets no requests.
func (b backoff) rest(now time.Time) time.Duration { return max(b.end.Sub(now), 0) }

// returning reports whether the target gets fewer requests than it has slots, since it has just returned.
func (b backoff) returning(now time.Time, slots int64) bool {
	return now.Sub(b.end) < returnTime && b.accepted < slots
}

// allows reports whether a target may get one more request now in view of its backoff.
func (b backoff) allows(now time.Time, g *target) bool {
	if b.rest(now) > 0 {
		return false
	}
	if !b.returning(now, g.config.Slots) {
		return true
	}
	running := int64(0)
	for _, startedAt := range g.traffic.starts {
		if !startedAt.Before(b.end) {
			running++
		}
	}
	return running < 1+b.accepted
}

// backoffOf returns the backoff of a target, or one that has ended.
func (l *signs) backoffOf(name string) backoff {
	if s := l.byTarget[name]; s != nil {
		return s.backoff
	}
	return backoff{}
}

// RecordBackoff records that a target's process has refused a request and wants no others for d. It reports whether the
// target got requests until now.
func (t *Table) RecordBackoff(poolName, name string, startedAtMillis int64, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.signs.of(name, startedAtMillis)
	if s == nil {
		return false
	}
	now := t.timer.Now()
	before := s.backoff
	s.backoff = before.with(now, d, t.spread(d))
	if p := t.pools[poolName]; p != nil {
		p.wake(t) // Requests that wait for this target only are refused.
	}
	return before.rest(now) == 0 && s.backoff.rest(now) > 0
}

// RecordResponse records that a target has responded to a request that was sent at a time, and has not refused it.
func (t *Table) RecordResponse(poolName, name string, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, p, now := t.signs.byTarget[name], t.pools[poolName], t.timer.Now()
	if s != nil {
		s.endDoubt(sentAt)
	}
	if s == nil || p == nil || p.targets[name] == nil || s.backoff.rest(now) > 0 || !s.backoff.returning(now, p.targets[name].config.Slots) {
		return
	}
	s.backoff.accepted++
	p.wake(t)
}

// Rest returns how long it takes until a request could be sent, with a random part, if all targets for it have named a
// time in which they want none, else 0.
func (t *Table) Rest(q Request) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[q.Pool]
	if p == nil {
		return 0
	}
	rest, _ := p.shortestRest(t, q)
	return rest
}

// CountBackoff returns the number of targets that get no requests for a time which they have named.
func (t *Table) CountBackoff() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, now := 0, t.timer.Now()
	for _, s := range t.signs.byTarget {
		if s.backoff.rest(now) > 0 {
			n++
		}
	}
	return n
}

// shortestRest returns how long it takes until the first target that a request could use gets requests, if all of these
// have named a time. It includes a random part, so that callers return at different times.
func (p *pool) shortestRest(t *Table, q Request) (time.Duration, bool) {
	now := t.timer.Now()
	shortest := time.Duration(0)
	for name, g := range p.targets {
		if accepted, _ := t.inService(g, q); !accepted || !q.acceptsVersion(g.config) || t.unreachable(name) || !g.health.worthWaiting(now) {
			continue
		}
		rest := t.signs.backoffOf(name).rest(now)
		if rest == 0 {
			return 0, false
		}
		if shortest == 0 || rest < shortest {
			shortest = rest
		}
	}
	if shortest == 0 {
		return 0, false
	}
	return min(shortest+t.spread(shortest), maxRetryAfter), true
}
