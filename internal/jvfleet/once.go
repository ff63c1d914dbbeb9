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

// runOnce runs a call that must not be repeated. It is dispatched only when this VM's claim
// of the key is the first in the log, and never sent again once a byte of it may have left.
func (f *Fleet) runOnce(ctx context.Context, fl *jvflight.Flight, q *Request) *Problem {
	verdict, holder, p := f.take(ctx, q)
	if p != nil {
		return p
	}
	switch verdict.Reason {
	case jvledger.ReasonAccepted:
		return f.runTaken(ctx, fl, q, holder)
	case jvledger.ReasonTaken:
		return f.awaitTaken(ctx, fl, q, verdict.RunLock)
	case jvledger.ReasonMismatch:
		return &Problem{Name: ProblemMismatch, Message: messageMismatch, Outcome: jvrecord.OutcomeNotRun}
	case jvledger.ReasonStale:
		return &Problem{Name: ProblemConflict, Message: "the key is older than keys are remembered: whether it ran can't be told any more", Outcome: jvrecord.OutcomeUnknown}
	case jvledger.ReasonClosed:
		return f.closedProblem()
	}
	return &Problem{Name: ProblemUnavailable, Message: "the fleet holds as many keys as it can remember", Retry: time.Minute, Outcome: jvrecord.OutcomeUnknown}
}

// take claims the key in the log. A claim that this VM stops waiting for may still be
// accepted; the key is then given back, since the call is never dispatched and the caller was
// told to come back with it.
func (f *Fleet) take(ctx context.Context, q *Request) (jvledger.Verdict, string, *Problem) {
	s := f.current()
	if !f.journal.Reachable(f.options.Pace.Unreachable) {
		return jvledger.Verdict{}, "", takeProblem("the platform's log is away")
	}
	type result struct {
		verdict jvledger.Verdict
		err     error
	}
	done := make(chan result, 1)
	var handed atomic.Bool // Set by whichever comes first: the verdict, or the end of the wait.
	f.spawn(func() {
		record := jvrecord.Record{RunLock: &jvrecord.RunLock{Key: q.Key[:], Digest: q.Digest[:], CreatedAt: bornOf(q.CallerKey), RequestID: q.ID}}
		verdicts, err := f.journal.Submit(f.ctx, s.origin, record)
		r := result{err: err}
		if err == nil {
			r.verdict = verdicts[0]
		}
		if jvfault.KindOf[jvjournal.Kind](err) == jvjournal.KindLost {
			r = result{verdict: f.lostTake(q, s.origin)}
		}
		if handed.CompareAndSwap(false, true) {
			done <- r
			return
		}
		if r.verdict.Reason == jvledger.ReasonAccepted {
			f.record(q, s.origin, &jvrecord.Finish{Outcome: jvrecord.OutcomeFree})
		}
	})
	wait, cancel := context.WithTimeout(ctx, f.options.Pace.Unreachable)
	defer cancel()
	var r result
	select {
	case r = <-done:
	case <-wait.Done():
		if handed.CompareAndSwap(false, true) {
			return jvledger.Verdict{}, "", takeProblem("the platform's log did not answer in time")
		}
		r = <-done
	}
	if r.err != nil {
		return r.verdict, s.origin, takeProblem("this VM is stopping")
	}
	f.note(q, jvtrace.StepTake, "", "the log says "+string(r.verdict.Reason))
	return r.verdict, s.origin, nil
}

// takeProblem is told where the key could not be claimed: another VM may have run a copy.
func takeProblem(cause string) *Problem {
	return &Problem{
		Name:    ProblemUnavailable,
		Message: "the key could not be claimed: " + cause + "; come back with the same key",
		Outcome: jvrecord.OutcomeUnknown,
		Retry:   logRetry,
	}
}

// lostTake finds the verdict on a claim that was folded behind a snapshot.
func (f *Fleet) lostTake(q *Request, origin string) (v jvledger.Verdict) {
	f.journal.View(func(state *jvledger.State) {
		held, ok := state.RunLock(q.Key)
		switch {
		case !ok:
			v = jvledger.Verdict{Reason: jvledger.ReasonStale}
		case held.Holder == origin && held.RequestID == q.ID:
			v = jvledger.Verdict{Reason: jvledger.ReasonAccepted, RunLock: held}
		default:
			v = jvledger.Verdict{Reason: jvledger.ReasonTaken, RunLock: held}
		}
	})
	return v
}

// bornOf returns the time that a UUID of version 7 carries, in Unix milliseconds, or 0.
func bornOf(key string) int64 {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0
	}
	seconds, nanos := id.Time().UnixTime()
	return seconds*1000 + nanos/int64(time.Millisecond)
}

