package jvtarget

import "time"

// TargetView is one target as the dump shows it.
type TargetView struct {
	Target   string    `json:"target"`
	Zone     string    `json:"zone"`
	Slots    int64     `json:"slots"`
	Reported int64     `json:"reported"`
	ReportedAt       time.Time `json:"at"`
	// OwnRequests is what this router has under way, Estimate its guess of all that is.
	OwnRequests      int       `json:"own"`
	Estimate int64     `json:"estimate"`
	Leaving  bool      `json:"leaving"`
	Failures int       `json:"failures"`
	PausedUntil    time.Time `json:"until"`
}

// PoolView is one pool as the dump shows it.
type PoolView struct {
	Targets []TargetView `json:"targets"`
	Waiting int    `json:"waiting"`
	// MeanServiceSeconds is the mean time that a request holds a slot, in seconds.
	MeanServiceSeconds float64 `json:"service"`
}

// Views returns a copy of the table for the dump.
func (t *Table) Views() map[string]PoolView {
	t.mu.Lock()
	defer t.mu.Unlock()
	views := map[string]PoolView{}
	for name, p := range t.pools {
		v := PoolView{Waiting: len(p.waiting), MeanServiceSeconds: p.service}
		for n, g := range p.targets {
			v.Targets = append(v.Targets, TargetView{
				Target:   n,
				Zone:     g.config.Zone,
				Slots:    g.config.Slots,
				Reported: g.load.Busy,
				ReportedAt:       g.load.At,
				OwnRequests:      len(g.traffic.starts),
				Estimate: g.traffic.estimate(g.load, p.fade(t.weights.MaxReportAge), t.timer.Now()),
				Leaving:  g.leaving,
				Failures: g.health.failures,
				PausedUntil:    g.health.until,
			})
		}
		views[name] = v
	}
	return views
}
