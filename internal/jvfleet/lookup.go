package jvfleet

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvengine"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvflight"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

// runLookup runs an idempotent call of a plain service, on another target after a failure.
func (f *Fleet) runLookup(ctx context.Context, fl *jvflight.Flight, q *Request) *Problem {
	f.retries.Earn()
	var avoid []string
	ran := false // True once an attempt may have run without an answer.
	for try := 1; ; try++ {
		lease, p := f.acquireCall(ctx, q, try, avoid)
		if p != nil && ran {
			return p.WithOutcome(jvrecord.OutcomeUnknown)
		}
		if p != nil {
			return p
		}
		reply, err := f.dispatch(ctx, lease, q)
		kind := jvfault.KindOf[jvengine.Kind](err)
		if err == nil && reply.Status < http.StatusInternalServerError {
			f.endCall(fl, q, reply)
			return nil
		}
		avoid = append(avoid, lease.Target.Name)
		ran = ran || kind != jvengine.KindUnsent
		if kind == jvengine.KindBroken && f.inspect(lease, f.targets.Instance(lease)) && f.quarantined(q.Digest) {
			return &Problem{Name: ProblemQuarantined, Message: messageQuarantined, Outcome: jvrecord.OutcomeUnknown}
		}
		switch {
		case ctx.Err() != nil:
			return &Problem{Name: ProblemDeadline, Message: "the deadline passed before the service answered", Outcome: jvrecord.OutcomeUnknown, Retry: time.Second}
		case try >= q.Call.Pool.MaxAttempts:
			return &Problem{Name: ProblemFailed, Message: fmt.Sprintf("%d attempts failed", try), Outcome: jvrecord.OutcomeUnknown, Retry: time.Second}
		case !f.retries.Spend():
			return &Problem{Name: ProblemOverloaded, Message: messageRetries, Outcome: jvrecord.OutcomeUnknown, Retry: 2 * time.Second}
		}
		f.meter.Retries.Inc()
	}
}

// acquireCall takes a slot of the service's pool.
func (f *Fleet) acquireCall(ctx context.Context, q *Request, try int, avoid []string) (jvtarget.Lease, *Problem) {
	lease, err := f.targets.Acquire(ctx, jvtarget.Request{
		Pool:     q.Call.Pool.Name,
		Attempt:  q.ID + "." + strconv.Itoa(try),
		Digest:   q.Digest[:],
		Avoid:    avoid,
		Deadline: q.Deadline,
	})
	if err != nil {
		return lease, problemOf(err)
	}
	f.note(q, jvtrace.StepChoose, lease.Target.Name, lease.Reason)
	return lease, nil
}

// dispatch sends a call to a target once and gives the slot back.
func (f *Fleet) dispatch(ctx context.Context, lease jvtarget.Lease, q *Request) (jvengine.Response, error) {
	f.meter.Attempts.Inc()
	call := jvengine.Call{
		ID:      lease.Attempt,
		Method:  q.Call.Method,
		Path:    q.Call.Path,
		Key:     q.CallerKey,
		ContentType: q.Call.Content,
		Body:    q.Call.Body,
	}
	reply, err := f.options.Targets.Call(ctx, lease.Target, call)
	if err != nil {
		f.note(q, jvtrace.StepAttempt, lease.Target.Name, err.Error())
		if jvfault.KindOf[jvengine.Kind](err) == jvengine.KindCrossed {
			f.meter.Crossed.Inc()
		}
		lease.Release(endingOf(jvfault.KindOf[jvengine.Kind](err)))
		return reply, err
	}
	if reply.Load != nil {
		f.targets.RecordLoad(q.Call.Pool.Name, lease.Target.Name, *reply.Load)
	}
	lease.Release(jvtarget.ResultSucceeded)
	return reply, nil
}

func (f *Fleet) endCall(fl *jvflight.Flight, q *Request, r jvengine.Response) {
	f.end(fl, q, jvflight.End{
		Outcome:     string(jvrecord.OutcomeDone),
		Status:      r.Status,
		ContentType: r.ContentType,
		Body:        r.Body,
	})
}
