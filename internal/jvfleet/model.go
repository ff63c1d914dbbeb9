package jvfleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvengine"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvflight"
	"github.com/jasminevale/jasminevale/internal/jvmeter"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

// runModel runs a model request, or relays the answer of a VM of this zone that runs it already.
// It returns the problem that ends the flight, or nil if the flight has ended.
func (rt *Router) runModel(ctx context.Context, fl *jvflight.Flight, q *Request) *Problem {
	if q.Keyed && rt.relayModel(ctx, fl, q) {
		return nil
	}
	m := &modelRun{router: rt, flight: fl, request: q}
	rt.retries.Earn()
	for {
		again, p := m.attempt(ctx)
		if p != nil {
			if m.mayHaveRun {
				p = p.WithOutcome(jvrecord.OutcomeUnknown)
			}
			return p
		}
		if !again {
			return nil
		}
	}
}

// relayModel relays the answer of the VM that runs the same request. It returns false if this VM
// has to run the request, from the beginning or from where the relay broke off.
func (rt *Router) relayModel(ctx context.Context, fl *jvflight.Flight, q *Request) bool {
	key := q.Key.String()
	for replaces := ""; ; {
		vm := rt.runner(ctx, key, replaces)
		if vm == rt.options.VM || vm == replaces {
			return false
		}
		rt.recordDecision(q, jvtrace.StepJoin, "", "relayed from "+vm+", which runs the same request")
		end := rt.relay(ctx, fl, vm)
		if end != nil && (end.Problem == "" || fl.Len() > 0 || ctx.Err() != nil) {
			rt.meter.Relayed.Inc()
			if end.Problem != "" {
				rt.flights.Drop(fl)
			}
			rt.end(fl, q, *end)
			return true
		}
		replaces = vm
	}
}

// relay copies a peer's flight into this VM's flight and returns its end, or nil if the peer can't
// be reached or does not have the flight.
func (rt *Router) relay(ctx context.Context, fl *jvflight.Flight, vm string) *jvflight.End {
	p, ok := rt.peer(vm)
	for ok {
		read := &readArguments{key: fl.Key, digest: fl.Digest, index: fl.Len()}
		response, err := rt.requestRead(ctx, p, read)
		if err != nil || response == nil || response.Missing {
			return nil
		}
		for _, e := range response.Events {
			fl.Push(e.Text)
		}
		if response.End != nil {
			return response.End
		}
	}
	return nil
}

// modelRun is the state of one model request across its attempts.
type modelRun struct {
	router   *Router
	flight   *jvflight.Flight
	request  *Request
	attempts int
	avoid    []string
	// mayHaveRun is true once an attempt may have run without a complete answer.
	mayHaveRun bool
}

// attempt runs the request once, from where the previous attempt broke off. It returns true if
// another attempt should follow.
func (m *modelRun) attempt(ctx context.Context) (bool, *Problem) {
	rt, q := m.router, m.request
	m.attempts++
	written, generated := m.flight.Text(), m.flight.Len()
	need := q.Model.WorstCase(written, generated)
	reservation, p := rt.reserve(ctx, q, need)
	if p != nil {
		return false, p
	}
	id := q.ID + "." + strconv.Itoa(m.attempts)
	prefix := q.Model.PrefixDigest
	if rt.suspected(q.Digest) {
		prefix = "" // What was running in the same crash is spread, so that the next one separates it.
	}
	lease, err := rt.targets.Acquire(ctx, jvtarget.Request{
		Pool:     q.Model.Profile.Pool,
		Attempt:  id,
		Prefix:   prefix,
		Digest:   q.Digest[:],
		Parts:    rt.targetParts(q),
		Priority: q.Model.Profile.Priority,
		Avoid:    m.avoid,
		Deadline: q.Deadline,
	})
	if err != nil {
		reservation.settle(0)
		return false, problemOf(err)
	}
	if p := rt.quarantine(q); p != nil { // A crash became known while the request waited.
		lease.Release(jvtarget.ResultInconclusive)
		reservation.settle(0)
		return false, p
	}
	rt.recordDecision(q, jvtrace.StepSelect, lease.Target.Name, lease.Reason)
	usage, err := m.generate(ctx, lease, jvengine.Attempt{
		ID:        id,
		Model:     q.Model.Profile.Model,
		Messages:  q.Model.Messages,
		Prefix:    written,
		MaxOutput: max(q.Model.MaxOutput-generated, 1),
		Priority:  q.Model.Profile.Priority,
	})
	if err != nil {
		return m.handleFailure(ctx, lease, reservation, usage, err)
	}
	lease.Release(jvtarget.ResultSucceeded)
	m.settle(reservation, usage.Total(), "as the target reported")
	m.complete(usage, generated)
	return false, nil
}

// generate runs an attempt on a target, passes its tokens to the flight and measures their delays.
func (m *modelRun) generate(ctx context.Context, lease jvtarget.Lease, a jvengine.Attempt) (jvengine.Usage, error) {
	rt := m.router
	rt.meter.Attempts.Inc()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-m.flight.Abandoned():
			cancel()
		case <-ctx.Done():
		}
	}()
	last := m.request.ArrivedAt
	progress := sync.OnceFunc(lease.Progress)
	return rt.options.Targets.Generate(ctx, lease.Target, a, func(text string) {
		now := rt.options.Timer.Now()
		progress()
		if m.flight.Push(text) == 0 {
			jvmeter.Observe(rt.meter.FirstToken, now.Sub(last))
		} else {
			jvmeter.Observe(rt.meter.Gap, now.Sub(last))
		}
		last = now
	})
}

