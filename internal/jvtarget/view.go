package jvtarget

import (
	"math"
	"time"
)

// TargetView is the state of one target as the dump shows it.
type TargetView struct {
	Target string `json:"target"`
	Zone   string `json:"zone"`
	Slots  int64  `json:"slots"`
	// Reported is the number of busy slots in the target's last load report, made at ReportedAt.
	Reported   int64     `json:"reported"`
	ReportedAt time.Time `json:"at"`
	// OwnRequests is the number of this router's requests in progress on the target, Estimate the
	// estimated number of all routers' requests.
	OwnRequests int   `json:"own"`
	Estimate    int64 `json:"estimate"`
	Leaving     bool  `json:"leaving"`
	// Evacuated is true if the target's availability zone is evacuated.
	Evacuated bool `json:"evacuated"`
	// BackoffUntil is until when the target gets no requests, since it has named that time.
	BackoffUntil time.Time `json:"backoff"`
	// Failures is the number of failures in a row.
	Failures int `json:"failures"`
	// PausedUntil is when the target may be selected again after a failure.
	PausedUntil time.Time `json:"until"`
	// Figure is the work figure that the target reported last, at FigureAt; 100 is its usual speed.
	Figure   float64   `json:"figure"`
	FigureAt time.Time `json:"figureAt"`
	// Slowness is how many times longer than the pool's mean the target takes, as learned. Expected is the time that a
	// new request would wait there for the work ahead of it, in seconds.
	Slowness float64 `json:"slowness"`
	Expected float64 `json:"expected"`
	// Held is the estimated number of tokens of all requests on the target, ReportedSlots the number of slots in its last report.
	Held          int64 `json:"held"`
	ReportedSlots int64 `json:"reportedSlots"`
}

// PoolView is the state of one pool as the dump shows it.
type PoolView struct {
	Targets []TargetView `json:"targets"`
	// Waiting is the number of requests that wait for a slot.
	Waiting int `json:"waiting"`
	// WaitingWorkspaces is the number of these by workspace, Deficits the tokens that each workspace lacks to its fair
	// share, negative if it has had more lately.
	WaitingWorkspaces map[string]int     `json:"waitingWorkspaces,omitempty"`
	Deficits          map[string]float64 `json:"deficits,omitempty"`
	// Brittle is true while the targets name themselves brittle.
	Brittle bool `json:"brittle"`
	// MeanServiceSeconds is the mean time for which a request holds a slot.
	MeanServiceSeconds float64 `json:"service"`
	// ByExpectedTime is true while targets are selected by expected time, and not by the number of busy slots.
	ByExpectedTime bool `json:"byExpectedTime"`
}

// CountPaused returns the number of targets in service that are not selected after failures.
func (t *Table) CountPaused() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, n := t.timer.Now(), 0
	for _, p := range t.pools {
		for _, g := range p.targets {
			if !t.isLeaving(g) && !g.health.usable(now) {
				n++
			}
		}
	}
	return n
}

// Views returns a copy of the table's state for the dump, by pool.
func (t *Table) Views() map[string]PoolView {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	views := map[string]PoolView{}
	for name, p := range t.pools {
		v := PoolView{Waiting: len(p.waiting), MeanServiceSeconds: p.meanServiceSeconds, Brittle: p.brittle(now), ByExpectedTime: p.byExpectedTime(now)}
		v.WaitingWorkspaces, v.Deficits = map[string]int{}, map[string]float64{}
		for _, w := range p.waiting {
			if w.request.Workspace != "" {
				v.WaitingWorkspaces[w.request.Workspace]++
			}
		}
		for workspace, a := range p.turns.accounts {
			v.Deficits[workspace] = math.Round(a.deficit)
		}
		for n, g := range p.targets {
			others, slowness := g.traffic.others(g.load), g.speed.slowness(p.speed)
			v.Targets = append(v.Targets, TargetView{
				Target:        n,
				Zone:          g.config.Zone,
				Slots:         g.config.Slots,
				Reported:      g.load.Busy,
				ReportedAt:    g.load.ReportedAt,
				OwnRequests:   len(g.traffic.starts),
				Estimate:      g.traffic.estimate(g.load, p.maxReportAge(t.weights.MaxReportAge), now),
				Leaving:       t.isLeaving(g),
				Evacuated:     t.isEvacuated(g),
				BackoffUntil:  t.signs.backoffOf(n).end,
				Failures:      g.health.failures,
				PausedUntil:   g.health.pausedUntil,
				Figure:        g.figure,
				FigureAt:      g.figureAt,
				Slowness:      slowness,
				Expected:      slowness * p.outlookOf(g, others, now).expected(0).Seconds(),
				Held:          p.held(g, others, now),
				ReportedSlots: g.load.Slots,
			})
		}
		views[name] = v
	}
	return views
}
