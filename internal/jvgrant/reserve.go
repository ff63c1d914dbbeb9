package jvgrant

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// Reserve takes the worst case of a request out of what this router holds, and where that is
// too little waits until ctx ends for more.
func (k *Allocator) Reserve(ctx context.Context, workspace string, tokens int64) (jvescrow.Reservation, error) {
	const op = "reserve"
	k.ask(workspace, tokens)
	w := &want{workspace: workspace, tokens: tokens}
	defer k.drop(w)
	for {
		r, err := k.take(workspace, tokens)
		if err == nil {
			return r, nil
		}
		switch {
		case !k.Ready():
			return r, jvfault.Newf(op, KindUnready, "budgets have not been read yet")
		case !k.Connected():
			return r, jvfault.Newf(op, KindShort, "%d tokens needed, %d held, budgets away since %s: %v",
				tokens, k.room(workspace), k.LastSeen().UTC().Format(time.RFC3339Nano), err)
		case k.spent(workspace, tokens):
			return r, jvfault.Newf(op, KindSpent, "the prepaid budget has less left than the %d tokens that this request may use", tokens)
		}
		if k.empty(workspace, tokens) {
			return r, jvfault.Newf(op, KindEmpty, "no router has the %d tokens needed left", tokens)
		}
		round := k.want(w)
		select {
		case <-round:
		case <-ctx.Done():
			return r, jvfault.Newf(op, KindShort, "%d tokens needed, %d held, no more came in time: %v",
				tokens, k.room(workspace), err)
		}
	}
}

// room returns what is held unreserved, for messages.
func (k *Allocator) room(workspace string) int64 { return k.escrow.Account(workspace).Available() }

// take reserves within what is held and within the bounds that the topic has or may get.
func (k *Allocator) take(workspace string, tokens int64) (jvescrow.Reservation, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	use := k.escrow.Account(workspace).Committed() + tokens
	if !k.speaker.allows(workspace, use, k.options.ReadClocks().Uptime) {
		return jvescrow.Reservation{}, errBound
	}
	return k.escrow.Reserve(workspace, tokens)
}

// Settle ends a reservation with the tokens that were used.
func (k *Allocator) Settle(r jvescrow.Reservation, used int64) {
	used = k.escrow.Settle(r, used)
	k.mu.Lock()
	defer k.mu.Unlock()
	if d := k.demands[r.Profile]; d != nil {
		d.spare(r.Tokens - used)
	}
}

func (k *Allocator) ask(workspace string, tokens int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := k.demands[workspace]
	if d == nil {
		d = &demand{}
		k.demands[workspace] = d
	}
	d.ask(tokens)
}

// want is a request that waits for tokens.
type want struct {
	workspace string
	tokens    int64
}

// want asks for a round that serves a request and returns the channel that is closed when the
// next round ends.
func (k *Allocator) want(w *want) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wants[w] = true
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return k.round
}

func (k *Allocator) drop(w *want) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.wants, w)
}

// wanted returns what requests wait for of a workspace's tokens; k.mu must be held.
func (k *Allocator) wanted(workspace string) int64 {
	var sum int64
	for w := range k.wants {
		if w.workspace == workspace {
			sum += w.tokens
		}
	}
	return sum
}

// spent tells whether the budget is known not to cover a request, wherever it is held: what
// routers say they used only lags behind what they did.
func (k *Allocator) spent(workspace string, tokens int64) bool {
	prepaid, bound := k.options.Prepaid(workspace)
	k.mu.Lock()
	defer k.mu.Unlock()
	return bound && prepaid-k.book.Totals(workspace, "").Used < tokens
}

// empty tells whether by what routers last said none of them could spare a request's tokens.
func (k *Allocator) empty(workspace string, tokens int64) bool {
	prepaid, bound := k.options.Prepaid(workspace)
	k.mu.Lock()
	defer k.mu.Unlock()
	return bound && prepaid-k.book.Totals(workspace, "").Committed < tokens
}
