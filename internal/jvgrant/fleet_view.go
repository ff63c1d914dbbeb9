package jvgrant

import "time"

// FleetView is the holdings and statements of all routers, as read from the topics.
type FleetView struct {
	// holdings are by workspace and router, statements by router.
	holdings   map[string]map[string]Holding
	statements map[string]Statement
	// lastSeen is when a router's statement last changed.
	lastSeen map[string]time.Time
}

// NewFleetView returns an empty view.
func NewFleetView() *FleetView {
	return &FleetView{holdings: map[string]map[string]Holding{}, statements: map[string]Statement{}, lastSeen: map[string]time.Time{}}
}

// RaiseHolding raises a router's holding of a workspace's budget. Both of its sums only grow.
func (f *FleetView) RaiseHolding(workspace, router string, h Holding) {
	m := f.holdings[workspace]
	if m == nil {
		m = map[string]Holding{}
		f.holdings[workspace] = m
	}
	m[router] = m[router].Raised(h)
}

// SetStatement stores a router's statement.
func (f *FleetView) SetStatement(router string, s Statement, now time.Time) {
	if old, ok := f.statements[router]; !ok || old.Epoch != s.Epoch || old.UptimeNanos != s.UptimeNanos {
		f.lastSeen[router] = now
	}
	f.statements[router] = s
}

// Holding returns a router's holding of a workspace's budget.
func (f *FleetView) Holding(workspace, router string) (Holding, bool) {
	h, ok := f.holdings[workspace][router]
	return h, ok
}

// newestClock returns the latest wall clock in routers' statements.
func (f *FleetView) newestClock() time.Time {
	newest := int64(0)
	for _, s := range f.statements {
		newest = max(newest, s.ClockUnixMilli)
	}
	return time.UnixMilli(newest)
}

// RoutersSeen returns the number of routers whose statements have changed since a time.
func (f *FleetView) RoutersSeen(since time.Time) int {
	n := 0
	for _, at := range f.lastSeen {
		if !at.Before(since) {
			n++
		}
	}
	return n
}

// Totals are the sums over all routers for one budget, in tokens.
type Totals struct {
	// Net is what routers may spend in all, Used what they have published as spent, Lost what
	// earlier processes may have spent.
	Net  int64
	Used int64
	Lost int64
	// Committed is what is spent, reserved or lost.
	Committed int64
	// DemandRate is in tokens per second.
	DemandRate int64
	// Shortfall is what requests at other routers wait for and those routers can't get.
	Shortfall int64
}

// Totals returns the sums for a workspace's budget, where own is the router whose shortfall
// is left out.
func (f *FleetView) Totals(workspace, own string) Totals {
	var t Totals
	for _, h := range f.holdings[workspace] {
		t.Net += h.Net()
	}
	for router, s := range f.statements {
		r, _ := s.row(workspace)
		t.Used += r.Used
		t.Lost += r.Lost
		t.Committed += r.Committed
		t.DemandRate += r.DemandRate
		if router != own {
			t.Shortfall += r.Shortfall
		}
	}
	return t
}
