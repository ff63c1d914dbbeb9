package jvtarget

import "time"

// Bounds of the pause after failures of a target.
const (
	minPause = 200 * time.Millisecond
	maxPause = 10 * time.Second
	// waitableFailures is the number of failures in a row up to which requests wait for a target.
	waitableFailures = 3
)

// health excludes a target that does not respond from selection, for a pause that doubles with
// each failure in a row. After the pause, one request probes the target.
type health struct {
	// failures counts the failures in a row.
	failures    int
	pausedUntil time.Time
	// failedAt is when the latest failure was noticed.
	failedAt time.Time
	probing  bool
	// refusal is set while the target refuses connections.
	refusal *refusal
}

func (h *health) usable(now time.Time) bool {
	return h.refusal == nil && (h.failures == 0 || (!now.Before(h.pausedUntil) && !h.probing))
}

func (h *health) selected() { h.probing = h.failures > 0 }

func (h *health) succeeded() { *h = health{} }

func (h *health) failed(now time.Time) {
	pause := minPause << min(h.failures, 10)
	h.failures++
	h.failedAt = now
	h.probing = false
	h.pausedUntil = now.Add(min(pause, maxPause))
}

// silent records the silence that an attempt met which began at a time. It is no further failure if the attempt was in
// progress at the latest one.
func (h *health) silent(startedAt, now time.Time) {
	if h.failures == 0 || startedAt.After(h.failedAt) {
		h.failed(now)
		return
	}
	h.probing = false
}

// worthWaiting reports whether requests should wait for the target to become usable again.
func (h *health) worthWaiting(now time.Time) bool {
	if h.refusal != nil {
		return now.Sub(h.refusal.since) < waitableRefusal
	}
	return h.failures <= waitableFailures
}
