package jvgrant

import "time"

// ClockReading is a point in time on the clocks of one machine.
type ClockReading struct {
	// BootID identifies the boot of the machine that Uptime counts from.
	BootID string
	Uptime time.Duration
	// WallClock is the time of day, which may jump.
	WallClock time.Time
}

// Differences between clocks.
const (
	// maxClockSetback is the maximum amount by which the wall clock may be set back between a
	// statement and the next start of its machine. Steps of up to 2.4 s have been seen on the
	// platform's machines.
	maxClockSetback = 3 * time.Second
	// maxClockSkew is the maximum difference between clocks that were not set while their machines
	// ran.
	maxClockSkew = 100 * time.Millisecond
	// minClockStep is a lower bound on the steps by which clocks are set; smaller differences are
	// slewed instead.
	minClockStep = time.Second
)

// maxSilence returns the longest time that can have passed from a statement to a reading of the
// same machine's clocks. After a reboot only the wall clock shows it; ok is false where the wall
// clock can't be right.
func (s Statement) maxSilence(c ClockReading) (d time.Duration, ok bool) {
	uptime := c.Uptime - time.Duration(s.UptimeNanos)
	clock := c.WallClock.Sub(time.UnixMilli(s.ClockUnixMilli))
	if s.BootID != "" && s.BootID == c.BootID && uptime >= 0 && (uptime-clock).Abs() <= maxClockSetback {
		return uptime, true
	}
	return max(clock, 0) + maxClockSetback, clock >= -maxClockSetback
}

// refineSilence returns the silence by this machine's own wall clock if that agrees with the bound
// from other routers' clocks, and the bound otherwise. The bound is longer than the silence by the
// pauses between the other routers' statements.
func (s Statement) refineSilence(c ClockReading, bound time.Duration) time.Duration {
	own := c.WallClock.Sub(time.UnixMilli(s.ClockUnixMilli))
	if own >= 0 && own <= bound && bound-own < minClockStep {
		return min(bound, own+maxClockSkew)
	}
	return bound
}
