package jvrelay

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// StopPlan divides the grace period of a planned stop.
type StopPlan struct {
	// Notice is how long the router still serves new callers: the load balancer notices with a
	// delay that the router is no longer ready.
	Notice time.Duration
	// Drain is how long after that requests in progress may take.
	Drain time.Duration
	// Answer is the last part of Drain, in which requests without a response get one of the router.
	Answer time.Duration
	// Return is the time after that for returning what only then is unused. It leaves as much time again
	// until the process is killed.
	Return time.Duration
}

const (
	// noticeTime covers a load balancer that polls once a second and acts on the second failure.
	noticeTime = 2500 * time.Millisecond
	// minReturnTime covers one call of the log by a process that runs a fifth of the time, maxReturnTime a few slow
	// calls.
	minReturnTime = 300 * time.Millisecond
	maxReturnTime = 750 * time.Millisecond
	// maxAnswerTime covers the write of many responses.
	maxAnswerTime = 100 * time.Millisecond
)

// PlanStop divides a grace period. Requests in progress have all of it but a part of its last sixth: whatever ends
// before the last sixth must end whole, and what the router holds unused is returned meanwhile.
func PlanStop(grace time.Duration) StopPlan {
	const lastPart = 0.15 // Less than a sixth.
	p := StopPlan{Notice: min(noticeTime, grace/3), Return: min(maxReturnTime, max(grace/24, minReturnTime), time.Duration(lastPart/2*float64(grace)))}
	p.Drain = grace - p.Notice - 2*p.Return
	p.Answer = min(maxAnswerTime, time.Duration((1.0/6-lastPart)*float64(grace)))
	return p
}

const (
	// stopRetryAfter is short, since another router can serve the request at once.
	stopRetryAfter = 50 * time.Millisecond
	// minKnown is the number of a route's responses from which it is estimated whether a request ends in time, and
	// minShare the share of them that would have.
	minKnown = 8
	minShare = 0.9
	// lateFactor is how many times the longest response that the router knows of must fit into what is left of the drain
	// once the notice is over, lateMargin what must be left besides: a target may be slower than ever before.
	lateFactor = 2
	lateMargin = 200 * time.Millisecond
	// muchTime is left of a long drain if a response that does not end by then would be unusual on any route.
	muchTime = 15 * time.Second
)

// refuseLate returns the problem of a request that arrives while the router stops and can't be expected to end
// before the drain does, else nil.
func (r *Relay) refuseLate(ctx context.Context, a *activeRequest) *Problem {
	s := r.stop.Load()
	if !stopped(ctx) && (s == nil || r.endsInTime(s, a)) {
		return nil
	}
	return stopping("this router stops before the request would end")
}

// endsInTime reports whether a request that arrives while the router stops can be expected to end before the drain does.
//
// The answer at the end of the drain to a request that runs is of no use to a caller who may not repeat it, a refusal
// costs one that has another router little. In the notice the load balancer may still send callers here, and again
// after a refusal, so only what mostly ends too late is refused. After it, these are taken:
//   - what its deadline or its route's timeout ends by then,
//   - what can be repeated or resumed, if the responses that have ended and those in progress show that it ends,
//   - whatever has much time left, unless they show that it may not end.
func (r *Relay) endsInTime(s *stopTimes, a *activeRequest) bool {
	end := s.drainEnd.Add(-maxAnswerTime) // From here on requests without a response are ended.
	if !a.deadline.After(end) {
		return true
	}
	now := r.options.Timer.Now()
	left := end.Sub(now)
	route, tokens := a.route.Name, a.request.Usage.OutputTokens
	share, known := r.durations.within(route, tokens, left)
	if !now.After(s.noticeEnd) {
		return known < minKnown || share >= minShare
	}
	longest := max(r.durations.longest(route, tokens), r.open.oldest(&a.open, now))
	if lateFactor*longest+lateMargin > left {
		return false
	}
	return left >= muchTime || a.route.Repeatable() && known >= minKnown
}

// errStopped cancels requests without a response when the drain of a stop ends.
var errStopped = errors.New("this router stops")

// stopped reports whether a request was canceled since the drain of a stop ends.
func stopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopped) }

// stopping returns the problem of a request that did not run since this router stops.
func stopping(message string) *Problem { return notRun("stopping", message, stopRetryAfter) }

// stopTimes are the times of a planned stop in progress.
type stopTimes struct {
	noticeEnd time.Time
	drainEnd  time.Time
}

// DrainEnd returns when the drain ends, as the time since the stop began.
func (p StopPlan) DrainEnd() time.Duration { return p.Notice + p.Drain }

// AnswerBegin returns when the drain's last part begins, as the time since the stop began.
func (p StopPlan) AnswerBegin() time.Duration { return p.DrainEnd() - p.Answer }

// ReturnEnd returns when the return ends after a drain that has ended at a time, both as times since the stop began.
// A drain that ends early leaves a limited time for it: the router's successor waits for the end of the process.
func (p StopPlan) ReturnEnd(drained time.Duration) time.Duration {
	return min(drained+maxReturnTime, p.DrainEnd()+p.Return)
}
