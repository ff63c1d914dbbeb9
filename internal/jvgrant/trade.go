package jvgrant

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// trade takes and gives back what the policy says. It returns whether anything was written.
func (k *Allocator) trade(ctx context.Context) bool {
	return k.eachShelf(ctx, k.shelvesDue(), k.tradeOn)
}

// tradeOn trades the budgets of one shelf; a router that wrote there in between makes it start
// over.
func (k *Allocator) tradeOn(ctx context.Context, number int) bool {
	const tries = 8
	s := k.shelves[number]
	for try := range tries {
		if try > 0 {
			k.yield(ctx, try)
		}
		k.noteAsked(s)
		err := k.call(ctx, func(ctx context.Context) error { return s.follower.Poll(ctx, 0) })
		if err != nil {
			return false // The follower reports it.
		}
		at := s.follower.Next()
		items := k.plan(number)
		if len(items) == 0 {
			return false
		}
		var end uint64
		err = k.call(ctx, func(ctx context.Context) error {
			var err error
			end, err = s.topic.AppendAt(ctx, at, items)
			return err
		})
		if err == nil {
			s.follower.Advance(at, end, items)
			return true
		}
		if jvfault.KindOf[jvkeyed.Kind](err) != jvkeyed.KindConflict {
			k.options.Logger.Info("holdings not confirmed", "partition", number, "at", at, "records", len(items), "cause", err.Error())
			return false
		}
	}
	k.options.Logger.Info("holdings contended", "partition", number, "tries", tries)
	return false
}

// yield spreads the routers that met at the end of a partition.
func (k *Allocator) yield(ctx context.Context, try int) {
	select {
	case <-ctx.Done():
	case <-k.options.Timer.After(time.Duration(k.options.Random() * float64(yieldTime) * float64(try))):
	}
}

// yieldTime is about one call of the store.
const yieldTime = 5 * time.Millisecond

func (k *Allocator) noteAsked(s *shelf) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s.asked = k.options.Timer.Now()
}

// shelvesDue lists the shelves on which by what is known something is to be taken or given
// back, and those that are to be read since what others put back there would be taken.
func (k *Allocator) shelvesDue() []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Timer.Now()
	pace := k.pace()
	due := map[int]bool{}
	for _, w := range k.budgets() {
		s, bound := k.situation(w)
		if !bound {
			continue
		}
		number := k.shelfOf(w)
		a := k.escrow.Account(w)
		h, _ := k.book.Holding(w, k.options.Router)
		age := now.Sub(k.shelves[number].asked)
		switch {
		case k.closed, a.Returned != h.Returned, k.options.Policy.ReturnAmount(s) > 0,
			s.free() > 0 && k.options.Policy.NeedsGrant(s),
			s.Waiting > s.Available && age >= pace.stretch(pressingRead),
			k.options.Policy.NeedsGrant(s) && age >= pace.read(k.options.ReadInterval, false):
			due[number] = true
		}
	}
	return slices.Sorted(maps.Keys(due))
}

// plan decides what to take and give back on a shelf, and returns the records that say so.
func (k *Allocator) plan(number int) []jvkeyed.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	var items []jvkeyed.Record
	for _, w := range k.budgetsOn(number) {
		if h, changed := k.decide(w, number); changed {
			items = append(items, h.Encode(k.options.Router, w))
		}
	}
	return items
}

// budgets lists the workspaces in force and those that something is held of; k.mu must be held.
func (k *Allocator) budgets() []string {
	names := map[string]bool{}
	for _, w := range k.options.Workspaces() {
		names[w] = true
	}
	for w, m := range k.book.holdings {
		if m[k.options.Router].Net() != 0 {
			names[w] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// decide returns the holding that a workspace's record on a shelf should show; k.mu must be held.
func (k *Allocator) decide(workspace string, number int) (Holding, bool) {
	s, bound := k.situation(workspace)
	if !bound {
		return Holding{}, false
	}
	give := k.options.Policy.ReturnAmount(s)
	if k.closed {
		give = s.Available
	}
	k.escrow.Return(workspace, give)
	a := k.escrow.Account(workspace)
	old, _ := k.book.Holding(workspace, k.options.Router)
	h := Holding{Granted: max(a.Granted, old.Granted), Returned: a.Returned}
	take := int64(0)
	if !k.closed && (give == 0 || s.Waiting > 0) { // What was just given is not taken back.
		s.Available = a.Available()
		take = k.options.Policy.GrantAmount(s)
	}
	h.Granted += take
	if h == old {
		return h, false
	}
	k.options.Logger.Info("budget moved", "workspace", workspace, "take", take, "give", h.Returned-old.Returned,
		"available", s.Available, "target", k.options.Policy.Target(s), "prepaid", s.Prepaid, "net", s.Totals.Net,
		"used", s.Totals.Used, "lost", s.Totals.Lost, "rate", s.DemandRate, "rates", s.Totals.DemandRate, "want", s.Waiting, "partition", number, "offset", k.shelves[number].follower.Next())
	return h, true
}

// situation returns what a decision on a budget is made from, and false where nothing bounds
// it; k.mu must be held.
func (k *Allocator) situation(workspace string) (PolicyInput, bool) {
	prepaid, bound := k.options.Prepaid(workspace)
	s := PolicyInput{
		Prepaid:   prepaid,
		Totals:    k.book.Totals(workspace, k.options.Router),
		Available: k.escrow.Account(workspace).Available(),
		Waiting:   k.wanted(workspace),
		Routers:   k.routers(),
	}
	if d := k.demands[workspace]; d != nil {
		s.DemandRate = d.rate()
		s.TypicalRequest = d.typical()
	}
	return s, bound
}
