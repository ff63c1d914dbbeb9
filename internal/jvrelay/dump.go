package jvrelay

import (
	"fmt"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// Dump is a relay's state as the operations port shows it.
type Dump struct {
	At time.Time `json:"at"`
	// NotReadyReason is why the router does not accept new callers, or empty if it does.
	NotReadyReason string `json:"ready"`
	// Version is the version of the configuration in force.
	Version    uint64 `json:"version"`
	RouteCount int    `json:"routes"`
	// Active is the number of requests in progress.
	Active int64                        `json:"active"`
	Pools  map[string]jvtarget.PoolView `json:"pools"`
	// Retries is the number of retries left, by pool, Routers the size of the fleet by which their limit
	// is set.
	Retries map[string]float64 `json:"retries"`
	Routers int                `json:"routers"`
	Budgets any                `json:"budgets"`
	// Evacuated are the availability zones whose targets get no requests.
	Evacuated []string `json:"evacuated"`
	// Limits are the limits of targets, by which they are cold or that they name.
	Limits any `json:"limits"`
	// Versions are the versions of targets, Members the other routers of the fleet.
	Versions any `json:"versions"`
	Members  any `json:"members"`
	// Reach are the targets that only other routers reach, and the routers through which requests go.
	Reach any `json:"reach"`
	// Quarantine are the requests that were running when targets ended.
	Quarantine any `json:"quarantine"`
	// Link is the use of the machine's network link.
	Link any `json:"link"`
	// Memory is what requests hold, and who holds most.
	Memory   any `json:"memory"`
	Settings any `json:"settings"`
}

// Dump returns the relay's state.
func (r *Relay) Dump() Dump {
	d := Dump{At: r.options.Timer.Now(), Active: r.Active(), Pools: r.targets.Views(), Retries: r.retries.saved(), Routers: r.retries.fleetSize(), Reach: r.options.Reach.Dump(), Evacuated: r.evacuations.list()}
	_, d.NotReadyReason = r.Ready()
	if t := r.table.Load(); t != nil {
		d.Version = t.Version()
		d.RouteCount = t.RouteCount()
	}
	return d
}

// RegisterGauges registers gauges of the relay's state with its metrics.
func (r *Relay) RegisterGauges() {
	r.options.Meter.Gauge("jv_relay_active", func() float64 { return float64(r.Active()) })
	r.options.Meter.Gauge("jv_relay_ready", func() float64 {
		if ok, _ := r.Ready(); ok {
			return 1
		}
		return 0
	})
	r.options.Meter.Gauge("jv_relay_paused_targets", func() float64 { return float64(r.targets.CountPaused()) })
	r.options.Meter.Gauge("jv_relay_unreachable_targets", func() float64 { return float64(r.options.Reach.Count()) })
	r.options.Meter.Gauge("jv_relay_brittle_pools", func() float64 { return float64(r.targets.CountBrittle()) })
	r.options.Meter.Gauge("jv_relay_leaving_targets", func() float64 { return float64(r.targets.CountAnnouncedLeaving()) })
	r.options.Meter.Gauge("jv_relay_backoff_targets", func() float64 { return float64(r.targets.CountBackoff()) })
	r.options.Meter.Gauge("jv_relay_doubted_targets", func() float64 { return float64(r.targets.CountDoubted()) })
	r.options.Meter.Gauge("jv_relay_limited_targets", func() float64 { return float64(r.options.Limits.Count()) })
	r.options.Meter.Gauge("jv_relay_cold_targets", func() float64 { return float64(r.options.Limits.CountCold()) })
	r.options.Meter.Gauge("jv_relay_evacuated_zones", func() float64 { return float64(len(r.evacuations.list())) })
	r.options.Meter.Gauge("jv_relay_expected_time_pools", func() float64 { n, _ := r.targets.CountByExpectedTime(); return float64(n) })
	r.options.Meter.Gauge("jv_relay_slow_targets", func() float64 { _, n := r.targets.CountByExpectedTime(); return float64(n) })
	r.options.Meter.Gauge("jv_relay_waiting_requests", func() float64 { n, _ := r.targets.CountWaiting(); return float64(n) })
	r.options.Meter.Gauge("jv_relay_waiting_workspaces", func() float64 { _, n := r.targets.CountWaiting(); return float64(n) })
	r.options.Meter.Gauge("jv_relay_config_version", func() float64 {
		if t := r.table.Load(); t != nil {
			return float64(t.Version())
		}
		return 0
	})
	for result, count := range map[string]func(c StopCounts) int64{
		"taken":   func(c StopCounts) int64 { return c.Taken },
		"late":    func(c StopCounts) int64 { return c.Late },
		"whole":   func(c StopCounts) int64 { return c.Whole },
		"refused": func(c StopCounts) int64 { return c.Refused },
		"cut":     func(c StopCounts) int64 { return c.Cut },
		"failed":  func(c StopCounts) int64 { return c.Failed },
	} {
		r.options.Meter.Gauge(fmt.Sprintf("jv_relay_stop_requests{result=%q}", result), func() float64 { return float64(count(r.StopCounts())) })
	}
}
