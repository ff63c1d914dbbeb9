package jvgrant

import (
	"math"
	"time"
)

// demandDeviations is the number of standard deviations of random demand that demandMargin covers.
const demandDeviations = 2

// demandMargin returns the tokens to allow for random variation of a demand over a time: the
// number of requests of one size that arrive at random varies by the square root of that number.
// The rate is in tokens per second, the size in tokens per request.
func demandMargin(rate, size int64, span time.Duration) int64 {
	return int64(demandDeviations * math.Sqrt(float64(rate)*span.Seconds()*float64(size)))
}

// The tokens that a bound allows during a restart count as lost, and most restarts take less than
// shortRestart. Up to that time a bound therefore rises only by shortRestartShare of the mean demand.
// Beyond it, the bound rises by all of the mean demand, by growthShare of it for growing demand, and
// by a margin for random variation.
const (
	shortRestart      = 1000 * time.Millisecond
	shortRestartShare = 1.0
	growthShare       = 0.25
)

// boundAfter returns the bound on spending, in tokens, at a time after the statement was created.
func (r Row) boundAfter(span time.Duration) int64 {
	mean := float64(r.BoundRate) * span.Seconds()
	if span <= shortRestart {
		return r.Committed + r.Headroom + int64(shortRestartShare*mean)
	}
	long := span - shortRestart
	return r.Committed + r.Headroom + int64(mean+growthShare*float64(r.BoundRate)*long.Seconds()) + demandMargin(r.BoundRate, r.Headroom, long)
}
