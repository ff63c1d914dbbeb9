package jvlink

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Options configure a Link.
type Options struct {
	// Capacity is the link's capacity in each direction, in bytes per second; with 0 it is unknown,
	// and the link never counts as congested.
	Capacity float64
	Timer    *jvtimer.Service
	Logger   logr.Logger
	// Random returns a number in [0, 1).
	Random func() float64
	// The link counts as congested from a use of EnterShare of the capacity until the use falls to
	// LeaveShare. Packet headers are not counted.
	EnterShare float64
	LeaveShare float64
	// SaturatedShare is the use over two measurements from which on the link counts as congested, or 0.
	SaturatedShare float64
	// CarryShare is the largest use at which the workspaces that congested the link may come back.
	CarryShare float64
	// MinHold is the minimum time for which a link counts as congested. It doubles, up to MaxHold, each time that the
	// link is congested again within the time of its last hold: the callers that came back are too many for it.
	MinHold time.Duration
	MaxHold time.Duration
}

// DefaultOptions returns options with defaults for all numbers but the capacity.
func DefaultOptions() Options {
	return Options{
		Logger:         logr.Discard(),
		Random:         func() float64 { return 0 },
		EnterShare:     0.6,             // On a full link, calls to the store time out, which leaves the router without budgets.
		LeaveShare:     0.3,             // Well below EnterShare, since callers that return load the link again.
		SaturatedShare: 0.85,            // Above the bursts that a link carries without delay.
		CarryShare:     0.5,             // Below EnterShare, so that a rate between the two changes nothing.
		MinHold:        5 * time.Second, // The load balancer takes 2 s to send callers elsewhere.
		MaxHold:        time.Minute,
	}
}

// measureInterval is the interval between two measurements, averagingTime the time over which
// rates are averaged: less than the second between two readiness polls of the load balancer.
const (
	measureInterval = 200 * time.Millisecond
	averagingTime   = 800 * time.Millisecond
)

// minRetryAfter and maxRetryAfter are the limits of the delay after which a caller that is refused for the link should try
// again. It reaches another router then.
const (
	minRetryAfter = 15 * time.Millisecond
	maxRetryAfter = 45 * time.Millisecond
)

// Zone is how a router exchanges reports with the others of its availability zone.
type Zone struct {
	Self jvmember.Member
	// Others returns the other routers of the fleet.
	Others func() []jvmember.Member
	// Send sends a message to another router; it may be lost.
	Send func(to jvmember.Member, message []byte)
}

// Link measures this process's use of its machine's network link. It is safe for concurrent use.
type Link struct {
	options      Options
	in           atomic.Int64
	out          atomic.Int64
	congested    atomic.Bool
	unready      atomic.Bool
	pace         pace
	subscription *jvtimer.Subscription

	// mu guards the fields below.
	mu     sync.Mutex
	policy *policy
	zone   *Zone
}

// rates are rates in each direction, in bytes per second.
type rates struct{ in, out float64 }

// max returns the higher one.
func (r rates) max() float64 { return max(r.in, r.out) }

// NewLink returns a link that is measured until it is closed.
func NewLink(o Options) *Link {
	if o.Random == nil {
		o.Random = func() float64 { return 0 }
	}
	l := &Link{options: o, policy: newPolicy(o, o.Timer.Now()), pace: pace{rate: paceShare * o.Capacity}}
	l.subscription = o.Timer.Every(measureInterval, l.measure)
	return l
}

// Join makes the link exchange reports with the other routers of a zone.
func (l *Link) Join(z Zone) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zone = &z
	l.policy.name = z.Self.Name
}

// Close ends the measurements.
func (l *Link) Close() { l.subscription.Close() }

// Congested reports whether the link is congested, or would be if the callers that congested it came back.
func (l *Link) Congested() bool { return l.congested.Load() }

// Unready reports whether callers are better served by another machine: the link is congested, and enough other routers of
// the zone are ready.
func (l *Link) Unready() bool { return l.unready.Load() }

// Admit counts a request of a workspace, of so many bytes with its body, which has not been read. It reports whether the
// link can carry the request in time, and the delay after which its caller should try again if it can't.
func (l *Link) Admit(workspace string, bytes int64) (retryAfter time.Duration, ok bool) {
	if l.options.Capacity <= 0 {
		return 0, true
	}
	l.mu.Lock()
	ok = l.policy.admit(l.options.Timer.Now(), workspace, bytes)
	l.publish()
	l.mu.Unlock()
	if ok {
		return 0, true
	}
	return minRetryAfter + time.Duration(l.options.Random()*float64(maxRetryAfter-minRetryAfter)), false
}

// Wrap returns a connection whose bytes are counted.
func (l *Link) Wrap(c net.Conn) net.Conn { return &conn{Conn: c, link: l} }

// Pace returns a connection whose bulk writes leave room for other traffic on a slow or congested link.
func (l *Link) Pace(c net.Conn) net.Conn {
	if l.options.Capacity <= 0 {
		return c
	}
	return &pacedConn{Conn: c, link: l, timer: l.options.Timer, closed: make(chan struct{})}
}

// paces reports whether bulk writes are paced now.
func (l *Link) paces() bool { return l.options.Capacity <= maxPacedCapacity || l.Congested() }

// publish makes the policy's decision visible; l.mu must be held.
func (l *Link) publish() {
	l.congested.Store(l.policy.crowded)
	l.unready.Store(l.policy.unready())
}

// measure updates the rates with the bytes since the last measurement, and sends a report if one is due.
func (l *Link) measure() {
	now := l.options.Timer.Now()
	l.mu.Lock()
	zone := l.zone
	var others []jvmember.Member
	l.policy.routers = 1
	if zone != nil {
		others = zone.Others()
		for _, m := range others {
			if m.Zone == zone.Self.Zone {
				l.policy.routers++
			}
		}
	}
	l.policy.measure(now, l.in.Swap(0), l.out.Swap(0))
	l.publish()
	var r Report
	due := false
	if zone != nil {
		r, due = l.policy.report(now, zone.Self.Name, zone.Self.Zone)
	}
	l.mu.Unlock()
	if !due {
		return
	}
	data := jvcodec.Encode(r)
	for _, m := range others {
		if m.Zone == zone.Self.Zone {
			zone.Send(m, data)
		}
	}
}

// Receive handles a report of another router, which gets no reply.
func (l *Link) Receive(data []byte, _ func([]byte)) error {
	r, err := decodeReport(data)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.zone == nil || r.Zone != l.zone.Self.Zone || r.Router == l.zone.Self.Name {
		return nil
	}
	l.policy.receive(l.options.Timer.Now(), r)
	l.publish()
	return nil
}