// settle ends a reservation. A target that used more than was reserved exceeded the limit of the
// attempt; this is logged, since the router can't undo it.
func (m *modelRun) settle(r sessionReservation, used int64, why string) {
	rt := m.router
	if used > r.Tokens {
		rt.options.Logger.Info("target used more than it was allowed", "request", m.request.ID, "used", used, "reserved", r.Tokens)
	}
	charged := r.settle(used)
	rt.meter.Settled.AddInt64(charged)
	rt.recordDecision(m.request, jvtrace.StepSettle, "", fmt.Sprintf("%d of %d tokens settled %s", charged, r.Tokens, why))
}

// complete bills a complete answer and ends the flight. A witness gets the bill first, so that it
// is charged even if this VM crashes right after the caller has the answer. The tokens generated by
// earlier attempts are part of the last attempt's prompt, but billed as output.
func (m *modelRun) complete(usage jvengine.Usage, generated int64) {
	rt, q := m.router, m.request
	rt.clearSuspicion(q)
	prompt := max(usage.PromptTokens-generated, 0)
	output := generated + usage.OutputTokens
	bill := jvrecord.Bill{Workspace: q.Workspace, Profile: q.Model.Profile.Name, Tokens: prompt + output}
	if q.Keyed {
		bill.Key = q.Key[:]
	}
	done := rt.bills.add(rt.current().bill(bill))
	select {
	case <-done:
	case <-rt.ctx.Done():
	}
	rt.end(m.flight, q, jvflight.End{
		Outcome:      string(jvrecord.OutcomeDone),
		PromptTokens: prompt,
		OutputTokens: output,
		Digest:       textDigest(m.flight.Text()),
	})
}

// handleFailure settles an attempt without a complete answer, and returns true if another should
// follow.
func (m *modelRun) handleFailure(ctx context.Context, lease jvtarget.Lease, r sessionReservation, usage jvengine.Usage, err error) (bool, *Problem) {
	rt, q := m.router, m.request
	kind := jvfault.KindOf[jvengine.Kind](err)
	rt.recordDecision(q, jvtrace.StepAttempt, lease.Target.Name, err.Error())
	crashed := false
	switch kind {
	case jvengine.KindUnsent, jvengine.KindRefused, jvengine.KindInvalid:
		m.settle(r, 0, "since the attempt did not run")
	default:
		m.mayHaveRun = true
		crashed = m.settleUnknown(lease, r, usage, kind)
	}
	lease.Release(resultOf(kind))
	m.avoid = append(m.avoid, lease.Target.Name)
	if crashed && ctx.Err() == nil {
		if p := rt.quarantine(q); p != nil {
			return false, p
		}
	}
	switch {
	case kind == jvengine.KindCanceled && ctx.Err() == nil:
		return false, &Problem{Name: ProblemFailed, Message: "the caller disconnected and has no key to retry with"}
	case ctx.Err() != nil:
		return false, &Problem{Name: ProblemDeadline, Message: "the deadline passed before the answer was complete", RetryAfter: time.Second}
	case kind == jvengine.KindInvalid:
		return false, &Problem{Name: ProblemFailed, Message: "the target refused the request: " + err.Error()}
	case m.attempts >= q.Model.Profile.MaxAttempts:
		return false, &Problem{Name: ProblemFailed, Message: fmt.Sprintf("%d attempts failed, the last one with: %s", m.attempts, kind), RetryAfter: time.Second}
	case !rt.retries.Spend():
		return false, &Problem{Name: ProblemOverloaded, Message: messageRetries, RetryAfter: 2 * time.Second}
	}
	rt.meter.Retries.Inc()
	return true, nil
}

// settleUnknown settles an attempt that may have run, with the tokens that the target confirms or
// else with the worst case, and reports whether the target crashed.
func (m *modelRun) settleUnknown(lease jvtarget.Lease, r sessionReservation, usage jvengine.Usage, kind jvengine.Kind) bool {
	rt := m.router
	if kind == jvengine.KindCrossed {
		rt.meter.Crossed.Inc()
	}
	ctx, cancel := context.WithTimeout(rt.ctx, rt.options.Timing.PeerTimeout)
	defer cancel()
	if usage.Total() > 0 {
		m.settle(r, usage.Total(), "as the target reported when it ended the answer")
		return false
	}
	confirmed, err := rt.options.Targets.Cancel(ctx, lease.Target, lease.Attempt)
	if err == nil {
		m.settle(r, confirmed.Total(), "as the target confirmed after the answer broke off")
		return false
	}
	rt.meter.WorstCase.AddInt64(r.Tokens)
	m.settle(r, r.Tokens, "at the worst case, since the target confirmed nothing")
	return kind == jvengine.KindBroken && rt.detectCrash(lease)
}

// resultOf returns the result that a failure of an attempt counts as for its target.
func resultOf(k jvengine.Kind) jvtarget.Result {
	switch k {
	case jvengine.KindUnsent, jvengine.KindBroken:
		return jvtarget.ResultFailed
	}
	return jvtarget.ResultInconclusive
}

func textDigest(text string) string {
	d := sha256.Sum256([]byte(text))
	return hex.EncodeToString(d[:])
}
