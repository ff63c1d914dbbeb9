package jvrelay

import (
	"time"

	"github.com/pkg/errors"

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

// stallTimer cancels an attempt that stalls; without an alarm it does nothing.
type stallTimer struct {
	alarm *jvtimer.Alarm
	gap   time.Duration
}

// startStallTimer returns a timer that calls cancel when the attempt stalls, if the request may
// run at another target afterwards.
func (r *Relay) startStallTimer(a *activeRequest, cancel func()) stallTimer {
	if !a.route.Repeatable() || a.possibleRuns+1 >= a.route.MaxAttempts || a.route.TargetLatency == 0 {
		return stallTimer{}
	}
	first := max(stallLatencyFactor*a.route.TargetLatency, minStall)
	if a.headersSent {
		first = max(first, stallGapFactor*a.route.TargetGap)
	}
	return stallTimer{alarm: r.options.Timer.Alarm(first, cancel), gap: max(stallGapFactor*a.route.TargetGap, minStall)}
}

// reset starts the wait for the next event.
func (s stallTimer) reset() {
	if s.alarm != nil {
		s.alarm.Reset(s.gap)
	}
}

func (s stallTimer) stop() {
	if s.alarm != nil {
		s.alarm.Stop()
	}
}
