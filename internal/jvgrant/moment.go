package jvgrant

import "time"

// ClockReading is a point in time as one machine tells it.
type ClockReading struct {
	// BootID names the start of the machine that Uptime counts from.
	BootID string
	Uptime time.Duration
	// WallClock is the time of day, which may jump.
	WallClock time.Time
}

// Differences between clocks.
const (
	// clockGuard is the most by which the time of day may be set back between a statement and
	// the next start of its machine. Steps of up to 2.4 s have been seen on the users' machines.
	clockGuard = 3 * time.Second
	// clockSkew is what clocks differ by at most that were not set while their machines ran.
	clockSkew = 100 * time.Millisecond
	// clockStep is below the least step by which clocks are set; smaller differences are
	// smoothed away instead.
	clockStep = time.Second
)

// silence returns the most time that can have passed from a statement to a moment of the same
// machine. After a new start of the machine only the time of day tells; ok is false where it
// can't be right.
func (s Statement) silence(m ClockReading) (d time.Duration, ok bool) {
	uptime := m.Uptime - time.Duration(s.UptimeNanos)
	clock := m.WallClock.Sub(time.UnixMilli(s.ClockUnixMilli))
	if s.BootID != "" && s.BootID == m.BootID && uptime >= 0 && (uptime-clock).Abs() <= clockGuard {
		return uptime, true
	}
	return max(clock, 0) + clockGuard, clock >= -clockGuard
}

// refine returns this machine's own measure of the silence where it agrees with the bound
// that other routers' clocks give, which is the longer by the pauses between their statements.
func (s Statement) refine(m ClockReading, bound time.Duration) time.Duration {
	own := m.WallClock.Sub(time.UnixMilli(s.ClockUnixMilli))
	if own >= 0 && own <= bound && bound-own < clockStep {
		return min(bound, own+clockSkew)
	}
	return bound
}
