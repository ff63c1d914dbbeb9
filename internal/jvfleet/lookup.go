package jvfleet

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvengine"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvflight"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

// runLookup runs an idempotent call of a plain service and retries it on other targets.
func (rt *Router) runLookup(ctx context.Context, fl *jvflight.Flight, q *Request) *Problem {
	rt.retries.Earn()
	var avoid []string
	mayHaveRun := false // True once an attempt may have run without an answer.
	for attempt := 1; ; attempt++ {
		lease, p := rt.acquireCall(ctx, q, attempt, avoid)
		if p != nil && mayHaveRun {
			return p.WithOutcome(jvrecord.OutcomeUnknown)
		}
		if p != nil {
			return p
		}
		response, crashed, err := rt.dispatch(ctx, lease, q)
		kind := jvfault.KindOf[jvengine.Kind](err)
		if err == nil && response.Status < http.StatusInternalServerError {
			rt.endCall(fl, q, response)
			return nil
		}
		avoid = append(avoid, lease.Target.Name)
		mayHaveRun = mayHaveRun || kind != jvengine.KindUnsent
		if crashed {
			if p := rt.quarantine(q); p != nil {
				return p.WithOutcome(jvrecord.OutcomeUnknown)
			}
		}
		switch {
		case ctx.Err() != nil:
			return &Problem{Name: ProblemDeadline, Message: "the deadline passed before the service answered", Outcome: jvrecord.OutcomeUnknown, RetryAfter: time.Second}
		case attempt >= q.Call.Pool.MaxAttempts:
			return &Problem{Name: ProblemFailed, Message: fmt.Sprintf("%d attempts failed", attempt), Outcome: jvrecord.OutcomeUnknown, RetryAfter: time.Second}
		case !rt.retries.Spend():
			return &Problem{Name: ProblemOverloaded, Message: messageRetries, Outcome: jvrecord.OutcomeUnknown, RetryAfter: 2 * time.Second}
		}
		rt.meter.Retries.Inc()
	}
}

// acquireCall acquires a slot of a target of the service's pool.
func (rt *Router) acquireCall(ctx context.Context, q *Request, attempt int, avoid []string) (jvtarget.Lease, *Problem) {
	lease, err := rt.targets.Acquire(ctx, jvtarget.Request{
		Pool:     q.Call.Pool.Name,
		Attempt:  q.ID + "." + strconv.Itoa(attempt),
		Digest:   q.Digest[:],
		Avoid:    avoid,
		Deadline: q.Deadline,
	})
	if err != nil {
		return lease, problemOf(err)
	}
	rt.recordDecision(q, jvtrace.StepSelect, lease.Target.Name, lease.Reason)
	return lease, nil
}

// dispatch sends a call to a target once and releases the slot. It reports whether the target crashed.
func (rt *Router) dispatch(ctx context.Context, lease jvtarget.Lease, q *Request) (response jvengine.Response, crashed bool, err error) {
	rt.meter.Attempts.Inc()
	call := jvengine.Call{
		ID:          lease.Attempt,
		Method:      q.Call.Method,
		Path:        q.Call.Path,
		Key:         q.CallerKey,
		ContentType: q.Call.ContentType,
		Body:        q.Call.Body,
	}
	response, err = rt.options.Targets.Call(ctx, lease.Target, call)
	if err == nil && rt.brokeOff(lease, response) {
		err = jvfault.Newf("call", jvengine.KindBroken, "the response ended with its connection, and its target has ended")
	}
	if err != nil {
		rt.recordDecision(q, jvtrace.StepAttempt, lease.Target.Name, err.Error())
		kind := jvfault.KindOf[jvengine.Kind](err)
		switch kind {
		case jvengine.KindCrossed:
			rt.meter.Crossed.Inc()
		case jvengine.KindBroken:
			rt.meter.CountEnd(jvend.Broken.String())
			crashed = rt.detectCrash(lease) // Before the release, which ends the attempt's record at the target.
		}
		lease.Release(resultOf(kind))
		return response, crashed, err
	}
	rt.meter.CountEnd(response.End.String())
	rt.recordDecision(q, jvtrace.StepAttempt, lease.Target.Name, fmt.Sprintf("status %d, %d bytes, end %s", response.Status, len(response.Body), response.End))
	if response.Load != nil {
		rt.targets.RecordLoad(q.Call.Pool.Name, lease.Target.Name, *response.Load)
	}
	lease.Release(jvtarget.ResultSucceeded)
	return response, false, nil
}

const (
	// endPolls is the maximum number of load reports that are requested from a target whose response ended with its
	// connection: a process that ends may break off a connection before it refuses them.
	endPolls = 3
	// endPause is the time between two of them.
	endPause = 10 * time.Millisecond
)

// brokeOff reports whether a response is known not to be whole: it ended with its connection, and its target refuses
// connections or is another instance now. It is checked before the answer is recorded or seen by callers. The body of
// a failure does not count as an answer, so its end does not matter.
func (rt *Router) brokeOff(l jvtarget.Lease, r jvengine.Response) bool {
	if r.End == jvend.Proven || r.Status >= http.StatusInternalServerError {
		return false
	}
	if r.End == jvend.Broken {
		return true
	}
	load, err := rt.pollLoad(l.Target)
	for n := 1; n < endPolls && jvfault.KindOf[jvengine.Kind](err) == jvengine.KindBroken; n++ {
		<-rt.options.Timer.After(endPause)
		load, err = rt.pollLoad(l.Target)
	}
	if err != nil {
		return jvfault.KindOf[jvengine.Kind](err) == jvengine.KindUnsent
	}
	return r.Load != nil && r.Load.Instance != "" && load.Instance != r.Load.Instance
}

func (rt *Router) endCall(fl *jvflight.Flight, q *Request, r jvengine.Response) {
	rt.clearSuspicion(q)
	rt.end(fl, q, jvflight.End{
		Outcome:     string(jvrecord.OutcomeDone),
		Status:      r.Status,
		ContentType: r.ContentType,
		Body:        r.Body,
		Ended:       r.End,
	})
}