// runTaken dispatches a call whose key this VM holds. Another target is tried only where it
// is proved that nothing was sent.
func (f *Fleet) runTaken(ctx context.Context, fl *jvflight.Flight, q *Request, holder string) *Problem {
	if f.quarantined(q.Digest) {
		return f.notRun(q, holder, &Problem{Name: ProblemQuarantined, Message: messageQuarantined})
	}
	var avoid []string
	for try := 1; ; try++ {
		lease, p := f.acquireCall(ctx, q, try, avoid)
		if p != nil {
			return f.notRun(q, holder, p)
		}
		reply, err := f.dispatch(ctx, lease, q)
		kind := jvfault.KindOf[jvengine.Kind](err)
		switch {
		case err == nil && reply.Status < http.StatusInternalServerError:
			f.record(q, holder, &jvrecord.Finish{Outcome: jvrecord.OutcomeDone, Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body})
			f.endCall(fl, q, reply)
			return nil
		case kind == jvengine.KindUnsent && ctx.Err() == nil && try < maxUnsent:
			avoid = append(avoid, lease.Target.Name)
			continue
		case kind == jvengine.KindUnsent:
			return f.notRun(q, holder, &Problem{Name: ProblemUnavailable, Message: "no target of the service could be reached", Retry: time.Second})
		case kind == jvengine.KindBroken:
			f.inspect(lease, f.targets.Instance(lease))
		}
		f.record(q, holder, &jvrecord.Finish{Outcome: jvrecord.OutcomeUnknown})
		message := "the call was sent and its answer was lost: whether it ran can't be told"
		if err == nil {
			message = "the service answered with a failure: whether the call took effect can't be told"
		}
		return &Problem{Name: ProblemFailed, Message: message, Outcome: jvrecord.OutcomeUnknown}
	}
}

// maxUnsent is how many targets a call is offered to while none of them could be reached.
const maxUnsent = 5

// notRun records and tells that a call whose key this VM holds was never sent. The key stays
// taken, so that no late copy of it can run.
func (f *Fleet) notRun(q *Request, holder string, p *Problem) *Problem {
	f.record(q, holder, &jvrecord.Finish{Outcome: jvrecord.OutcomeNotRun})
	n := p.WithOutcome(jvrecord.OutcomeNotRun)
	n.Message += "; the key is used up: come back with a new one"
	return n
}

// record appends a call's outcome; the caller does not wait for it.
func (f *Fleet) record(q *Request, holder string, finish *jvrecord.Finish) {
	finish.Key = q.Key[:]
	finish.Holder = holder
	if len(finish.Body) > f.options.Journal.Rules.MaxAnswerBytes {
		finish.Body = make([]byte, 0)
		finish.TooLarge = true
	}
	f.recording.Add(1)
	f.spawn(func() {
		defer f.recording.Add(-1)
		if _, err := f.journal.Submit(f.ctx, f.current().origin, jvrecord.Record{Finish: finish}); err != nil {
			f.options.Logger.Info("outcome not recorded", "request", q.ID, "cause", err.Error())
		}
	})
}

// awaitTaken answers a copy of a call that was taken before: with the outcome on record, or
// the answer of the VM that runs it, else that it is unknown.
func (f *Fleet) awaitTaken(ctx context.Context, fl *jvflight.Flight, q *Request, held jvledger.RunLock) *Problem {
	if held.Outcome != "" {
		return f.replay(fl, q, held)
	}
	if end := f.relay(ctx, fl, vmOf(held.Holder)); end != nil {
		f.meter.Relayed.Inc()
		if end.Problem != "" {
			f.flights.Drop(fl)
		}
		f.end(fl, q, *end)
		return nil
	}
	f.journal.View(func(state *jvledger.State) { held, _ = state.RunLock(q.Key) })
	if held.Outcome != "" {
		return f.replay(fl, q, held)
	}
	return &Problem{
		Name:    ProblemConflict,
		Message: "another copy of this request was taken by a VM that does not answer: whether it ran can't be told yet",
		Outcome: jvrecord.OutcomeUnknown,
		Retry:   logRetry,
	}
}

// replay answers with the outcome that the log keeps.
func (f *Fleet) replay(fl *jvflight.Flight, q *Request, held jvledger.RunLock) *Problem {
	f.note(q, jvtrace.StepTake, "", "answered from the record of request "+held.RequestID)
	switch {
	case held.Outcome == jvrecord.OutcomeDone && held.BodyDropped:
		return &Problem{Name: ProblemConflict, Message: "the request ran; its answer was too large to be kept", Outcome: jvrecord.OutcomeDone}
	case held.Outcome == jvrecord.OutcomeDone:
		f.end(fl, q, jvflight.End{Outcome: string(jvrecord.OutcomeDone), Status: held.Status, ContentType: held.ContentType, Body: held.Body})
		return nil
	case held.Outcome == jvrecord.OutcomeNotRun:
		return &Problem{Name: ProblemConflict, Message: "the request with this key was not run and never will be: come back with a new key", Outcome: jvrecord.OutcomeNotRun}
	}
	return &Problem{Name: ProblemConflict, Message: "the request with this key was sent and its answer was lost: whether it ran can't be told", Outcome: jvrecord.OutcomeUnknown}
}
