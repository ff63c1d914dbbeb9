package jvlink

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Options are what a Link is built from.
type Options struct {
	// Capacity is what the link carries in each direction, in bytes a second; 0 is unknown, and
	// then the link never counts as crowded.
	Capacity float64
	Timer    *jvtimer.Service
	Logger   logr.Logger
	// EnterShare and Leave are the shares of the capacity at which the link begins and ends to count
	// as crowded. Headers of packets are not counted.
	EnterShare float64
	LeaveShare float64
	// MinHold is how long a link counts as crowded at least.
	MinHold time.Duration
}

// DefaultOptions returns options with all numbers set.
func DefaultOptions() Options {
	return Options{
		Logger: logr.Discard(),
		EnterShare:  0.6,             // On a full link calls of the store time out, and the router is without budgets.
		LeaveShare:  0.3,             // Callers that come back fill the link again.
		MinHold:   5 * time.Second, // The balancer takes two to send callers elsewhere.
	}
}

// step is the pause between two measurements, memory the time over which use is averaged:
// shorter than the second in which the balancer asks for readiness.
const (
	step   = 200 * time.Millisecond
	memory = 800 * time.Millisecond
)

// Link is the use of one machine's link by this process. It is safe for concurrent use.
type Link struct {
	options      Options
	in           atomic.Int64
	out          atomic.Int64
	crowded      atomic.Bool
	subscription *jvtimer.Subscription

	// mu guards what the measurements keep.
	mu    sync.Mutex
	at    time.Time
	used  use
	since time.Time
}

// use is a mean in each direction, in bytes a second.
type use struct{ in, out float64 }

// NewLink returns a link that is measured until it is closed.
func NewLink(o Options) *Link {
	l := &Link{options: o, at: o.Timer.Now()}
	l.subscription = o.Timer.Every(step, l.measure)
	return l
}

// Close ends the measurements.
func (l *Link) Close() { l.subscription.Close() }

// Congested tells whether callers are better served by another machine.
func (l *Link) Congested() bool { return l.crowded.Load() }

// Wrap counts what goes over a connection.
func (l *Link) Wrap(c net.Conn) net.Conn { return &conn{Conn: c, link: l} }

// measure takes over what was carried since the last measurement.
func (l *Link) measure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Timer.Now()
	passed := now.Sub(l.at)
	if passed <= 0 {
		return
	}
	l.at = now
	part := min(1, passed.Seconds()/memory.Seconds())
	l.used.in += part * (float64(l.in.Swap(0))/passed.Seconds() - l.used.in)
	l.used.out += part * (float64(l.out.Swap(0))/passed.Seconds() - l.used.out)
	l.judge(now)
}

// judge decides whether the link is crowded; l.mu must be held.
func (l *Link) judge(now time.Time) {
	if l.options.Capacity <= 0 {
		return
	}
	before := l.crowded.Load()
	share := max(l.used.in, l.used.out) / l.options.Capacity
	after := share >= l.options.EnterShare || before && (share > l.options.LeaveShare || now.Sub(l.since) < l.options.MinHold)
	if after == before {
		return
	}
	l.crowded.Store(after)
	l.since = now
	l.options.Logger.Info("link", "crowded", after, "in", int64(l.used.in), "out", int64(l.used.out), "capacity", int64(l.options.Capacity))
}
