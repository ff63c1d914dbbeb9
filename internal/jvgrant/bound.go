package jvgrant

import (
	"math"
	"time"
)

// demandDeviations is how many standard deviations of random demand a bound leaves room for.
const demandDeviations = 2

// demandMargin returns the tokens to allow for random variation of a demand over a time: the
// number of requests of one size that arrive at random varies by the square root of that number.
func demandMargin(rate, size int64, span time.Duration) int64 {
	return int64(demandDeviations * math.Sqrt(float64(rate)*span.Seconds()*float64(size)))
}

// Most restarts take less than shortRestart, and what a bound allows during a restart is lost. Up
// to that time a bound therefore rises by shortRestartShare of the mean demand, without a margin; beyond
// it, by all of the mean demand with a margin for growth and random variation.
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
