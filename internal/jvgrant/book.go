package jvgrant

import "time"

// FleetView is what the topics say of all routers.
type FleetView struct {
	holdings   map[string]map[string]Holding
	statements map[string]Statement
	// heard is when a router's statement last changed.
	heard map[string]time.Time
}

// NewFleetView returns an empty book.
func NewFleetView() *FleetView {
	return &FleetView{holdings: map[string]map[string]Holding{}, statements: map[string]Statement{}, heard: map[string]time.Time{}}
}

// SetHolding takes over one holding.
func (b *FleetView) SetHolding(workspace, origin string, h Holding) {
	m := b.holdings[workspace]
	if m == nil {
		m = map[string]Holding{}
		b.holdings[workspace] = m
	}
	m[origin] = h
}

// SetStatement takes over one statement.
func (b *FleetView) SetStatement(origin string, s Statement, now time.Time) {
	if old, ok := b.statements[origin]; !ok || old.Epoch != s.Epoch || old.UptimeNanos != s.UptimeNanos {
		b.heard[origin] = now
	}
	b.statements[origin] = s
}

// Holding returns what a router has of a workspace's budget.
func (b *FleetView) Holding(workspace, origin string) (Holding, bool) {
	h, ok := b.holdings[workspace][origin]
	return h, ok
}

// RoutersSeen counts those that were heard of since a time.
func (b *FleetView) RoutersSeen(since time.Time) int {
	n := 0
	for _, at := range b.heard {
		if !at.Before(since) {
			n++
		}
	}
	return n
}

// Totals are the sums over all routers of one budget.
type Totals struct {
	// Net is what routers may spend in all, Used what they say they have spent.
	Net  int64
	Used int64
	Lost int64
	// Committed is what is spent, reserved or lost.
	Committed int64
	// DemandRate is in tokens a second.
	DemandRate int64
	// Shortfall is what requests at other routers wait for.
	Shortfall int64
}

// Totals sums up a workspace's budget; own is the router whose want is left out.
func (b *FleetView) Totals(workspace, own string) Totals {
	var t Totals
	for _, h := range b.holdings[workspace] {
		t.Net += h.Net()
	}
	for origin, s := range b.statements {
		r, _ := s.row(workspace)
		t.Used += r.Used
		t.Lost += r.Lost
		t.Committed += r.Committed
		t.DemandRate += r.DemandRate
		if origin != own {
			t.Shortfall += r.Shortfall
		}
	}
	return t
}
