package jvgrant

import (
	"time"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
)

// BudgetStatus is the state of one budget in the dump, in tokens.
type BudgetStatus struct {
	Prepaid int64 `json:"prepaid"`
	// Held is what all routers may spend in all, Used what they have published as spent, Lost what
	// earlier processes may have spent. DemandRate is in tokens per second, at all routers.
	Held       int64            `json:"held"`
	Used       int64            `json:"used"`
	Lost       int64            `json:"lost"`
	DemandRate int64            `json:"rate"`
	Own        jvescrow.Account `json:"own"`
	// OwnDemandRate is in tokens per second, at this router.
	OwnDemandRate int64 `json:"ownrate"`
	// SpendingBound is the published bound on this router's spending, as of now.
	SpendingBound int64 `json:"limit"`
	// Routers are the net holdings of all routers by name.
	Routers map[string]int64 `json:"routers"`
}

// Dump is the state of an Allocator.
type Dump struct {
	Ready    bool      `json:"ready"`
	LastSeen time.Time `json:"contact"`
	Epoch    uint64    `json:"epoch"`
	// GrantOffsets are the offsets up to which the partitions of the grants have been read.
	GrantOffsets []uint64                `json:"grants"`
	Budgets      map[string]BudgetStatus `json:"budgets"`
}

// UnwitnessedTokens returns how many tokens this router has taken and does not spend yet, since too few others know of them.
func (a *Allocator) UnwitnessedTokens() (sum int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.takings {
		sum += a.taken(w)
	}
	return sum
}

// CountAwaited returns the number of routers that are awaited before tokens are taken, after the log was set back.
func (a *Allocator) CountAwaited() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mayTake() {
		return 0
	}
	return len(a.renewal.awaited)
}

// Dump returns the state of all budgets.
func (a *Allocator) Dump() Dump {
	d := Dump{Ready: a.Ready(), LastSeen: a.LastSeen(), GrantOffsets: a.offsets(), Budgets: map[string]BudgetStatus{}}
	a.mu.Lock()
	defer a.mu.Unlock()
	d.Epoch = a.publisher.epoch
	for _, w := range a.budgets() {
		in, _ := a.policyInput(w)
		s := BudgetStatus{
			Prepaid: in.Prepaid, Held: in.Totals.Net, Used: in.Totals.Used, Lost: in.Totals.Lost, DemandRate: in.Totals.DemandRate,
			Own: a.escrow.Account(w), OwnDemandRate: in.DemandRate, Routers: map[string]int64{},
		}
		if a.publisher.published != nil {
			s.SpendingBound, _ = a.publisher.published.SpendingBound(w, a.options.ReadClocks().Uptime)
		}
		for router, h := range a.fleet.holdings[w] {
			s.Routers[router] = h.Net()
		}
		d.Budgets[w] = s
	}
	return d
}
