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
	span := max(0, uptime-time.Duration(e.Stamp))
	return e.Base + e.Size + int64(float64(e.Rate)*span.Seconds()) + spread(e.Rate, e.Size, span)
}
