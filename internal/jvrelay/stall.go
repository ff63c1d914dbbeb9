package jvrelay

import (
	"time"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// errStalled ends an attempt whose target is silent while another one may still answer in time.
var errStalled = errors.New("the target was silent for too long")

// How long a target may be silent before a request that may run again goes to another one.
const (
	// stallAims is in aims of the route, for the beginning of an answer: one that takes so long
	// earns little, and a queue of that length is rare.
	stallAims = 4
	// stallGaps is in the longest pauses of the route that are on time, between events; callers
	// give up after eight of them.
	stallGaps = 4
	// leastStall is above what a lost packet costs.
	leastStall = 700 * time.Millisecond
)

// watch ends an attempt that stalls; one without an alarm never does.
type watch struct {
	alarm *jvtimer.Alarm
	gap   time.Duration
}

// watch starts the watch over an attempt, for requests that may run at another target after it.
func (r *Relay) watch(f *flight, end func()) watch {
	if !f.route.Repeatable() || f.runs+1 >= f.route.MaxAttempts || f.route.TargetLatency == 0 {
		return watch{}
	}
	first := max(stallAims*f.route.TargetLatency, leastStall)
	if f.begun {
		first = max(first, stallGaps*f.route.TargetGap)
	}
	return watch{alarm: r.options.Timer.Alarm(first, end), gap: max(stallGaps*f.route.TargetGap, leastStall)}
}

// reset starts the wait for the next event.
func (w watch) reset() {
	if w.alarm != nil {
		w.alarm.Reset(w.gap)
	}
}

func (w watch) stop() {
	if w.alarm != nil {
		w.alarm.Stop()
	}
}
