package jvtarget

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// Request is one attempt's wish for a slot.
type Request struct {
	Pool    string
	Attempt string
	// Prefix is a digest of the prompt's beginning, or empty.
	Prefix string
	// Digest identifies the request for the crash record.
	Digest []byte
	// Priority orders those who wait; larger goes first.
	Priority int
	// Avoid names targets that this request has failed on.
	Avoid    []string
	Deadline time.Time
}

// Retry-After of refusals, in bounds.
const (
	retryLeast = time.Second
	retryMost  = 30 * time.Second
)

// Acquire returns a slot, at once or after waiting for one. It refuses at once where no
// target takes work, or where those who wait ahead would take until the deadline.
func (t *Table) Acquire(ctx context.Context, a Request) (Lease, error) {
	w, lease, err := t.enter(a)
	if w == nil {
		return lease, err
	}
	select {
	case r := <-w.done:
		return r.lease, r.err
	case <-ctx.Done():
	}
	if r, ok := t.withdraw(a.Pool, w); ok {
		return r.lease, r.err
	}
	return Lease{}, refusal(KindDeadline, retryLeast, "no slot of pool %s became free before the deadline", a.Pool)
}

func (t *Table) enter(a Request) (*waiter, Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[a.Pool]
	if p == nil {
		return nil, Lease{}, refusal(KindNoTarget, retryLeast, "there is no pool %s", a.Pool)
	}
	if len(p.waiting) == 0 {
		lease, kind := p.take(t, a)
		if kind == "" {
			return nil, lease, nil
		}
		if kind == KindNoTarget {
			return nil, Lease{}, p.noneLeft(a)
		}
	}
	ahead := p.waiting.ahead(a.Priority)
	wait := p.predict(ahead)
	if left := a.Deadline.Sub(t.timer.Now()); wait > left {
		return nil, Lease{}, refusal(KindOverloaded, wait-left, "%d requests wait ahead, which takes %s of the %s left", ahead, wait, left)
	}
	w := &waiter{ask: a, done: make(chan granted, 1)}
	p.waiting.push(w)
	return w, Lease{}, nil
}

func (p *pool) noneLeft(a Request) error {
	leaving := 0
	for _, g := range p.targets {
		if g.leaving {
			leaving++
		}
	}
	return refusal(KindNoTarget, retryLeast, "no target of pool %s takes work: %d in all, %d leaving, %d avoided after failures", a.Pool, len(p.targets), leaving, len(a.Avoid))
}

// predict returns how long a request waits and runs behind others, from the pool's slots and
// mean service time.
func (p *pool) predict(ahead int) time.Duration {
	slots := int64(0)
	for _, g := range p.targets {
		if !g.leaving {
			slots += g.config.Slots
		}
	}
	if slots == 0 {
		return 0
	}
	turns := 1 + float64(ahead+1)/float64(slots)
	return time.Duration(turns * p.service * float64(time.Second))
}

func refusal(k Kind, retry time.Duration, format string, arguments ...any) *Refusal {
	return &Refusal{
		Cause: jvfault.New("acquire target", k, fmt.Errorf(format, arguments...)),
		RetryAfter: min(max(retry, retryLeast), retryMost),
	}
}

// granted is what a waiter got.
type granted struct {
	lease Lease
	err   error
}

// waiter is an ask that waits.
type waiter struct {
	ask  Request
	done chan granted
}

// waitList holds waiters by priority and then by arrival.
type waitList []*waiter

func (l *waitList) push(w *waiter) {
	*l = slices.Insert(*l, l.ahead(w.ask.Priority), w)
}

// ahead counts those who go before a newcomer of a priority.
func (l *waitList) ahead(priority int) int {
	n := 0
	for n < len(*l) && (*l)[n].ask.Priority >= priority {
		n++
	}
	return n
}

// wake gives free slots to those who wait, in their order; the table's lock must be held.
func (p *pool) wake(t *Table) {
	for len(p.waiting) > 0 {
		w := p.waiting[0]
		lease, kind := p.take(t, w.ask)
		if kind == KindOverloaded {
			return
		}
		p.waiting = p.waiting[1:]
		if kind == KindNoTarget {
			w.done <- granted{err: p.noneLeft(w.ask)}
			continue
		}
		w.done <- granted{lease: lease}
	}
}

// withdraw takes a waiter off the list; ok is true where it was served in the same moment.
func (t *Table) withdraw(poolName string, w *waiter) (granted, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[poolName]; p != nil {
		if i := slices.Index(p.waiting, w); i >= 0 {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			return granted{}, false
		}
	}
	select {
	case r := <-w.done:
		return r, true
	default:
		return granted{}, false
	}
}
