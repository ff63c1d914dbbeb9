package jvtarget

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxPassed is the number of slots in a row that may pass a priority by before it gets one: one slot in twenty.
	maxPassed = 19
	// turnTime is the time in which what a workspace has had falls to 1/e; decayInterval is how often it is applied.
	turnTime      = 2 * time.Second
	decayInterval = 100 * time.Millisecond
	// maxDeficit bounds what a workspace may lack or have had too much, in requests of mean size: it is made up within
	// that many requests.
	maxDeficit = 32
	// minDeficit is the number of tokens below which an account is forgotten.
	minDeficit = 0.01
)

// account is what a workspace has had lately, compared with the other workspaces that waited.
type account struct {
	// deficit is the number of tokens that the workspace lacks to its fair share, negative if it has had more.
	deficit float64
	// turn is the number of its latest turn.
	turn uint64
}

// turns decides in which order waiting requests of workspaces are sent. Each slot that is given away is paid for by its
// workspace with the tokens of the request, which all workspaces that wait at that priority receive in equal parts. The
// workspace with the largest deficit is next. One that is passed by gains each time, so that none starves.
type turns struct {
	accounts  map[string]account
	decayedAt time.Time
	latest    uint64
	// passed is the number of slots in a row that requests of higher priorities got while one of this priority waited.
	passed map[int]int
}

func newTurns() turns { return turns{accounts: map[string]account{}, passed: map[int]int{}} }

// hasWorkspaces reports whether a waiting request belongs to a workspace. Without one, requests wait by priority and arrival.
func (l waitQueue) hasWorkspaces() bool {
	return slices.ContainsFunc(l, func(w *waiter) bool { return w.request.Workspace != "" })
}

// priority returns the priority that gets the next slot, of those that eligible reports.
func (u *turns) priority(l waitQueue, eligible func(q Request) bool) (priority int, ok bool) {
	longest := -1
	for _, w := range l {
		q := w.request
		if !eligible(q) {
			continue
		}
		if passed := u.passed[q.Priority]; passed >= maxPassed && passed > longest {
			priority, longest, ok = q.Priority, passed, true
		}
		if longest < 0 && (!ok || q.Priority > priority) {
			priority, ok = q.Priority, true
		}
	}
	return priority, ok
}

// next returns the index of the waiter that gets the next slot, or -1 if none is eligible.
func (u *turns) next(l waitQueue, eligible func(q Request) bool) int {
	priority, ok := u.priority(l, eligible)
	if !ok {
		return -1
	}
	best := -1
	for i, w := range l {
		if w.request.Priority == priority && eligible(w.request) && (best < 0 || u.before(w.request, l[best].request)) {
			best = i
		}
	}
	return best
}

// before reports whether a request goes before another one of the same priority. Requests that are bound to a version go
// first, as they do without workspaces. Requests that may have run already come last.
func (u *turns) before(a, b Request) bool {
	x, y := u.accounts[a.Workspace], u.accounts[b.Workspace]
	switch {
	case a.Bound != b.Bound:
		return a.Bound
	case a.Retried != b.Retried:
		return b.Retried
	case a.Workspace == b.Workspace:
		return a.Deadline.Before(b.Deadline)
	case x.deficit != y.deficit:
		return x.deficit > y.deficit
	}
	return x.turn < y.turn
}

// served counts a slot that a request gets while others wait. mean is the mean number of tokens of a request.
func (u *turns) served(q Request, others waitQueue, tokens, mean float64, now time.Time) {
	u.decay(now)
	level, lower := map[string]bool{q.Workspace: true}, map[int]bool{}
	for _, w := range others {
		if w.request.Priority == q.Priority {
			level[w.request.Workspace] = true
		} else if w.request.Priority < q.Priority {
			lower[w.request.Priority] = true
		}
	}
	delete(u.passed, q.Priority)
	maps.DeleteFunc(u.passed, func(priority, _ int) bool { return priority < q.Priority && !lower[priority] })
	for priority := range lower {
		u.passed[priority]++
	}
	u.latest++
	limit := maxDeficit * max(mean, 1)
	for workspace := range level {
		a := u.accounts[workspace]
		a.deficit += tokens / float64(len(level))
		if workspace == q.Workspace {
			a.turn = u.latest
			a.deficit -= tokens
			if len(level) == 1 { // Nobody waits that could receive it: it counts against requests that wait later.
				a.deficit -= tokens
			}
		}
		a.deficit = min(max(a.deficit, -limit), limit)
		u.accounts[workspace] = a
	}
}

