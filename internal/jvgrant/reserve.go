package jvgrant

import (
	"context"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// Reserve takes the worst case of a request out of what this router holds, and where that is
// too little waits until ctx ends for more.
func (k *Keeper) Reserve(ctx context.Context, workspace string, tokens int64) (jvescrow.Reservation, error) {
	const op = "reserve"
	k.ask(workspace, tokens)
	for first := true; ; first = false {
		r, err := k.take(workspace, tokens)
		if err == nil {
			k.want(workspace, 0)
			return r, nil
		}
		switch {
		case !k.Ready():
			return r, jvfault.Newf(op, KindUnready, "budgets have not been read yet")
		case !k.InTouch():
			return r, jvfault.Newf(op, KindShort, "this router holds %d of the %d tokens needed and the budgets' topic is away since %s",
				k.escrow.Account(workspace).Available(), tokens, k.Contact().UTC())
		case !first && k.spent(workspace, tokens):
			return r, jvfault.Newf(op, KindSpent, "the prepaid budget has less left than the %d tokens that this request may use", tokens)
		}
		round := k.want(workspace, tokens)
		select {
		case <-round:
		case <-ctx.Done():
			k.want(workspace, 0)
			return r, jvfault.Newf(op, KindShort, "this router holds %d of the %d tokens needed and got no more in time",
				k.escrow.Account(workspace).Available(), tokens)
		}
	}
}

// take reserves within what is held and within the bounds that the topic has or may get.
func (k *Keeper) take(workspace string, tokens int64) (jvescrow.Reservation, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	use := k.escrow.Account(workspace).Use() + tokens
	uptime := k.options.Uptime()
	told, ok := k.told[workspace]
	if !ok || use > told.Limit(uptime) {
		return jvescrow.Reservation{}, errBound
	}
	if pending, ok := k.pending[workspace]; ok && use > pending.Limit(uptime) {
		return jvescrow.Reservation{}, errBound
	}
	return k.escrow.Reserve(workspace, tokens)
}

// Settle ends a reservation with the tokens that were used.
func (k *Keeper) Settle(r jvescrow.Reservation, used int64) { k.escrow.Settle(r, used) }

func (k *Keeper) ask(workspace string, tokens int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := k.demands[workspace]
	if d == nil {
		d = &demand{}
		k.demands[workspace] = d
	}
	d.ask(tokens)
}

// want notes what a request waits for, or with 0 that none does, and returns the channel that
// is closed when the next round ends.
func (k *Keeper) want(workspace string, tokens int64) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if tokens == 0 {
		delete(k.wants, workspace)
		return k.round
	}
	k.wants[workspace] = max(k.wants[workspace], tokens)
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return k.round
}

// spent tells whether the budget is known not to cover a request, wherever it is held: what
// routers say they used only lags behind what they did.
func (k *Keeper) spent(workspace string, tokens int64) bool {
	prepaid, bound := k.options.Prepaid(workspace)
	k.mu.Lock()
	defer k.mu.Unlock()
	return bound && prepaid-k.book.Totals(workspace, "").Used < tokens
}
