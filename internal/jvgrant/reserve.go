package jvgrant

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// Reserve reserves the worst case of a request out of what this router holds. Where that is too
// little, it waits for more until ctx ends.
func (a *Allocator) Reserve(ctx context.Context, workspace string, tokens int64) (jvescrow.Reservation, error) {
	a.addDemand(workspace, tokens)
	return a.Await(ctx, workspace, tokens)
}

// Try reserves the worst case of a request without waiting. counted is true if the request counts as demand also if it is
// refused: a request that is made at several routers counts at the first of them.
func (a *Allocator) Try(workspace string, tokens int64, counted bool) (jvescrow.Reservation, error) {
	r, err := a.tryReserve(workspace, tokens)
	if err == nil || counted {
		a.addDemand(workspace, tokens)
	}
	if err == nil {
		return r, nil
	}
	return r, a.refusal(workspace, tokens, err)
}

// refusal returns the error for a request for which this router holds too little, by what it knows now.
func (a *Allocator) refusal(workspace string, tokens int64, cause error) error {
	const op = "reserve"
	switch {
	case !a.Ready():
		return jvfault.Newf(op, KindUnready, "budgets have not been read yet")
	case !a.Reachable():
		return jvfault.Newf(op, KindShort, "%d tokens needed, %d held, budgets away since %s: %v",
			tokens, a.available(workspace), a.LastSeen().UTC().Format(time.RFC3339Nano), cause)
	case a.spent(workspace, tokens):
		return jvfault.Newf(op, KindSpent, "the prepaid budget has less left than the %d tokens that this request may use", tokens)
	case a.empty(workspace, tokens):
		return jvfault.Newf(op, KindEmpty, "no router has the %d tokens needed left", tokens)
	}
	return jvfault.Newf(op, KindWait, "%d tokens needed, %d held: %v", tokens, a.available(workspace), cause)
}

// Await reserves like Reserve, for a request that already counts as demand.
func (a *Allocator) Await(ctx context.Context, workspace string, tokens int64) (jvescrow.Reservation, error) {
	const op = "reserve"
	w := &waiter{workspace: workspace, tokens: tokens}
	defer a.removeWaiter(w)
	for {
		r, err := a.tryReserve(workspace, tokens)
		if err == nil {
			return r, nil
		}
		if refusal := a.refusal(workspace, tokens, err); jvfault.KindOf[Kind](refusal) != KindWait {
			return r, refusal
		}
		roundDone := a.addWaiter(w)
		select {
		case <-roundDone:
		case <-ctx.Done():
			return r, jvfault.Newf(op, KindShort, "%d tokens needed, %d held, no more came in time: %v",
				tokens, a.available(workspace), err)
		}
	}
}

// available returns what is held unreserved, for error messages.
func (a *Allocator) available(workspace string) int64 {
	return a.escrow.Account(workspace).Available()
}

// tryReserve reserves within what is held and within the published and pending bounds.
func (a *Allocator) tryReserve(workspace string, tokens int64) (jvescrow.Reservation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	use := a.escrow.Account(workspace).Committed() + tokens
	if !a.publisher.allows(workspace, use, a.options.ReadClocks().Uptime) {
		return jvescrow.Reservation{}, errBound
	}
	return a.escrow.Reserve(workspace, tokens)
}

// Settle ends a reservation with the tokens that were used.
func (a *Allocator) Settle(r jvescrow.Reservation, used int64) {
	used = a.escrow.Settle(r, used)
	a.mu.Lock()
	defer a.mu.Unlock()
	if d := a.demands[r.Profile]; d != nil {
		d.subtractUnused(r.Tokens - used)
	}
}

func (a *Allocator) addDemand(workspace string, tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.demands[workspace]
	if d == nil {
		d = &demand{}
		a.demands[workspace] = d
	}
	d.add(tokens)
}

// waiter is a request that waits for tokens.
type waiter struct {
	workspace string
	tokens    int64
}

// addWaiter adds a request to those that wait, wakes Run, and returns the channel that is closed when a round
// ends or a statement is published next.
func (a *Allocator) addWaiter(w *waiter) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters[w] = true
	for _, wake := range []chan struct{}{a.wake, a.wakePublish} {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	return a.roundDone
}

func (a *Allocator) removeWaiter(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiters, w)
}

// waiting returns how many of a workspace's tokens requests wait for; a.mu must be held.
func (a *Allocator) waiting(workspace string) int64 {
	var sum int64
	for w := range a.waiters {
		if w.workspace == workspace {
			sum += w.tokens
		}
	}
	return sum
}

// maxLostShare is the largest share of a budget that counts as used up although it may not have been spent: earlier processes
// held it. The operator's terms allow 3% of a budget to be out of reach.
const maxLostShare = 0.03

// spent reports whether the budget is known not to cover a request, whichever router holds it and whatever requests in
// progress give back. The published use lags behind the actual one and never exceeds it. What is lost is never spent again, so
// a caller who comes back for it is refused again; but a large loss is not reported to callers as their own use.
func (a *Allocator) spent(workspace string, tokens int64) bool {
	prepaid, limited := a.options.Prepaid(workspace)
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.fleet.Totals(workspace, "")
	left := prepaid - t.Used
	if float64(t.Lost) <= maxLostShare*float64(prepaid) {
		left -= t.Lost
	}
	return limited && left < tokens
}

// empty reports whether less of the budget is left than a request may use, after what all routers'
// last statements show as spent, reserved or lost.
func (a *Allocator) empty(workspace string, tokens int64) bool {
	prepaid, limited := a.options.Prepaid(workspace)
	a.mu.Lock()
	defer a.mu.Unlock()
	return limited && prepaid-a.fleet.Totals(workspace, "").Committed < tokens
}