// decay lets what workspaces have had count less as time passes. Their order stays the same.
func (u *turns) decay(now time.Time) {
	age := now.Sub(u.decayedAt)
	if age < decayInterval {
		return
	}
	u.decayedAt = now
	factor := math.Exp(-float64(age) / float64(turnTime))
	for workspace, a := range u.accounts {
		if a.deficit *= factor; math.Abs(a.deficit) < minDeficit {
			delete(u.accounts, workspace)
			continue
		}
		u.accounts[workspace] = a
	}
}

// aheadInTurns returns the number of waiters that go before a new request if each workspace gets every other turn.
func (l waitQueue) aheadInTurns(q Request) int {
	higher, own := 0, 0
	counts := map[string]int{}
	for _, w := range l {
		switch r := w.request; {
		case r.Priority > q.Priority, r.Priority == q.Priority && r.Bound && !q.Bound, r.Priority == q.Priority && q.Retried && !r.Retried && r.Bound == q.Bound:
			higher++
		case r.Priority < q.Priority || r.Bound != q.Bound || r.Retried != q.Retried:
		case r.Workspace != q.Workspace:
			counts[r.Workspace]++
		case !q.Deadline.Before(r.Deadline):
			own++
		}
	}
	n := higher + own
	for _, waiting := range counts {
		n += min(waiting, own+1)
	}
	return n
}

// wakeInTurns assigns free slots to waiters of workspaces; t.mu must be held.
func (p *pool) wakeInTurns(t *Table) {
	now := t.timer.Now()
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
		left := w.request.Deadline.Sub(now)
		if left >= p.minTime(w.request.Class) {
			return false
		}
		w.done <- acquired{err: newRefusal(KindOverloaded, t.spreadRetry(w.request, minRetryAfter), "%s is left, which is too little", left)}
		return true
	})
	full := map[string]bool{} // Versions without a free slot.
	for {
		n := p.turns.next(p.waiting, func(q Request) bool { return !q.Bound || !full[q.Version] })
		if n < 0 {
			return
		}
		w := p.waiting[n]
		p.waiting = slices.Delete(p.waiting, n, n+1) // Not among those that wait while its slot is counted.
		lease, kind := p.acquire(t, w.request)
		switch kind {
		case KindOverloaded:
			p.waiting = slices.Insert(p.waiting, n, w)
			if !w.request.Bound {
				return
			}
			full[w.request.Version] = true
		case KindNoTarget:
			w.done <- acquired{err: p.noTargetError(t, w.request)}
		default:
			w.done <- acquired{lease: lease}
		}
	}
}

// spreadRetry returns the delay of a refused request of a workspace with a random part of the same length, so that requests
// that were refused together return at different times.
func (t *Table) spreadRetry(q Request, d time.Duration) time.Duration {
	if q.Workspace == "" {
		return d
	}
	d = max(d, minRetryAfter)
	return d + time.Duration(t.random()*float64(d))
}

// CountWaiting returns the number of requests that wait for a slot, and the number of workspaces that they belong to.
func (t *Table) CountWaiting() (requests, workspaces int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	named := map[string]bool{}
	for _, p := range t.pools {
		requests += len(p.waiting)
		for _, w := range p.waiting {
			if w.request.Workspace != "" {
				named[w.request.Workspace] = true
			}
		}
	}
	return requests, len(named)
}
