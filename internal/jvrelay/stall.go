package jvrelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvroute"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// errStalled ends an attempt whose target is silent while another one may still respond in time.
var errStalled = errors.New("the target was silent for too long")

// How long a target may be silent before a repeatable request is sent to another one.
const (
	// stallLatencyFactor times the route's target latency limits the wait for the beginning of a
	// response: one that takes longer is of little use to the caller, and a queue of that length is
	// rare.
	stallLatencyFactor = 4
	// stallGapFactor times the route's target gap limits the pause between events; callers give
	// up after a pause of eight gaps.
	stallGapFactor = 4
	// minStall is longer than the delay that a lost packet causes.
	minStall = 700 * time.Millisecond
)

// stallPoll is the interval at which a silent target of a begun stream is checked again while no other one would go on.
const stallPoll = 100 * time.Millisecond

// stallTimer cancels an attempt that stalls; without an alarm it does nothing.
type stallTimer struct{ alarm *stallAlarm }

// startStallTimer returns a timer that calls cancel when the attempt stalls, if the request may
// run at another target afterwards.
func (r *Relay) startStallTimer(a *activeRequest, cancel func()) stallTimer {
	if !a.route.Repeatable() || a.possibleRuns+1 >= a.route.MaxAttempts || a.route.TargetLatency == 0 {
		return stallTimer{}
	}
	first, gap := stallTimes(a.route)
	if a.headersSent {
		first = max(first, stallGapFactor*a.route.TargetGap)
	}
	s := &stallAlarm{timer: r.options.Timer, gap: gap, canMove: r.canMove(a), cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alarm = r.options.Timer.Alarm(first, s.fire)
	return stallTimer{alarm: s}
}

// stallTimes returns how long a target may be silent before the beginning of a response and between its events.
func stallTimes(route jvroute.Route) (first, gap time.Duration) {
	return max(stallLatencyFactor*route.TargetLatency, minStall), max(stallGapFactor*route.TargetGap, minStall)
}

// canMove returns a function that reports whether an attempt that begins now may be canceled for another one. A request
// without a response may wait for a target, a begun stream needs one that accepts it at once: the silent target may
// still go on. Targets that are silent, too, are no better: if none has sent anything lately, the request stays.
func (r *Relay) canMove(a *activeRequest) func() bool {
	waiting := jvtarget.Request{Pool: a.pool, Priority: -a.priority, Avoid: append(slices.Clone(a.avoid), a.target), Deadline: a.deadline, Bound: a.bound, Version: a.origin.Version}
	streaming := waiting
	if !a.bound {
		streaming.Bound, streaming.Version = true, a.version
	}
	forwarded, open, target := a.via != "", &a.open, a.target
	first, gap := stallTimes(a.route)
	return func() bool {
		begun := false
		open.update(func(o *openRequest) { begun = o.begun })
		if forwarded { // The other router selects the target.
			return true
		}
		d := first
		if begun {
			d = gap
		}
		silent, answering := r.silentTargets(waiting.Pool, d, target)
		if len(silent) > 0 && !answering {
			return false
		}
		if begun {
			return r.targets.Accepts(streaming.WithAvoided(silent))
		}
		return r.targets.MayAccept(waiting.WithAvoided(silent))
	}
}

// silentTargets returns the targets of a pool, but for one, that have sent nothing in the last half of a time although this
// router waits for them, and reports whether any has sent something. Silences that begin together are noticed by then.
func (r *Relay) silentTargets(pool string, d time.Duration, except string) (silent []string, answering bool) {
	for name, awaited := range r.targets.Awaited(pool, d/2) {
		switch {
		case name == except:
		case r.options.Reach.Answered(name, d/2):
			answering = true
		case awaited:
			silent = append(silent, name)
		}
	}
	return silent, answering
}

// stallAlarm is the alarm of a stallTimer. It is safe for concurrent use.
type stallAlarm struct {
	timer   *jvtimer.Service
	gap     time.Duration
	canMove func() bool
	cancel  func()

	mu      sync.Mutex
	alarm   *jvtimer.Alarm
	resetAt time.Time
	stopped bool
}

// fire checks whether the target is silent once the process has handled what has arrived.
func (s *stallAlarm) fire() { s.timer.AfterTurn(s.check) }

// check cancels the attempt, or checks again later if that would not help.
func (s *stallAlarm) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopped, !s.resetAt.IsZero() && s.timer.Since(s.resetAt) < s.gap:
	case s.canMove():
		s.cancel()
	default:
		s.alarm.Reset(stallPoll)
	}
}

// reset starts the wait for the next event.
func (s stallTimer) reset() {
	if s.alarm == nil {
		return
	}
	s.alarm.mu.Lock()
	defer s.alarm.mu.Unlock()
	s.alarm.resetAt = s.alarm.timer.Now()
	s.alarm.alarm.Reset(s.alarm.gap)
}

func (s stallTimer) stop() {
	if s.alarm == nil {
		return
	}
	s.alarm.mu.Lock()
	defer s.alarm.mu.Unlock()
	s.alarm.stopped = true
	s.alarm.alarm.Stop()
}

// recordMove records that an attempt was canceled since its target was silent. The next one avoids all that are.
func (r *Relay) recordMove(a *activeRequest) {
	a.moved = true
	d, gap := stallTimes(a.route)
	if a.headersSent {
		d = gap
	}
	others, _ := r.silentTargets(a.pool, d, a.target)
	a.silent = append(append(a.silent, a.target), others...)
	a.avoid = append(a.avoid, others...)
}

// awaitTarget waits before a request that was taken from a silent target looks for a target again, and reports whether it
// may. It may go back to the silent one: without the move it would still wait for that. If that accepts no requests either, it
// may go to any target of the pool.
func (r *Relay) awaitTarget(ctx context.Context, a *activeRequest) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.options.Timer.After(stallPoll):
	}
	if len(a.silent) == 0 {
		a.avoid = nil
	}
	a.allowSilent()
	return true
}

// allowSilent lets a request go back to the silent targets that it was taken from.
func (a *activeRequest) allowSilent() {
	a.avoid = slices.DeleteFunc(a.avoid, func(target string) bool { return slices.Contains(a.silent, target) })
	a.silent = nil
}

// spendMove takes the retries for canceling a stalled attempt out of the pool's budget, and reports whether there are enough.
// A cancel only helps if another attempt may follow, and harms if that is refused and the request can't go back.
func (r *Relay) spendMove(a *activeRequest) bool {
	b := r.retries.budget(a.pool)
	if a.returnPaid {
		return b.Spend()
	}
	ok, returns := b.SpendWithReturn()
	a.returnPaid = ok && returns
	return ok
}

// refundReturn gives back the retry for a return that was not needed.
func (r *Relay) refundReturn(a *activeRequest) {
	if a.returnPaid {
		a.returnPaid = false
		r.retries.budget(a.pool).Refund()
	}
}

// awaitRetry waits until a request that was taken from a silent target gets a retry out of its pool's budget, and reports
// whether it does before its deadline.
func (r *Relay) awaitRetry(ctx context.Context, a *activeRequest) bool {
	for r.awaitTarget(ctx, a) {
		if r.retries.budget(a.pool).Spend() {
			return true
		}
	}
	return false
}
