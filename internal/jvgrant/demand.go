package jvgrant

import (
	"math"
	"time"
)

// demandMemory is the time over which demand is averaged: long enough for a few requests of
// a small workspace, short enough to follow a burst within a partition's length.
const demandMemory = 5 * time.Second

// demand is a moving mean of what callers of one workspace ask for.
type demand struct {
	asked  int64 // Tokens asked for since the last step.
	mean   float64
	weight float64
	size   float64
}

// ask notes a request's worst case in tokens.
func (d *demand) ask(tokens int64) {
	d.asked += tokens
	if d.size == 0 {
		d.size = float64(tokens)
		return
	}
	const newest = 0.1
	d.size += newest * (float64(tokens) - d.size)
}

// spare notes that a request used less than its worst case, in tokens.
func (d *demand) spare(tokens int64) { d.asked -= tokens }

// newDemand returns the demand that an earlier start knew.
func newDemand(rate, size int64) *demand {
	if rate == 0 {
		return &demand{}
	}
	return &demand{mean: float64(rate), weight: 1, size: float64(size)}
}

// step moves the mean on by the time that has passed.
func (d *demand) step(passed time.Duration) {
	if passed <= 0 || (d.weight == 0 && d.asked == 0) {
		return
	}
	keep := math.Exp(-passed.Seconds() / demandMemory.Seconds())
	d.mean = max(0, d.mean*keep+(1-keep)*float64(d.asked)/passed.Seconds())
	d.weight = d.weight*keep + (1 - keep)
	d.asked = 0
}

// rate returns the mean in tokens a second, corrected for a short past.
func (d *demand) rate() int64 {
	if d.weight == 0 {
		return 0
	}
	return int64(d.mean / max(d.weight, 0.3))
}

// Room that a bound leaves at once, in typical requests and in seconds of demand: enough for
// the requests that come between two statements, and little enough that a budget on which many
// routers draw a little does not lose much with a restart.
const (
	leastRoom = 1.5
	mostRoom  = 5
	roomTime  = 0.8
)

func (d *demand) room(rate int64) int64 {
	return int64(max(leastRoom*d.size, min(mostRoom*d.size, roomTime*float64(rate))))
}

// typical returns the size of a request in tokens.
func (d *demand) typical() int64 { return int64(d.size) }
