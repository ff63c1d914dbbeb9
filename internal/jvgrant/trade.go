package jvgrant

import (
	"context"
	"maps"
	"slices"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// trade takes and gives back what the policy says; a router that wrote in between makes it
// start over. It returns whether anything was written.
func (k *Keeper) trade(ctx context.Context) bool {
	const tries = 8
	for range tries {
		if !k.tradeDue() {
			return false
		}
		err := k.call(ctx, func(ctx context.Context) error { return k.grants.Poll(ctx, 0) })
		if err != nil {
			return false // The follower reports it.
		}
		at := k.grants.Next()
		items := k.plan()
		if len(items) == 0 {
			return false
		}
		var end uint64
		err = k.call(ctx, func(ctx context.Context) error {
			var err error
			end, err = k.options.Grants.AppendAt(ctx, at, items)
			return err
		})
		if err == nil {
			k.grants.Advance(at, end, items)
			return true
		}
		if jvfault.KindOf[jvkeyed.Kind](err) != jvkeyed.KindMoved {
			k.options.Logger.Info("holdings not confirmed", "at", at, "records", len(items), "cause", err.Error())
			return false
		}
	}
	return false
}

// tradeDue tells whether by what is known something is to be taken or given back.
func (k *Keeper) tradeDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range k.budgets() {
		s, bound := k.situation(w)
		a := k.escrow.Account(w)
		h, _ := k.book.Holding(w, k.options.Origin)
		if bound && (k.closed || a.Returned != h.Returned || k.options.Policy.Give(s) > 0 || k.options.Policy.Wishes(s)) {
			return true
		}
	}
	return false
}

// plan decides what to take and give back, and returns the records that say so.
func (k *Keeper) plan() []jvkeyed.Item {
	k.mu.Lock()
	defer k.mu.Unlock()
	var items []jvkeyed.Item
	for _, w := range k.budgets() {
		if h, changed := k.decide(w); changed {
			items = append(items, h.Encode(k.options.Origin, w))
		}
	}
	return items
}

// budgets lists the workspaces in force and those that something is held of; k.mu must be held.
func (k *Keeper) budgets() []string {
	names := map[string]bool{}
	for _, w := range k.options.Workspaces() {
		names[w] = true
	}
	for w, m := range k.book.holdings {
		if m[k.options.Origin].Net() != 0 {
			names[w] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// decide returns the holding that a workspace's record should show; k.mu must be held.
func (k *Keeper) decide(workspace string) (Holding, bool) {
	s, bound := k.situation(workspace)
	if !bound {
		return Holding{}, false
	}
	give := k.options.Policy.Give(s)
	if k.closed {
		give = s.Available
	}
	k.escrow.Return(workspace, give)
	a := k.escrow.Account(workspace)
	old, _ := k.book.Holding(workspace, k.options.Origin)
	h := Holding{Granted: max(a.Granted, old.Granted), Returned: a.Returned}
	take := int64(0)
	if !k.closed {
		s.Available = a.Available()
		take = k.options.Policy.Take(s)
	}
	h.Granted += take
	if h == old {
		return h, false
	}
	k.options.Logger.Info("budget moved", "workspace", workspace, "take", take, "give", h.Returned-old.Returned,
		"available", s.Available, "target", k.options.Policy.Target(s), "prepaid", s.Prepaid, "net", s.Totals.Net,
		"used", s.Totals.Used, "lost", s.Totals.Lost, "rate", s.Rate, "rates", s.Totals.Rate, "want", s.Want, "offset", k.grants.Next())
	return h, true
}

// situation returns what a decision on a budget is made from, and false where nothing bounds
// it; k.mu must be held.
func (k *Keeper) situation(workspace string) (Situation, bool) {
	prepaid, bound := k.options.Prepaid(workspace)
	s := Situation{
		Prepaid:   prepaid,
		Totals:    k.book.Totals(workspace, k.options.Origin),
		Available: k.escrow.Account(workspace).Available(),
		Want:      k.wanted(workspace),
		Routers:   max(1, k.book.Routers(k.options.Timer.Now().Add(-liveFor))),
	}
	if d := k.demands[workspace]; d != nil {
		s.Rate = d.rate()
		s.Typical = d.typical()
	}
	return s, bound
}
