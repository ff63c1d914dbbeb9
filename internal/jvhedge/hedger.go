package jvhedge

import (
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvretry"
)

// Reason is why no extra attempt is sent, or empty if one is.
type Reason string

// Reasons for not sending an extra attempt.
const (
	// ReasonStopping means that the router stops.
	ReasonStopping Reason = "stopping"
	// ReasonLoaded means that the target pool has requests waiting or few free slots.
	ReasonLoaded Reason = "loaded"
	// ReasonUnknown means that too few answer times of the route are known.
	ReasonUnknown Reason = "unknown"
	// ReasonSlow means that most targets are as slow.
	ReasonSlow Reason = "slow"
	// ReasonLimit means that the pool's limit of extra attempts is used up.
	ReasonLimit Reason = "limit"
)

// maxBusyShare is the share of a pool's slots that may be busy: beyond it extra attempts delay other requests.
const maxBusyShare = 0.7

// maxSaved is the number of extra attempts that a pool saves. It is the least with which one can be sent, so that the limit
// holds in any window but for one attempt.
const maxSaved = 1

// Options configure a Hedger.
type Options struct {
	// Share is the number of extra attempts for each request of a pool; 0 is none.
	Share float64
	// MinDelay is how long an attempt may take at least before an extra one is sent.
	MinDelay time.Duration
}

// Pool is the state of a target pool.
type Pool struct {
	Name string
	// Waiting is the number of requests that wait for a slot.
	Waiting int
	Busy    int64
	Slots   int64
}

// loaded reports whether extra attempts would delay other requests.
func (p Pool) loaded() bool {
	return p.Waiting > 0 || float64(p.Busy) > maxBusyShare*float64(p.Slots)
}

// Hedger decides on extra attempts by the answer times that it has seen. It is safe for concurrent use.
type Hedger struct {
	options Options

	mu     sync.Mutex
	routes map[string]*route
	limits map[string]*jvretry.Budget
}

// New returns a hedger that knows no answer times.
func New(o Options) *Hedger {
	return &Hedger{options: o, routes: map[string]*route{}, limits: map[string]*jvretry.Budget{}}
}

// Earn counts a request of a pool.
func (h *Hedger) Earn(pool string) { h.limit(pool).Earn() }

// Refund takes back an extra attempt that Decide allowed and that was not sent.
func (h *Hedger) Refund(pool string) { h.limit(pool).Refund() }

func (h *Hedger) limit(pool string) *jvretry.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.limits[pool]
	if b == nil {
		b = jvretry.NewBudgetWith(h.options.Share, maxSaved, 0)
		h.limits[pool] = b
	}
	return b
}

// Begin records that an attempt of a route is sent to a target. End must be called once.
func (h *Hedger) Begin(routeName, target string, now time.Time) *Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.routes[routeName]
	if r == nil {
		r = &route{attempts: map[*Attempt]struct{}{}}
		h.routes[routeName] = r
	}
	a := &Attempt{route: routeName, target: target, sentAt: now}
	a.delay, a.risen, a.known = r.delay(target)
	a.delay = max(a.delay, h.options.MinDelay)
	r.attempts[a] = struct{}{}
	return a
}

// End records that an attempt is over; answered is true if its target has answered it. An attempt that failed early says
// nothing about the time that answers take.
func (h *Hedger) End(a *Attempt, now time.Time, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.routes[a.route]
	delete(r.attempts, a)
	took := now.Sub(a.sentAt)
	if answered || took >= a.delay {
		r.add(answer{target: a.target, sentAt: a.sentAt, took: took, arrived: answered})
	}
}

// Decide reports whether an extra attempt may be sent for one whose delay has passed, and takes it out of the limit then.
// Otherwise it returns the reason.
func (h *Hedger) Decide(a *Attempt, now time.Time, p Pool, stopping bool) (Reason, bool) {
	h.mu.Lock()
	reason := h.refusal(a, now, p, stopping)
	h.mu.Unlock()
	if reason == "" && !h.limit(p.Name).Spend() {
		reason = ReasonLimit
	}
	return reason, reason == ""
}

// refusal returns why no extra attempt may be sent, but for the limit; h.mu must be held.
func (h *Hedger) refusal(a *Attempt, now time.Time, p Pool, stopping bool) Reason {
	switch {
	case stopping:
		return ReasonStopping
	case p.loaded():
		return ReasonLoaded
	case !a.known:
		return ReasonUnknown
	case a.risen, h.routes[a.route].mostSlow(a, now):
		return ReasonSlow
	}
	return ""
}
