package jvlink

import (
	"slices"
	"strings"
)

// Dump is a link's state as the operations port shows it.
type Dump struct {
	// In, Out and Capacity are bytes per second.
	In       int64 `json:"in"`
	Out      int64 `json:"out"`
	Capacity int64 `json:"capacity"`
	// Crowded is true while the link is congested or would be, for Reason, Capped if the router is ready all the same.
	Crowded bool   `json:"crowded"`
	Reason  string `json:"reason,omitempty"`
	Capped  bool   `json:"capped"`
	// HoldMillis is the minimum time of the last congestion.
	HoldMillis int64 `json:"hold"`
	// Workspaces are those that crowd the link, Rest is true if the others together do as well.
	Workspaces []string `json:"workspaces"`
	Rest       bool     `json:"rest"`
	// Heavy are the heavy workspaces here, Reports those of the other routers of the zone.
	Heavy   []WorkspaceRate `json:"heavy"`
	Reports []ReportView    `json:"reports"`
	// Refused is the number of requests that were refused for the link since the start.
	Refused int64 `json:"refused"`
}

// ReportView is a report of another router in a dump.
type ReportView struct {
	Router  string          `json:"router"`
	Unready bool            `json:"unready"`
	Heavy   []WorkspaceRate `json:"heavy"`
}

// Dump returns the link's state.
func (l *Link) Dump() Dump {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.policy
	d := Dump{
		In: int64(p.rates.in), Out: int64(p.rates.out), Capacity: int64(p.Capacity), Crowded: p.crowded, Capped: p.capped,
		HoldMillis: p.hold.Milliseconds(), Heavy: p.heavy(), Reports: make([]ReportView, 0, len(p.reports)), Refused: p.refused,
	}
	if p.crowded {
		d.Reason, d.Workspaces, d.Rest = p.reason, p.heldNames(), p.rest
	}
	for _, r := range p.reports {
		d.Reports = append(d.Reports, ReportView{Router: r.Router, Unready: r.Unready, Heavy: r.Heavy})
	}
	slices.SortFunc(d.Reports, func(a, b ReportView) int { return strings.Compare(a.Router, b.Router) })
	return d
}

// RegisterGauges registers gauges of the link's state.
func (l *Link) RegisterGauges(register func(name string, read func() float64)) {
	for name, read := range map[string]func(p *policy) float64{
		`jv_link_bytes_per_second{direction="in"}`:  func(p *policy) float64 { return p.rates.in },
		`jv_link_bytes_per_second{direction="out"}`: func(p *policy) float64 { return p.rates.out },
		"jv_link_heavy_workspaces":                  func(p *policy) float64 { return float64(len(p.heavy())) },
		"jv_link_reports":                           func(p *policy) float64 { return float64(len(p.reports)) },
		"jv_link_refused":                           func(p *policy) float64 { return float64(p.refused) },
		"jv_link_crowded":                           func(p *policy) float64 { return number(p.crowded) },
		"jv_link_capped":                            func(p *policy) float64 { return number(p.capped) },
		"jv_link_hold_seconds": func(p *policy) float64 {
			return number(p.crowded) * p.hold.Seconds()
		},
	} {
		register(name, func() float64 {
			l.mu.Lock()
			defer l.mu.Unlock()
			return read(l.policy)
		})
	}
}

// number returns 1 for true.
func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
