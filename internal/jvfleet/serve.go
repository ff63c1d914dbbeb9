package jvfleet

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvflight"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

// readWait is the time for which one read of a flight by a peer waits for more.
const readWait = 5 * time.Second

// Serve returns the flight of an admitted request. It starts one unless a copy of the request is
// in progress or was just answered here. The caller must Detach from the flight.
//
// The steps of a request are: quarantine, flight, then by its kind runModel (reservation, target,
// attempt, settlement), runLookup (target, attempt), or runOnce (run lock, target, one attempt,
// record of the outcome).
func (rt *Router) Serve(q *Request) (*jvflight.Flight, *Problem) {
	if p := rt.quarantine(q); p != nil && !rt.outcomeKept(q) {
		return nil, rt.refuseWith(q, p)
	}
	fl, isNew, err := rt.flights.Join(q.Key.String(), q.ID, q.Digest[:])
	switch jvfault.KindOf[jvflight.Kind](err) {
	case jvflight.KindMismatch:
		return nil, rt.refuse(q, ProblemMismatch, 0, messageMismatch)
	case jvflight.KindFull:
		return nil, rt.refuse(q, ProblemOverloaded, time.Second, "this VM is at its limit of open requests")
	}
	fl.Attach()
	if !isNew {
		rt.meter.Joined.Inc()
		rt.recordDecision(q, jvtrace.StepJoin, "", "joined the flight of request "+fl.RequestID)
		return fl, nil
	}
	select {
	case rt.workers <- func() { rt.run(fl, q) }:
	case <-rt.ctx.Done():
		rt.finish(fl, q, rt.closedProblem())
	default:
		rt.finish(fl, q, &Problem{Name: ProblemOverloaded, Message: "all workers of this VM are busy", RetryAfter: time.Second})
	}
	return fl, nil
}

// outcomeKept reports whether this VM still has a flight of the request, from which a copy is
// answered although the request is quarantined.
func (rt *Router) outcomeKept(q *Request) bool {
	fl := rt.flights.Find(q.Key.String())
	return fl != nil && fl.Matches(q.Digest[:])
}

// run runs a request to the end of its flight, also if all callers have left.
func (rt *Router) run(fl *jvflight.Flight, q *Request) {
	ctx, cancel := context.WithDeadline(rt.ctx, q.Deadline)
	defer cancel()
	var p *Problem
	switch {
	case q.Model != nil:
		p = rt.runModel(ctx, fl, q)
	case q.Call.Rule.Once:
		p = rt.runOnce(ctx, fl, q)
	default:
		p = rt.runLookup(ctx, fl, q)
	}
	if p != nil {
		rt.finish(fl, q, p)
	}
}

// finish ends a flight without a complete answer and drops it, so that a retry by the caller starts
// a new one; the log keeps the outcomes of calls that must not run again.
func (rt *Router) finish(fl *jvflight.Flight, q *Request, p *Problem) {
	if p.Outcome == "" {
		p = p.WithOutcome(q.unrunOutcome())
	}
	rt.flights.Drop(fl)
	rt.end(fl, q, jvflight.End{Outcome: string(p.Outcome), Problem: string(p.Name), Message: p.Message, RetryAfter: p.RetryAfterSeconds()})
}

// end ends a flight, and logs, counts and traces its outcome.
func (rt *Router) end(fl *jvflight.Flight, q *Request, e jvflight.End) {
	fl.Finish(e, rt.options.Timer.Now())
	why := "outcome " + e.Outcome
	if e.Problem != "" {
		why += ", " + e.Problem + ": " + e.Message
	}
	rt.recordDecision(q, jvtrace.StepResponse, "", why)
	rt.meter.CountOutcome(e.Outcome, e.Problem)
	if e.Outcome != string(jvrecord.OutcomeDone) {
		rt.options.Logger.Info("request not done", "request", q.ID, "outcome", e.Outcome, "problem", e.Problem, "cause", e.Message)
	}
}
