package jvfleet

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/jasminevale/jasminevale/internal/jvengine"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvflight"
	"github.com/jasminevale/jasminevale/internal/jvjournal"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

// runOnce runs a call that must not be repeated. It is dispatched only if this VM's run lock is
// the first of the key in the log, and never sent again once a byte of it may have been sent.
func (rt *Router) runOnce(ctx context.Context, fl *jvflight.Flight, q *Request) *Problem {
	verdict, holder, p := rt.acquireRunLock(ctx, q)
	if p != nil {
		return p
	}
	switch verdict.Reason {
	case jvledger.ReasonAccepted:
		return rt.runLocked(ctx, fl, q, holder)
	case jvledger.ReasonTaken:
		return rt.respondToCopy(ctx, fl, q, verdict.RunLock)
	case jvledger.ReasonMismatch:
		return &Problem{Name: ProblemMismatch, Message: messageMismatch, Outcome: jvrecord.OutcomeNotRun}
	case jvledger.ReasonStale:
		return &Problem{Name: ProblemConflict, Message: "the key is older than the time for which keys are kept: whether it ran is unknown", Outcome: jvrecord.OutcomeUnknown}
	case jvledger.ReasonClosed:
		return rt.closedProblem()
	}
	return &Problem{Name: ProblemUnavailable, Message: "the fleet's table of keys is full", RetryAfter: time.Minute, Outcome: jvrecord.OutcomeUnknown}
}

// acquireRunLock acquires the run lock of the key in the log. A record that this VM no longer waits
// for may still be accepted; the lock is then released, since the call is not dispatched and the
// caller retries with the same key. It returns the verdict and the origin under which the
// lock was requested.
func (rt *Router) acquireRunLock(ctx context.Context, q *Request) (jvledger.Verdict, string, *Problem) {
	s := rt.current()
	if !rt.journal.Reachable(rt.options.Timing.UnreachableAfter) {
		return jvledger.Verdict{}, "", runLockProblem("the platform's log is unreachable")
	}
	type result struct {
		verdict jvledger.Verdict
		err     error
	}
	done := make(chan result, 1)
	var decided atomic.Bool // Set by the verdict or by the end of the wait, whichever is first.
	rt.spawn(func() {
		record := jvrecord.Record{RunLock: &jvrecord.RunLock{Key: q.Key[:], Digest: q.Digest[:], CreatedAt: createdAt(q.CallerKey), RequestID: q.ID}}
		verdicts, err := rt.journal.Submit(rt.ctx, s.origin, record)
		r := result{err: err}
		if err == nil {
			r.verdict = verdicts[0]
		}
		if jvfault.KindOf[jvjournal.Kind](err) == jvjournal.KindLost {
			r = result{verdict: rt.lostVerdict(q, s.origin)}
		}
		if decided.CompareAndSwap(false, true) {
			done <- r
			return
		}
		if r.verdict.Reason == jvledger.ReasonAccepted {
			rt.recordOutcome(q, s.origin, &jvrecord.Finish{Outcome: jvrecord.OutcomeFree})
		}
	})
	wait, cancel := context.WithTimeout(ctx, rt.options.Timing.UnreachableAfter)
	defer cancel()
	var r result
	select {
	case r = <-done:
	case <-wait.Done():
		if decided.CompareAndSwap(false, true) {
			return jvledger.Verdict{}, "", runLockProblem("the platform's log did not answer in time")
		}
		r = <-done
	}
	if r.err != nil {
		return r.verdict, s.origin, runLockProblem("this VM is stopping")
	}
	rt.recordDecision(q, jvtrace.StepRunLock, "", "the log's verdict is "+string(r.verdict.Reason))
	return r.verdict, s.origin, nil
}

// runLockProblem returns the problem of a request whose run lock could not be acquired; another VM
// may have run a copy.
func runLockProblem(cause string) *Problem {
	return &Problem{
		Name:       ProblemUnavailable,
		Message:    "the key could not be locked: " + cause + "; retry with the same key",
		Outcome:    jvrecord.OutcomeUnknown,
		RetryAfter: logRetryAfter,
	}
}

// lostVerdict derives from the state the verdict on a run lock whose record was skipped, because
// this VM loaded a snapshot that includes it.
func (rt *Router) lostVerdict(q *Request, origin string) (v jvledger.Verdict) {
	rt.journal.View(func(state *jvledger.State) {
		lock, ok := state.RunLock(q.Key)
		switch {
		case !ok:
			v = jvledger.Verdict{Reason: jvledger.ReasonStale}
		case lock.Holder == origin && lock.RequestID == q.ID:
			v = jvledger.Verdict{Reason: jvledger.ReasonAccepted, RunLock: lock}
		default:
			v = jvledger.Verdict{Reason: jvledger.ReasonTaken, RunLock: lock}
		}
	})
	return v
}

// createdAt returns the creation time in a UUID of version 7, in Unix milliseconds, or 0 for other
// keys.
func createdAt(key string) int64 {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0
	}
	seconds, nanos := id.Time().UnixTime()
	return seconds*1000 + nanos/int64(time.Millisecond)
}

