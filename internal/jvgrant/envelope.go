package jvgrant

import (
	"math"
	"time"
)

// Envelope bounds what a router spends of one budget while nobody hears of it, in tokens. A
// router that starts anew knows by it what the start before can have spent at most: the rest
// of its grant is not lost.
type Envelope struct {
	_ struct{} `cbor:",toarray"`
	// Base is what was spent or reserved at Stamp, the machine's uptime in nanoseconds.
	Base  int64
	Stamp int64
	// Clock is the time of day at Stamp, in Unix milliseconds.
	Clock int64
	// Rate is the spending allowed from then on, in tokens a second, Size a typical request.
	Rate int64
	Size int64
}

// swing is how many standard deviations of random demand the bound leaves room for.
const swing = 2

// spread returns the room for random swings of a demand over a time: requests of one size
// that come at random vary by the square root of their number.
func spread(rate, size int64, span time.Duration) int64 {
	return int64(swing * math.Sqrt(float64(rate)*span.Seconds()*float64(size)))
}

// Limit returns the most that may be spent or reserved at an uptime.
func (e Envelope) Limit(uptime time.Duration) int64 {
	return e.after(max(0, uptime-time.Duration(e.Stamp)))
}

// Most restarts take less than calm, and what a bound allows over a restart is lost: until
// then it allows only a part of mean demand, beyond it all of that with room for growth.
const (
	calm      = 1750 * time.Millisecond
	calmShare = 0.7
	growth    = 0.25
)

func (e Envelope) after(span time.Duration) int64 {
	mean := float64(e.Rate) * span.Seconds()
	if span <= calm {
		return e.Base + e.Size + int64(calmShare*mean)
	}
	long := span - calm
	return e.Base + e.Size + int64(mean+growth*float64(e.Rate)*long.Seconds()) + spread(e.Rate, e.Size, long)
}

// clockGuard is the most by which the time of day may be set back between a record and the
// next start of its machine. Steps of up to 2.4 s have been seen on the users' machines.
const clockGuard = 3 * time.Second

// Moment is a point in time as one machine tells it.
type Moment struct {
	// Boot names the start of the machine that Uptime counts from.
	Boot   string
	Uptime time.Duration
	// Clock is the time of day, which may jump.
	Clock time.Time
}

// silence returns the most time that can have passed from the envelope's stamp to a moment of
// the same machine. After a new start of the machine only the time of day tells; ok is false
// where it can't be right.
func (e Envelope) silence(boot string, m Moment) (d time.Duration, ok bool) {
	uptime := m.Uptime - time.Duration(e.Stamp)
	clock := m.Clock.Sub(time.UnixMilli(e.Clock))
	if boot != "" && boot == m.Boot && uptime >= 0 && (uptime-clock).Abs() <= clockGuard {
		return uptime, true
	}
	return max(clock, 0) + clockGuard, clock >= -clockGuard
}

// Differences between clocks that were not set while their machines ran.
const (
	// clockSkew is what such clocks differ by at most.
	clockSkew = 100 * time.Millisecond
	// clockStep is below the least step by which clocks are set; smaller differences are
	// smoothed away instead.
	clockStep = time.Second
)

// refine returns this machine's own measure of the silence where it agrees with the bound
// that other routers' clocks give, which is the longer by the pauses between their records.
func (e Envelope) refine(m Moment, bound time.Duration) time.Duration {
	own := m.Clock.Sub(time.UnixMilli(e.Clock))
	if own >= 0 && own <= bound && bound-own < clockStep {
		return min(bound, own+clockSkew)
	}
	return bound
}
