package jvfleet

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvflight"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

// readWait is how long one read of a peer's flight waits for more.
const readWait = 5 * time.Second

// Serve passes an admitted request to its flight, which it starts unless a copy of the
// request is under way or was just answered here. The caller must Detach from the flight.
//
// A request's way reads top to bottom from here: quarantine, flight, then by its kind runModel
// (reservation, target, attempt, settlement), runLookup, or runOnce (claim of the key, target,
// one attempt, record of the outcome).
func (f *Fleet) Serve(q *Request) (*jvflight.Flight, *Problem) {
	if f.quarantined(q.Digest) && !f.outcomeKept(q) {
		return nil, f.refuse(q, ProblemQuarantined, 0, messageQuarantined)
	}
	fl, fresh, err := f.flights.Join(q.Key.String(), q.ID, q.Digest[:])
	switch jvfault.KindOf[jvflight.Kind](err) {
	case jvflight.KindMismatch:
		return nil, f.refuse(q, ProblemMismatch, 0, messageMismatch)
	case jvflight.KindFull:
		return nil, f.refuse(q, ProblemOverloaded, time.Second, "this VM has as many requests under way as it can hold")
	}
	fl.Attach()
	if !fresh {
		f.meter.Joined.Inc()
		f.note(q, jvtrace.StepJoin, "", "joined the flight of request "+fl.RequestID)
		return fl, nil
	}
	select {
	case f.workers <- func() { f.run(fl, q) }:
	case <-f.ctx.Done():
		f.finish(fl, q, f.closedProblem())
	default:
		f.finish(fl, q, &Problem{Name: ProblemOverloaded, Message: "this VM runs as many requests as it can", Retry: time.Second})
	}
	return fl, nil
}

// outcomeKept tells whether this VM still has the answer of a request, quarantined or not.
func (f *Fleet) outcomeKept(q *Request) bool {
	fl := f.flights.Find(q.Key.String())
	return fl != nil && fl.Matches(q.Digest[:])
}

// run takes a flight to its end, whatever becomes of the callers.
func (f *Fleet) run(fl *jvflight.Flight, q *Request) {
	ctx, cancel := context.WithDeadline(f.ctx, q.Deadline)
	defer cancel()
	var p *Problem
	switch {
	case q.Model != nil:
		p = f.runModel(ctx, fl, q)
	case q.Call.Rule.Once:
		p = f.runOnce(ctx, fl, q)
	default:
		p = f.runLookup(ctx, fl, q)
	}
	if p != nil {
		f.finish(fl, q, p)
	}
}

// finish ends a flight without a whole answer. Nothing of it is kept for repeats, so that a
// caller who comes back starts anew; what must not run again is kept by the log.
func (f *Fleet) finish(fl *jvflight.Flight, q *Request, p *Problem) {
	if p.Outcome == "" {
		p = p.WithOutcome(q.unrunOutcome())
	}
	f.flights.Drop(fl)
	f.end(fl, q, jvflight.End{Outcome: string(p.Outcome), Problem: string(p.Name), Message: p.Message, RetryAfter: p.Seconds()})
}

// end closes a flight and notes its outcome.
func (f *Fleet) end(fl *jvflight.Flight, q *Request, e jvflight.End) {
	fl.Finish(e, f.options.Timer.Now())
	why := "outcome " + e.Outcome
	if e.Problem != "" {
		why += ", " + e.Problem + ": " + e.Message
	}
	f.note(q, jvtrace.StepAnswer, "", why)
	f.meter.Outcome(e.Outcome, e.Problem)
	if e.Outcome != string(jvrecord.OutcomeDone) {
		f.options.Logger.Info("request not done", "request", q.ID, "outcome", e.Outcome, "problem", e.Problem, "cause", e.Message)
	}
}