// runLocked dispatches a call whose run lock this VM holds. It tries another target only if nothing
// was sent to the previous one.
func (rt *Router) runLocked(ctx context.Context, fl *jvflight.Flight, q *Request, holder string) *Problem {
	if p := rt.quarantine(q); p != nil {
		return rt.notRun(q, holder, p)
	}
	var avoid []string
	for attempt := 1; ; attempt++ {
		lease, p := rt.acquireCall(ctx, q, attempt, avoid)
		if p != nil {
			return rt.notRun(q, holder, p)
		}
		response, _, err := rt.dispatch(ctx, lease, q)
		kind := jvfault.KindOf[jvengine.Kind](err)
		switch {
		case err == nil && response.Status < http.StatusInternalServerError:
			rt.recordOutcome(q, holder, &jvrecord.Finish{Outcome: jvrecord.OutcomeDone, Status: response.Status, ContentType: response.ContentType, Body: response.Body, Ended: response.End})
			rt.endCall(fl, q, response)
			return nil
		case kind == jvengine.KindUnsent && ctx.Err() == nil && attempt < maxUnsent:
			avoid = append(avoid, lease.Target.Name)
			continue
		case kind == jvengine.KindUnsent:
			return rt.notRun(q, holder, &Problem{Name: ProblemUnavailable, Message: "no target of the service could be reached", RetryAfter: time.Second})
		}
		rt.recordOutcome(q, holder, &jvrecord.Finish{Outcome: jvrecord.OutcomeUnknown})
		message := "the call was sent and its answer was lost: whether it ran is unknown"
		if err == nil {
			message = "the service answered with a failure: whether the call took effect is unknown"
		}
		return &Problem{Name: ProblemFailed, Message: message, Outcome: jvrecord.OutcomeUnknown}
	}
}

// maxUnsent is the maximum number of attempts while no target can be reached.
const maxUnsent = 5

// notRun records that a call whose run lock this VM holds was never sent, and returns the problem
// with that outcome. The lock stays, so that no late copy of the call can run.
func (rt *Router) notRun(q *Request, holder string, p *Problem) *Problem {
	rt.recordOutcome(q, holder, &jvrecord.Finish{Outcome: jvrecord.OutcomeNotRun})
	n := p.WithOutcome(jvrecord.OutcomeNotRun)
	n.Message += "; the key is used up: retry with a new key"
	return n
}

// recordOutcome appends the outcome of a call in the background.
func (rt *Router) recordOutcome(q *Request, holder string, finish *jvrecord.Finish) {
	finish.Key = q.Key[:]
	finish.Holder = holder
	if len(finish.Body) > rt.options.Journal.Rules.MaxAnswerBytes {
		finish.Body = make([]byte, 0)
		finish.TooLarge = true
	}
	rt.pendingOutcomes.Add(1)
	rt.spawn(func() {
		defer rt.pendingOutcomes.Add(-1)
		if _, err := rt.journal.Submit(rt.ctx, rt.current().origin, jvrecord.Record{Finish: finish}); err != nil {
			rt.options.Logger.Info("outcome not recorded", "request", q.ID, "cause", err.Error())
		}
	})
}

// respondToCopy responds to a copy of a call whose run lock is held already: with the recorded outcome,
// or by relaying the answer of the VM that runs it, else with the outcome unknown.
func (rt *Router) respondToCopy(ctx context.Context, fl *jvflight.Flight, q *Request, lock jvledger.RunLock) *Problem {
	if lock.Outcome != "" {
		return rt.replay(fl, q, lock)
	}
	if end := rt.relay(ctx, fl, vmOf(lock.Holder)); end != nil {
		rt.meter.Relayed.Inc()
		if end.Problem != "" {
			rt.flights.Drop(fl)
		}
		rt.end(fl, q, *end)
		return nil
	}
	rt.journal.View(func(state *jvledger.State) { lock, _ = state.RunLock(q.Key) })
	if lock.Outcome != "" {
		return rt.replay(fl, q, lock)
	}
	return &Problem{
		Name:       ProblemConflict,
		Message:    "another copy of this request is held by a VM that does not answer: whether it ran is not known yet",
		Outcome:    jvrecord.OutcomeUnknown,
		RetryAfter: logRetryAfter,
	}
}

// replay responds with the outcome in the log.
func (rt *Router) replay(fl *jvflight.Flight, q *Request, lock jvledger.RunLock) *Problem {
	rt.recordDecision(q, jvtrace.StepRunLock, "", "answered from the record of request "+lock.RequestID)
	switch {
	case lock.Outcome == jvrecord.OutcomeDone && lock.BodyDropped:
		return &Problem{Name: ProblemConflict, Message: "the request ran; its answer was too large to be kept", Outcome: jvrecord.OutcomeDone}
	case lock.Outcome == jvrecord.OutcomeDone:
		rt.end(fl, q, jvflight.End{Outcome: string(jvrecord.OutcomeDone), Status: lock.Status, ContentType: lock.ContentType, Body: lock.Body, Ended: lock.Ended})
		return nil
	case lock.Outcome == jvrecord.OutcomeNotRun:
		return &Problem{Name: ProblemConflict, Message: "the request with this key was not run and never will be: retry with a new key", Outcome: jvrecord.OutcomeNotRun}
	}
	return &Problem{Name: ProblemConflict, Message: "the request with this key was sent and its answer was lost: whether it ran is unknown", Outcome: jvrecord.OutcomeUnknown}
}
