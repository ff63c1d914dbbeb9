package jvgrant

import (
	"math"
	"time"
)

// swing is how many standard deviations of random demand a bound leaves room for.
const swing = 2

// spread returns the room for random swings of a demand over a time: requests of one size
// that come at random vary by the square root of their number.
func spread(rate, size int64, span time.Duration) int64 {
	return int64(swing * math.Sqrt(float64(rate)*span.Seconds()*float64(size)))
}

// Most restarts take less than calm, and what a bound allows over a restart is lost: until
// then it allows only a part of mean demand, beyond it all of that with room for growth.
const (
	calm      = 1000 * time.Millisecond
	calmShare = 1.0
	growth    = 0.25
)

// after returns the bound on spending a time after the statement was made.
func (r Row) after(span time.Duration) int64 {
	mean := float64(r.BoundRate) * span.Seconds()
	if span <= calm {
		return r.Committed + r.Headroom + int64(calmShare*mean)
	}
	long := span - calm
	return r.Committed + r.Headroom + int64(mean+growth*float64(r.BoundRate)*long.Seconds()) + spread(r.BoundRate, r.Headroom, long)
}
