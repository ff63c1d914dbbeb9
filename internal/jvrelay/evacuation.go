package jvrelay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvtarget"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// evacuations are the availability zones that the operator has evacuated. While the log is unavailable, those that were
// read last stay in force. It is safe for concurrent use.
type evacuations struct {
	timer   *jvtimer.Service
	logger  logr.Logger
	targets *jvtarget.Table
	// grace is how long an evacuation stays in force that is missing from an earlier copy of the log.
	grace time.Duration
	// hasTargets reports whether a target is known in a zone.
	hasTargets func(zone string) bool

	mu sync.Mutex
	// zones are the evacuated zones, each with the time at which its evacuation ends, or the zero time if none is set.
	zones map[string]time.Time
}

func newEvacuations(o Options, targets *jvtarget.Table, hasTargets func(string) bool) *evacuations {
	return &evacuations{
		timer: o.Timer, logger: o.Logger, targets: targets, grace: o.ReconnectGrace, hasTargets: hasTargets,
		zones: map[string]time.Time{},
	}
}

// update applies changes: true evacuates a zone, false revokes its evacuation. If complete is true, the zones that are
// not in changes are not evacuated.
func (e *evacuations) update(changes map[string]bool, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for zone, evacuated := range changes {
		if evacuated {
			e.begin(zone)
			continue
		}
		e.end(zone, "revoked")
	}
	if complete {
		for zone := range e.zones {
			if !changes[zone] {
				e.end(zone, "not listed")
			}
		}
	}
	e.apply()
}

// renew applies the evacuations of a log that came back from an earlier copy of itself. The operator writes again what
// the copy lacks.
func (e *evacuations) renew(listed map[string]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	due := e.timer.Now().Add(e.grace)
	for zone, end := range e.zones {
		if !listed[zone] && end.IsZero() {
			e.zones[zone] = due
			e.logger.Info("evacuation missing", "zone", zone, "kept", e.grace.String())
		}
	}
	for zone, evacuated := range listed {
		if evacuated {
			e.begin(zone)
		}
	}
	e.apply()
}

// expire ends the evacuations that were not written again in time.
func (e *evacuations) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, ended := e.timer.Now(), false
	for zone, due := range e.zones {
		if !due.IsZero() && !now.Before(due) {
			e.end(zone, "not written again in time")
			ended = true
		}
	}
	if ended {
		e.apply()
	}
}

// begin evacuates a zone; e.mu must be held.
func (e *evacuations) begin(zone string) {
	if _, ok := e.zones[zone]; !ok {
		e.logger.Info("zone evacuated", "zone", zone, "targets", e.hasTargets(zone))
	}
	e.zones[zone] = time.Time{}
}

// end takes a zone back into service; e.mu must be held.
func (e *evacuations) end(zone, reason string) {
	if _, ok := e.zones[zone]; ok {
		delete(e.zones, zone)
		e.logger.Info("zone in service again", "zone", zone, "why", reason)
	}
}

// apply makes the table of targets use the evacuated zones; e.mu must be held.
func (e *evacuations) apply() { e.targets.SetEvacuated(slices.Collect(maps.Keys(e.zones))) }

// list returns the evacuated zones in order.
func (e *evacuations) list() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.zones))
}

// UpdateEvacuations applies changes to the evacuated availability zones: true evacuates a zone, false revokes that. If
// complete is true, zones that are not in changes are in service.
func (r *Relay) UpdateEvacuations(changes map[string]bool, complete bool) {
	r.evacuations.update(changes, complete)
}

// RenewEvacuations applies all evacuations of a log that came back from an earlier copy of itself. One that it lacks
// stays in force for the grace period.
func (r *Relay) RenewEvacuations(listed map[string]bool) { r.evacuations.renew(listed) }
