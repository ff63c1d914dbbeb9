package jvgrant

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the moving mean: long enough for a few requests of a small
// workspace, short enough to follow a burst within the duration of a network partition.
const demandTimeConstant = 5 * time.Second

// demand is a moving mean of what callers of one workspace request.
type demand struct {
	requested int64 // Tokens requested since the last update.
	// mean is in tokens per second, and too low until weight, which rises from 0, is close to 1.
	mean   float64
	weight float64
	// requestSize is the mean size of a request in tokens.
	requestSize float64
}

// add counts a request's worst case in tokens.
func (d *demand) add(tokens int64) {
	d.requested += tokens
	if d.requestSize == 0 {
		d.requestSize = float64(tokens)
		return
	}
	const newestWeight = 0.1
	d.requestSize += newestWeight * (float64(tokens) - d.requestSize)
}

// subtractUnused subtracts the tokens of a request's worst case that it did not use.
func (d *demand) subtractUnused(tokens int64) { d.requested -= tokens }

// newDemand returns a demand with the rate and request size that an earlier process published.
func newDemand(rate, size int64) *demand {
	if rate == 0 {
		return &demand{}
	}
	return &demand{mean: float64(rate), weight: 1, requestSize: float64(size)}
}

// update applies the requests since the last update to the mean.
func (d *demand) update(elapsed time.Duration) {
	if elapsed <= 0 || (d.weight == 0 && d.requested == 0) {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	d.mean = max(0, d.mean*keep+(1-keep)*float64(d.requested)/elapsed.Seconds())
	d.weight = d.weight*keep + (1 - keep)
	d.requested = 0
}

// rate returns the mean in tokens per second, corrected for the short time since the first request.
func (d *demand) rate() int64 {
	if d.weight == 0 {
		return 0
	}
	return int64(d.mean / max(d.weight, 0.3))
}

// The headroom of a bound, in typical requests and in seconds of demand, covers the requests that
// arrive between two statements. It is small enough that restarts lose little of a budget of which
// many routers each use a small part.
const (
	minHeadroomRequests = 1.5
	maxHeadroomRequests = 5
	headroomSeconds     = 0.8
)

func (d *demand) headroom(rate int64) int64 {
	return int64(max(minHeadroomRequests*d.requestSize, min(maxHeadroomRequests*d.requestSize, headroomSeconds*float64(rate))))
}

// typicalRequest returns the mean size of a request in tokens.
func (d *demand) typicalRequest() int64 { return int64(d.requestSize) }
