package jvtarget

import "time"

// Pauses after failed connections to a target.
const (
	healthLeast = 200 * time.Millisecond
	healthMost  = 10 * time.Second
	// hopeful is the number of failures in a row up to which requests wait for the target.
	hopeful = 3
)

// health keeps a target that does not answer out of the choice, a little longer after each
// failure in a row; when the pause is over, one request tries it.
type health struct {
	failures int
	until    time.Time
	probing  bool
}

func (h *health) usable(now time.Time) bool {
	return h.failures == 0 || (!now.Before(h.until) && !h.probing)
}

func (h *health) chosen() { h.probing = h.failures > 0 }

func (h *health) worked() { *h = health{} }

func (h *health) failed(now time.Time) {
	pause := healthLeast << min(h.failures, 10)
	h.failures++
	h.probing = false
	h.until = now.Add(min(pause, healthMost))
}

// soon tells whether the target is worth waiting for.
func (h *health) soon() bool { return h.failures <= hopeful }
