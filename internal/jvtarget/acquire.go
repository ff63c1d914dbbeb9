package jvtarget

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// Request is a request for a slot for one attempt.
type Request struct {
	Pool string
	// Attempt is the attempt's ID.
	Attempt string
	// Prefix is a digest of the prompt's beginning, or empty.
	Prefix string
	// Class is the class of requests that take about as long, or empty.
	Class string
	// Digest identifies the caller's request in crash records.
	Digest []byte
	// Parts are the parts of the prompt that other requests may share.
	Parts []Part
	// Priority orders waiting requests; larger values go first.
	Priority int
	// Workspace is the workspace that the request belongs to, or empty. Waiting requests of workspaces take turns.
	Workspace string
	// Retried is true if an earlier attempt may have run the request.
	Retried bool
	// Avoid names targets on which earlier attempts failed.
	Avoid []string
	// PreferAnswered selects one of the targets that have answered lately, if any of them has a free slot.
	PreferAnswered bool
	Deadline       time.Time
	// Bound restricts the request to targets of a version of the software. If Version is empty, none will do.
	Bound   bool
	Version string
	// PromptTokens and OutputTokens are the maximum usage of the request, or 0 if it is unknown. SharedTokens is the part
	// of the prompt up to the end of the prefix.
	PromptTokens int64
	OutputTokens int64
	SharedTokens int64
	// CapacityTokens is the number of tokens that a target of the pool holds in memory, or 0 if it is unknown.
	CapacityTokens int64
}

// WithAvoided returns a request that avoids further targets.
func (q Request) WithAvoided(names []string) Request {
	q.Avoid = slices.Concat(q.Avoid, names)
	return q
}

// accepts reports whether the request may be sent to a target.
func (q Request) accepts(g jvconfig.Target) bool {
	return !slices.Contains(q.Avoid, g.Name) && q.acceptsVersion(g)
}

func (q Request) acceptsVersion(g jvconfig.Target) bool {
	return !q.Bound || q.Version != "" && q.Version == g.Version
}

// Part is a part of a prompt that several requests may share.
type Part struct {
	Digest []byte
	// Crashes is the number of its crashes that were known when the attempt began.
	Crashes int
}

// Bounds of the delay after which a refused request should be retried.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Acquire returns a slot, at once or after waiting for one. It returns a *Refusal at once if no
// target of the pool accepts requests, or if the request would not be done by its deadline.
func (t *Table) Acquire(ctx context.Context, q Request) (Lease, error) {
	w, lease, err := t.acquireOrWait(q)
	if w == nil {
		return lease, err
	}
	select {
	case r := <-w.done:
		return r.lease, r.err
	case <-ctx.Done():
	}
	if r, ok := t.cancelWait(q.Pool, w); ok {
		return r.lease, r.err
	}
	return Lease{}, newRefusal(KindDeadline, minRetryAfter, "no slot of pool %s became free before the deadline", q.Pool)
}

// acquireOrWait returns a slot or an error, or a waiter that it added to the pool's queue.
func (t *Table) acquireOrWait(q Request) (*waiter, Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[q.Pool]
	if p == nil {
		return nil, Lease{}, newRefusal(KindNoTarget, minRetryAfter, "there is no pool %s", q.Pool)
	}
	if tokens := q.PromptTokens + q.OutputTokens; p.byExpectedTime(t.timer.Now()) && !fits(q.CapacityTokens, 0, tokens) {
		return nil, Lease{}, newRefusal(KindNoTarget, maxRetryAfter, "%d tokens exceed the memory of %d tokens of each target of pool %s", tokens, q.CapacityTokens, q.Pool)
	}
	if !p.waiting.blocks(q) {
		lease, kind := p.acquire(t, q)
		if kind == "" {
			return nil, lease, nil
		}
		if kind == KindNoTarget {
			return nil, Lease{}, p.noTargetError(t, q)
		}
	}
	ahead := p.waiting.ahead(q)
	if q.Workspace != "" || p.waiting.hasWorkspaces() {
		ahead = p.waiting.aheadInTurns(q)
	}
	wait := p.predictWait(t, ahead, q)
	if left := q.Deadline.Sub(t.timer.Now()); wait > left || p.minTime(q.Class) > left {
		return nil, Lease{}, newRefusal(KindOverloaded, t.spreadRetry(q, wait-left), "%d requests wait ahead, which takes %s of the %s left", ahead, wait, left)
	}
	w := &waiter{request: q, done: make(chan acquired, 1)}
	p.waiting.push(w)
	return w, Lease{}, nil
}

