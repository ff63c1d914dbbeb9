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
	// minKnown is the number of a route's responses from which it is estimated in the notice whether a request ends in
	// time, and minShare the share of them that would have.
	minKnown = 8
	minShare = 0.9
)

// refuseLate returns the problem of a request that has not run and that may not end before the drain of a stop does, else
// nil.
//
// A request that is cut leaves its caller with a part of a response, or in doubt whether it ran. A refusal costs a caller
// that has another router little. In the notice the load balancer may still send callers here, and again after a refusal,
// so only what mostly ends too late is refused. After it, a request is taken only if it ends by itself in time, at its
// deadline or at its route's timeout: how long earlier responses took is no bound.
func (r *Relay) refuseLate(ctx context.Context, a *activeRequest) *Problem {
	s := r.stop.Load()
	if s == nil || a.possibleRuns > 0 {
		return nil
	}
	now := r.options.Timer.Now()
	inNotice := now.Before(s.noticeEnd)
	if !stopped(ctx) && (s.endsInTime(a.endsAt) || inNotice && r.mostlyEnds(a, s.lastEnd.Sub(now))) {
		return nil
	}
	return stopping("this router stops and may do so before the request ends")
}

// mostlyEnds reports whether most of a route's latest responses would have ended within a time, or too few are known.
func (r *Relay) mostlyEnds(a *activeRequest, within time.Duration) bool {
	share, known := r.durations.within(a.route.Name, a.request.Usage.OutputTokens, within)
	return known < minKnown || share >= minShare
}

// EndNotice refuses the requests that wait, have not run and may not end before the drain of a stop in progress does. From
// then on such requests are refused when they arrive.
func (r *Relay) EndNotice() {
	s := r.stop.Load()
	n := r.open.endUnsent(func(o *openRequest) bool { return !s.endsInTime(o.endsAt) })
	if n > 0 {
		r.options.Logger.Info("waiting requests refused at the end of the notice", "requests", n)
	}
}

// errStopped cancels the requests that a stop does not wait for: at the end of the notice those that wait and may last longer
// than the drain, at the end of the drain all without a response.
var errStopped = errors.New("this router stops")

// stopped reports whether this router's stop canceled a request.
func stopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopped) }

// stopping returns the problem of a request that did not run since this router stops.
func stopping(message string) *Problem { return notRun(outcomeStopping, message, stopRetryAfter) }

// stopTimes are the times of a planned stop in progress.
type stopTimes struct {
	noticeEnd time.Time
	// lastEnd is when requests without a response are ended.
	lastEnd time.Time
}

// newStopTimes returns the times of a stop that began at a time.
func newStopTimes(startedAt time.Time, p StopPlan) *stopTimes {
	return &stopTimes{noticeEnd: startedAt.Add(p.Notice), lastEnd: startedAt.Add(p.AnswerBegin())}
}

// endsInTime reports whether a request that ends by itself at a time does so before the drain ends it.
func (s *stopTimes) endsInTime(endsAt time.Time) bool { return !endsAt.After(s.lastEnd) }

// DrainEnd returns when the drain ends, as the time since the stop began.
func (p StopPlan) DrainEnd() time.Duration { return p.Notice + p.Drain }

// AnswerBegin returns when the drain's last part begins, as the time since the stop began.
func (p StopPlan) AnswerBegin() time.Duration { return p.DrainEnd() - p.Answer }

// ReturnEnd returns when the return ends after a drain that has ended at a time, both as times since the stop began.
// A drain that ends early leaves a limited time for it: the router's successor waits for the end of the process.
func (p StopPlan) ReturnEnd(drained time.Duration) time.Duration {
	return min(drained+maxReturnTime, p.DrainEnd()+p.Return)
}
