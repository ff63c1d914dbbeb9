package jvlink

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Options configure a Link.
type Options struct {
	// Capacity is the link's capacity in each direction, in bytes per second; with 0 it is unknown,
	// and the link never counts as congested.
	Capacity float64
	Timer    *jvtimer.Service
	Logger   logr.Logger
	// The link counts as congested from a use of EnterShare of the capacity until the use falls to
	// LeaveShare. Packet headers are not counted.
	EnterShare float64
	LeaveShare float64
	// MinHold is the minimum time for which a link counts as congested. It doubles, up to MaxHold, each time that the
	// link is congested again within the time of its last hold: the callers that came back are too many for it.
	MinHold time.Duration
	MaxHold time.Duration
}

// DefaultOptions returns options with defaults for all numbers but the capacity.
func DefaultOptions() Options {
	return Options{
		Logger:     logr.Discard(),
		EnterShare: 0.6,             // On a full link, calls to the store time out, which leaves the router without budgets.
		LeaveShare: 0.3,             // Well below EnterShare, since callers that return load the link again.
		MinHold:    5 * time.Second, // The load balancer takes 2 s to send callers elsewhere.
		MaxHold:    time.Minute,
	}
}

// measureInterval is the interval between two measurements, averagingTime the time over which
// rates are averaged: less than the second between two readiness polls of the load balancer.
const (
	measureInterval = 200 * time.Millisecond
	averagingTime   = 800 * time.Millisecond
)

// Link measures this process's use of its machine's network link. It is safe for concurrent use.
type Link struct {
	options      Options
	in           atomic.Int64
	out          atomic.Int64
	congested    atomic.Bool
	subscription *jvtimer.Subscription

	// mu guards the fields below.
	mu sync.Mutex
	// measuredAt is the time of the last measurement.
	measuredAt time.Time
	rates      rates
	// changedAt is when congested last changed, hold is the minimum time of the last congestion.
	changedAt time.Time
	hold      time.Duration
}

// rates are the mean rates in each direction, in bytes per second.
type rates struct{ in, out float64 }

// NewLink returns a link that is measured until it is closed.
func NewLink(o Options) *Link {
	l := &Link{options: o, measuredAt: o.Timer.Now()}
	l.subscription = o.Timer.Every(measureInterval, l.measure)
	return l
}

// Close ends the measurements.
func (l *Link) Close() { l.subscription.Close() }

// Congested reports whether callers are better served by another machine.
func (l *Link) Congested() bool { return l.congested.Load() }

// Wrap returns a connection whose bytes are counted.
func (l *Link) Wrap(c net.Conn) net.Conn { return &conn{Conn: c, link: l} }

// measure updates the mean rates with the bytes since the last measurement.
func (l *Link) measure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Timer.Now()
	elapsed := now.Sub(l.measuredAt)
	if elapsed <= 0 {
		return
	}
	l.measuredAt = now
	weight := min(1, elapsed.Seconds()/averagingTime.Seconds())
	l.rates.in += weight * (float64(l.in.Swap(0))/elapsed.Seconds() - l.rates.in)
	l.rates.out += weight * (float64(l.out.Swap(0))/elapsed.Seconds() - l.rates.out)
	l.updateCongested(now)
}

// updateCongested decides whether the link is congested; l.mu must be held.
func (l *Link) updateCongested(now time.Time) {
	if l.options.Capacity <= 0 {
		return
	}
	before := l.congested.Load()
	share := max(l.rates.in, l.rates.out) / l.options.Capacity
	after := share >= l.options.EnterShare || before && (share > l.options.LeaveShare || now.Sub(l.changedAt) < l.hold)
	if after == before {
		return
	}
	if after && now.Sub(l.changedAt) < l.hold {
		l.hold = min(2*l.hold, l.options.MaxHold)
	} else if after {
		l.hold = l.options.MinHold
	}
	l.congested.Store(after)
	l.changedAt = now
	l.options.Logger.Info("link", "crowded", after, "in", int64(l.rates.in), "out", int64(l.rates.out), "capacity", int64(l.options.Capacity))
}
