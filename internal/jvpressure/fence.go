package jvpressure

import (
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// FenceOptions configure a Fence.
type FenceOptions struct {
	// Uptime returns the time since the machine booted.
	Uptime func() time.Duration
	// MaxAge is the age up to which the knowledge of a topic may be used whatever the reason; 0 is no bound.
	MaxAge time.Duration
	// Stalled returns how long the process has handled no events since an uptime.
	Stalled func(since time.Duration) time.Duration
}

// Fence keeps the age of what is known of a topic, and whether the process itself is the reason that it is old. Knowledge
// that is old since the topic can't be reached is used on; knowledge that is old since this process did not
// read, while others did, is not. It is safe for concurrent use.
type Fence struct {
	options FenceOptions

	mu sync.Mutex
	// asOf is when the topic had only what is known, known whether it was ever read.
	asOf  time.Duration
	known bool
	// outsideAt is the end of the latest read that failed for a reason outside of this process, and for which this
	// process was not late; failedAt is the end of the latest one for which it was, or had no descriptor.
	outsideAt time.Duration
	failedAt  time.Duration
}

// NewFence returns a fence of a topic that has not been read.
func NewFence(o FenceOptions) *Fence { return &Fence{options: o} }

// Record records the end of a read.
func (f *Fence) Record(r Read) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case r.Err == nil:
		f.asOf = max(f.asOf, r.asOf())
		f.known = true
	case jvfault.KindOf[Kind](r.Err).Own():
		f.failedAt = r.EndedAt
	default:
		f.outsideAt = r.EndedAt
	}
}

// Age returns the time since the topic had only what is known, and false if it was never read.
func (f *Fence) Age() (time.Duration, bool) {
	now := f.options.Uptime()
	f.mu.Lock()
	defer f.mu.Unlock()
	return now - f.asOf, f.known
}

// Late reports whether what is known is older than MaxAge and the reason is this process: a read failed for want of a
// resource, or the process was stalled for a part of MaxAge, and no read since has failed for another reason.
func (f *Fence) Late() bool {
	if f.options.MaxAge == 0 {
		return false
	}
	now := f.options.Uptime()
	f.mu.Lock()
	late := f.known && now-f.asOf > f.options.MaxAge
	since := max(f.asOf, f.outsideAt)
	failed := f.failedAt > since
	f.mu.Unlock()
	return late && (failed || float64(f.options.Stalled(since)) >= ownDelayShare*float64(f.options.MaxAge))
}

// Missed reports whether the process has stalled since the topic had only what is known. Events that it handles now may be
// older than changes of the topic that it has not read yet.
func (f *Fence) Missed() bool {
	if f.options.Stalled == nil {
		return false
	}
	f.mu.Lock()
	asOf := f.asOf
	f.mu.Unlock()
	return f.options.Stalled(asOf) > 0
}
