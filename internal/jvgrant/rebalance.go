package jvgrant

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// rebalance takes tokens out of the budgets and returns tokens as the policy decides, and reports
// whether anything was written.
func (a *Allocator) rebalance(ctx context.Context) bool {
	a.mu.Lock()
	a.draw = a.options.Random()
	a.mu.Unlock()
	return a.eachPartition(ctx, a.duePartitions(), a.rebalancePartition)
}

// rebalancePartition rebalances the budgets of one partition. It starts over when another router
// has appended to the partition in the meantime.
func (a *Allocator) rebalancePartition(ctx context.Context, number int) bool {
	const maxTries = 8
	p := a.partitions[number]
	for try := range maxTries {
		if try > 0 {
			a.backOff(ctx, try)
		}
		a.markPolled(p)
		err := a.callTopic(ctx, func(ctx context.Context) error { return p.follower.Poll(ctx, 0) })
		if err != nil {
			return false // The follower logs it.
		}
		at := p.follower.Next()
		records := a.planRecords(number)
		if len(records) == 0 {
			return false
		}
		if _, err = a.appendAt(ctx, p, at, records); err == nil {
			return true
		}
		if jvfault.KindOf[jvkeyed.Kind](err) != jvkeyed.KindConflict {
			a.options.Logger.Info("holdings not confirmed", "partition", number, "era", at.Era, "at", at.Offset, "records", len(records), "cause", err.Error())
			return false
		}
	}
	a.options.Logger.Info("holdings contended", "partition", number, "tries", maxTries)
	return false
}

// backOff waits for a random time, so that routers whose appends conflicted retry at different times.
func (a *Allocator) backOff(ctx context.Context, try int) {
	unit := a.fleetSize().scale(backoffUnit)
	select {
	case <-ctx.Done():
	case <-a.options.Timer.After(time.Duration(a.options.Random() * float64(unit) * float64(try))):
	}
}

// backoffUnit is about the duration of one call of the store, in a small fleet.
const backoffUnit = 5 * time.Millisecond

func (a *Allocator) markPolled(p *partition) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p.lastPolled = a.options.Timer.Now()
}

// duePartitions lists the partitions in which, by what has been read so far, this router has tokens to
// take or return. It also lists those to read because the router needs tokens and others may have
// returned some there.
func (a *Allocator) duePartitions() []int {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Timer.Now()
	fleet := a.fleetSizeLocked()
	due := map[int]bool{}
	for n, p := range a.partitions {
		if len(p.lacking) > 0 {
			due[n] = true
		}
	}
	for _, w := range a.budgets() {
		in, limited := a.policyInput(w)
		if !limited {
			continue
		}
		number := a.partitionOf(w)
		account := a.escrow.Account(w)
		h, _ := a.fleet.Holding(w, a.options.Router)
		age := now.Sub(a.partitions[number].lastPolled)
		switch {
		case a.closed && in.Available > 0, account.Returned != h.Returned, a.returnAmount(w, in) > 0,
			in.free() > 0 && a.policy.NeedsGrant(in),
			in.Waiting > in.Available && age >= fleet.scale(urgentReadInterval),
			a.policy.NeedsGrant(in) && age >= fleet.readInterval(a.options.ReadInterval, false):
			due[number] = true
		}
	}
	return slices.Sorted(maps.Keys(due))
}

// planRecords decides what to take and return in a partition, debits what it returns, and returns the
// records to append.
func (a *Allocator) planRecords(number int) []jvkeyed.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	var records []jvkeyed.Record
	own := map[string]bool{}
	for _, w := range a.budgetsIn(number) {
		if h, changed := a.nextHolding(w, number); changed {
			a.issued[w] = max(a.issued[w], h.Granted)
			r := h.Encode(a.options.Router, w)
			own[r.Key] = true
			records = append(records, r)
		}
	}
	for _, r := range a.lackingRecords(number) {
		if !own[r.Key] {
			records = append(records, r)
		}
	}
	if p := a.partitions[number]; len(records) > 0 && p.completeEra != a.era && a.mayTake() {
		records = append(records, eraRecord(a.era))
	}
	return records
}

// budgets lists the workspaces with a budget and any others of which this router still holds tokens;
// a.mu must be held.
func (a *Allocator) budgets() []string {
	names := map[string]bool{}
	for _, w := range a.options.Workspaces() {
		names[w] = true
	}
	for w, m := range a.fleet.holdings {
		if m[a.options.Router].Net() != 0 {
			names[w] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// nextHolding returns the holding of a workspace's budget that this router should record in a
// partition, and whether it differs from the recorded one. Tokens that it returns to the budget are
// debited before the record is appended, those that it takes are credited once the record is in the
// topic; a.mu must be held.
func (a *Allocator) nextHolding(workspace string, number int) (Holding, bool) {
	in, limited := a.policyInput(workspace)
	if !limited {
		return Holding{}, false
	}
	old, _ := a.fleet.Holding(workspace, a.options.Router)
	give := a.returnAmount(workspace, in)
	switch {
	case a.closed:
		give = in.Available
	case a.escrow.Account(workspace).Returned > old.Returned: // The append of an earlier return is tried again.
		give = 0
	}
	a.escrow.Return(workspace, give)
	account := a.escrow.Account(workspace)
	h := Holding{Granted: max(account.Granted, old.Granted), Returned: account.Returned}
	take := int64(0)
	if returning := h.Returned > old.Returned; !a.closed && a.mayTake() && (!returning || in.Waiting > 0) { // Tokens that were just returned are not taken again.
		in.Available = account.Available() + a.taken(workspace)
		take = a.policy.GrantAmount(in)
	}
	h.Granted += take
	if h == old {
		return h, false
	}
	a.options.Logger.Info("budget moved", "workspace", workspace, "take", take, "give", h.Returned-old.Returned,
		"available", in.Available, "target", a.policy.Target(in), "prepaid", in.Prepaid, "net", in.Totals.Net,
		"used", in.Totals.Used, "lost", in.Totals.Lost, "rate", in.DemandRate, "rates", in.Totals.DemandRate, "want", in.Waiting, "partition", number, "offset", a.partitions[number].follower.NextOffset())
	return h, true
}

// returnAmount returns how much to put back into the budget, out of what this router may spend: it keeps its target of that,
// whatever else it has taken. a.mu must be held.
func (a *Allocator) returnAmount(workspace string, in PolicyInput) int64 {
	in.Available = a.escrow.Account(workspace).Available()
	return a.policy.ReturnAmount(in)
}

// policyInput returns what a decision on a budget depends on, and false where the workspace has no
// budget; a.mu must be held.
func (a *Allocator) policyInput(workspace string) (PolicyInput, bool) {
	prepaid, limited := a.options.Prepaid(workspace)
	in := PolicyInput{
		Prepaid:   prepaid,
		Totals:    a.fleet.Totals(workspace, a.options.Router),
		Available: a.escrow.Account(workspace).Available() + a.taken(workspace),
		Waiting:   a.waiting(workspace),
		Routers:   a.routers(),
		Draw:      a.draw,
	}
	if d := a.demands[workspace]; d != nil {
		in.DemandRate = d.rate()
		in.TypicalRequest = d.typicalRequest()
	}
	return in, limited
}