func (p *pool) noTargetError(t *Table, q Request) error {
	leaving, versions, paused, unreachable, evacuated := 0, 0, 0, 0, 0
	now := t.timer.Now()
	for name, g := range p.targets {
		if accepted, _ := t.inService(g, q); accepted && q.acceptsVersion(g.config) && t.unreachable(name) {
			unreachable++
		}
		if t.isLeaving(g) {
			leaving++
		}
		if t.isEvacuated(g) {
			evacuated++
		}
		if !q.acceptsVersion(g.config) {
			versions++
		}
		if !g.health.usable(now) {
			paused++
		}
	}
	refusal := newRefusal(KindNoTarget, minRetryAfter, "no target of pool %s accepts requests: %d in all, %d leaving, %d paused, %d avoided after failures, %d of other versions than %q, %d unreachable from here, %d in evacuated zones",
		q.Pool, len(p.targets), leaving, paused, len(q.Avoid), versions, q.Version, unreachable, evacuated)
	refusal.Unreachable = unreachable
	if rest, ok := p.shortestRest(t, q); ok {
		refusal.Cause.Kind = KindBackoff
		refusal.RetryAfter = rest
	}
	return refusal
}

// predictWait returns how long a request with others ahead of it waits and runs, from the pool's
// slots and mean service time, or from the limits of targets if all of them have one.
func (p *pool) predictWait(t *Table, ahead int, q Request) time.Duration {
	slots := int64(0)
	now := t.timer.Now()
	brittle := p.brittle(now)
	index, n := t.sharers()
	shortest := time.Duration(-1) // Of the waits for targets with a limit.
	for name, g := range p.targets {
		if t.isLeaving(g) || t.isEvacuated(g) || t.signs.backoffOf(name).rest(now) > 0 {
			continue
		}
		wait, limited := t.limiter.Wait(name)
		switch {
		case g.leaving, !q.acceptsVersion(g.config), t.unreachable(name), g.health.refusal != nil:
		case !limited && brittle:
			slots += shareOf(name, g.config.Slots, index, n)
		case !limited:
			slots += g.config.Slots
		case q.accepts(g.config) && (shortest < 0 || wait < shortest):
			shortest = wait
		}
	}
	if slots == 0 {
		return max(shortest, 0) + time.Duration(p.meanServiceSeconds*float64(time.Second))
	}
	rounds := 1 + float64(ahead+1)/float64(slots)
	return time.Duration(rounds * p.meanServiceSeconds * float64(time.Second))
}

func newRefusal(k Kind, retryAfter time.Duration, format string, arguments ...any) *Refusal {
	return &Refusal{
		Cause:      jvfault.New("acquire target", k, fmt.Errorf(format, arguments...)),
		RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter),
	}
}

// acquired is the result that a waiter receives.
type acquired struct {
	lease Lease
	err   error
}

// waiter is a request that waits for a slot.
type waiter struct {
	request Request
	done    chan acquired
}

// waitQueue holds waiters in order of priority and then of arrival. If one belongs to a workspace, turns decides who is next.
type waitQueue []*waiter

func (l *waitQueue) push(w *waiter) {
	*l = slices.Insert(*l, l.ahead(w.request), w)
}

// ahead returns the number of waiters that a new one is queued behind. Of those with the same priority, the
// requests that are bound to a version go first: other requests have more targets to choose from.
func (l *waitQueue) ahead(q Request) int {
	n := 0
	for n < len(*l) {
		w := (*l)[n].request
		if w.Priority < q.Priority || w.Priority == q.Priority && q.Bound && !w.Bound {
			break
		}
		n++
	}
	return n
}

// blocks reports whether a new request has to be queued behind a waiter for the same targets. Waiters that are
// bound to a version only wait for targets of that version.
func (l *waitQueue) blocks(q Request) bool {
	return slices.ContainsFunc(*l, func(w *waiter) bool {
		return !w.request.Bound || q.Bound && w.request.Version == q.Version
	})
}

// wake assigns free slots to waiters in order, or in turns of workspaces; t.mu must be held.
func (p *pool) wake(t *Table) {
	if p.waiting.hasWorkspaces() {
		p.wakeInTurns(t)
		return
	}
	full := map[string]bool{} // Versions without a free slot.
	now := t.timer.Now()
	for n := 0; n < len(p.waiting); {
		w := p.waiting[n]
		if left := w.request.Deadline.Sub(now); left < p.minTime(w.request.Class) {
			p.waiting = slices.Delete(p.waiting, n, n+1)
			w.done <- acquired{err: newRefusal(KindOverloaded, minRetryAfter, "%s is left, which is too little", left)}
			continue
		}
		if w.request.Bound && full[w.request.Version] {
			n++
			continue
		}
		lease, kind := p.acquire(t, w.request)
		if kind == KindOverloaded && !w.request.Bound {
			return
		}
		if kind == KindOverloaded {
			full[w.request.Version] = true
			n++
			continue
		}
		p.waiting = slices.Delete(p.waiting, n, n+1)
		if kind == KindNoTarget {
			w.done <- acquired{err: p.noTargetError(t, w.request)}
			continue
		}
		w.done <- acquired{lease: lease}
	}
}

// cancelWait removes a waiter from the queue, or returns its result and true if it already has one.
func (t *Table) cancelWait(poolName string, w *waiter) (acquired, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[poolName]; p != nil {
		if i := slices.Index(p.waiting, w); i >= 0 {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			return acquired{}, false
		}
	}
	select {
	case r := <-w.done:
		return r, true
	default:
		return acquired{}, false
	}
}
