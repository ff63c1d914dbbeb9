package jvgrant

import (
	"time"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
)

// BudgetStatus is one budget as the dump shows it, in tokens.
type BudgetStatus struct {
	Prepaid int64 `json:"prepaid"`
	// Held is what all routers may spend in all, Used what they say they have spent, Lost what
	// restarts may have spent.
	Held    int64            `json:"held"`
	Used    int64            `json:"used"`
	Lost    int64            `json:"lost"`
	Rate    int64            `json:"rate"`
	Own     jvescrow.Account `json:"own"`
	OwnRate int64            `json:"ownrate"`
	// Bound is the bound on this router's spending that has been stated, as of now.
	Bound int64 `json:"limit"`
	// Routers are what the others hold, by name.
	Routers map[string]int64 `json:"routers"`
}

// Dump is the state of a keeper.
type Dump struct {
	Ready        bool                    `json:"ready"`
	LastSeen     time.Time               `json:"contact"`
	Epoch        uint64                  `json:"epoch"`
	GrantOffsets []uint64                `json:"grants"`
	Budgets      map[string]BudgetStatus `json:"budgets"`
}

// Dump returns the state of all budgets.
func (k *Allocator) Dump() Dump {
	d := Dump{Ready: k.Ready(), LastSeen: k.LastSeen(), GrantOffsets: k.places(), Budgets: map[string]BudgetStatus{}}
	k.mu.Lock()
	defer k.mu.Unlock()
	d.Epoch = k.speaker.epoch
	for _, w := range k.budgets() {
		s, _ := k.situation(w)
		v := BudgetStatus{
			Prepaid: s.Prepaid, Held: s.Totals.Net, Used: s.Totals.Used, Lost: s.Totals.Lost, Rate: s.Totals.DemandRate,
			Own: k.escrow.Account(w), OwnRate: s.DemandRate, Routers: map[string]int64{},
		}
		if k.speaker.told != nil {
			v.Bound, _ = k.speaker.told.SpendingBound(w, k.options.ReadClocks().Uptime)
		}
		for origin, h := range k.book.holdings[w] {
			v.Routers[origin] = h.Net()
		}
		d.Budgets[w] = v
	}
	return d
}
