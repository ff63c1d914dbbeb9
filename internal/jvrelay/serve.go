package jvrelay

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvgrant"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// Delays after which callers should retry refused requests.
const (
	// unreadyRetryAfter is how long a starting router takes to read its state.
	unreadyRetryAfter = 500 * time.Millisecond
	// budgetRetryAfter is how long other routers take to return tokens that this one lacks.
	budgetRetryAfter = 300 * time.Millisecond
	// emptyRetryAfter is the shortest time after which the budget may have been topped up.
	emptyRetryAfter = time.Second
	// targetRetryAfter is the minimum delay if no target accepted the request.
	targetRetryAfter = 200 * time.Millisecond
)

// Serve handles one request: route and workspace, reservation, attempts, settlement. It reports whether the request was
// refused before a target ran it.
func (r *Relay) Serve(ctx context.Context, q *Request, c Caller) (refused bool) {
	r.active.Add(1)
	defer r.active.Add(-1)
	a := newActiveRequest(q, c)
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer r.open.add(&a.open, cancel)()
	handled := false
	defer func() {
		if !handled { // net/http closes the connection, and its line on the panic does not name the request.
			r.options.Logger.Info("request ended by a panic", "request", q.ID, "route", a.route.Name, "target", a.target,
				"tries", a.attempts, "events", a.eventsForwarded)
		}
	}()
	p := r.handle(waiting, a)
	handled = true
	if stopped(waiting) && p != nil && p.Status == http.StatusServiceUnavailable {
		p = stopping("this router stopped before a target ran the request")
	}
	if a.end == jvend.Proven && a.status < http.StatusInternalServerError {
		r.crashes.requestCompleted(a.completedFeatures())
	}
	answered := p != nil && !a.headersSent
	if answered {
		a.status = p.Status
	}
	r.report(ctx, a, p) // Before End, which may panic.
	if answered {
		c.Refuse(*p)
		return a.possibleRuns == 0
	}
	c.End(a.end) // Also after the caller has left: it may have closed its sending direction only.
	return false
}

// handle admits the request and runs its attempts, with a reservation if its workspace's budget is
// bounded. It returns nil if the response was forwarded or the caller disconnected during an attempt.
func (r *Relay) handle(ctx context.Context, a *activeRequest) *Problem {
	if p := r.admit(a); p != nil {
		return p
	}
	if p := r.refuseLate(ctx, a); p != nil {
		return p
	}
	if !r.options.Quarantine.Loaded() {
		return notRun("unready", "this router has not read which requests crash targets", unreadyRetryAfter)
	}
	a.setFeatures()
	if refusal, ok := r.options.Quarantine.Check(a.features); !ok {
		return quarantined(a, refusal)
	}
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	if p := r.bindResumed(ctx, a); p != nil {
		return p
	}
	if total := a.request.Usage.Total(); total > 0 && a.workspace != "" {
		if _, bounded := r.Prepaid(a.workspace); bounded {
			return r.handlePrepaid(ctx, a, total)
		}
	}
	return r.runAttempts(ctx, a)
}

// admit finds the request's route and workspace in the configuration in force, and sets its pool,
// priority and deadline by them.
func (r *Relay) admit(a *activeRequest) *Problem {
	q := a.request
	a.configAge, _ = r.options.Gate.ConfigAge()
	a.delay = r.options.Gate.Delay()
	t := r.table.Load()
	if t == nil {
		return notRun("unready", "this router has no configuration yet", unreadyRetryAfter)
	}
	if refusal := r.options.Gate.Stale(); refusal != nil { // The body may have taken long.
		return unreadProblem(refusal)
	}
	a.configVersion, a.table = t.Version(), t
	route, ok := t.Match(q.Host, q.Path)
	if !ok {
		return &Problem{Status: http.StatusNotFound, Name: "missing", Message: fmt.Sprintf("no route of host %q matches path %q", q.Host, q.Path)}
	}
	a.route = route
	a.open.update(func(o *openRequest) { o.route = route.Name })
	a.priority = route.Priority
	if t.RequiresKey() && !route.Anonymous {
		w, ok := t.WorkspaceByKey(q.Key)
		if !ok {
			return &Problem{Status: http.StatusUnauthorized, Name: "unauthorized", Message: "the key belongs to no workspace"}
		}
		a.workspace = w.Name
		if w.Priority >= 0 {
			a.priority = w.Priority
		}
	}
	a.place(route.SelectPool(r.options.Random.Float()))
	if q.DefaultTimeout {
		a.endsAt = q.ArrivedAt.Add(unbounded)
	}
	if route.Timeout > 0 {
		a.deadline = earlier(a.deadline, q.ArrivedAt.Add(route.Timeout))
		a.endsAt = earlier(a.endsAt, q.ArrivedAt.Add(route.Timeout))
	}
	a.open.update(func(o *openRequest) { o.endsAt = a.endsAt })
	return nil
}

// unbounded is how long a request may last that has neither a deadline of its caller nor a timeout of its route.
const unbounded = time.Duration(math.MaxInt64)

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// handlePrepaid reserves the maximum usage, runs the attempts, and settles the reservation.
func (r *Relay) handlePrepaid(ctx context.Context, a *activeRequest, total int64) *Problem {
	maxWait := time.Duration(r.options.ReserveWaitShare * float64(a.route.TargetLatency))
	reserveCtx, cancel := context.WithTimeout(ctx, maxWait)
	reservation, err := r.options.Budgets.Reserve(reserveCtx, a.workspace, total)
	cancel()
	a.reserveWait = r.options.Timer.Since(a.request.ArrivedAt)
	if err != nil {
		a.cause = err.Error()
		switch jvfault.KindOf[jvgrant.Kind](err) {
		case jvgrant.KindSpent:
			return &Problem{Status: http.StatusPaymentRequired, Name: "budget", Message: err.Error()}
		case jvgrant.KindEmpty:
			return notRun("budget", err.Error(), emptyRetryAfter)
		}
		return notRun("budget", err.Error(), budgetRetryAfter)
	}
	defer func() {
		r.options.Budgets.Settle(reservation, a.used())
		if a.extraReservation != nil {
			r.options.Budgets.Settle(*a.extraReservation, a.extraUsed())
		}
	}()
	a.reservedTokens = total
	return r.runAttempts(ctx, a)
}

// runAttempts sends the request to targets until one responds or no further attempt is allowed.
func (r *Relay) runAttempts(ctx context.Context, a *activeRequest) *Problem {
	r.retries.budget(a.pool).Earn()
	if r.hedger != nil {
		r.hedger.Earn(a.pool)
	}
	defer r.refundReturn(a)
	for {
		a.open.setSent(a.possibleRuns > 0)
		if p := r.refuseLate(ctx, a); p != nil {
			return p
		}
		t, err := r.nextTry(ctx, a)
		if err != nil {
			a.cause = err.Error()
			if a.moved && r.awaitTarget(ctx, a) {
				continue
			}
			return r.noTargetProblem(a, err)
		}
		if refusal, ok := r.options.Quarantine.Admit(ctx, a.features); !ok { // Another router may have reported a crash.
			r.endTry(t, jvtarget.ResultInconclusive, false)
			return quarantined(a, refusal)
		}
		a.open.setSent(true)
		if p := r.refuseLate(ctx, a); p != nil { // It may have waited for a slot since the stop began.
			r.endTry(t, jvtarget.ResultInconclusive, false)
			return p
		}
		if s := r.stop.Load(); s != nil && a.attempts == 0 {
			r.open.countTaken(!r.options.Timer.Now().Before(s.noticeEnd))
		}
		a.startAttempt(r.options.Timer.Now(), t)
		if t.forwarded {
			err = r.forwardAttempt(ctx, a, t.peer)
		} else {
			a.setTarget(t.lease.Target, r.registry.startedAt(t.lease.Target.Name))
			if r.mayHedge(a) {
				t.lease, err = r.hedgedAttempt(ctx, a, t.lease)
			} else {
				err = r.attempt(ctx, a, t.lease)
			}
		}
		if err == nil {
			return nil
		}
		a.cause = err.Error()
		if p, final := r.afterFailure(ctx, a, t, err); final {
			return p
		}
	}
}

// slotRequest returns the request for a slot for the next attempt. Its priority has the opposite
// sign, since jvtarget prefers larger values.
func (r *Relay) slotRequest(a *activeRequest) jvtarget.Request {
	s := jvtarget.Request{
		Pool:     a.pool,
		Class:    a.route.Name,
		Attempt:  fmt.Sprintf("%s.%d", a.request.ID, a.attempts+1),
		Digest:   a.features.Request[:],
		Priority: -a.priority,
		Avoid:    a.avoid,

		Workspace: a.workspace,
		Retried:   a.possibleRuns > 0,

		Deadline: a.deadline,
		Bound:    a.bound,
		Version:  a.origin.Version,

		PromptTokens:   a.request.Usage.PromptTokens,
		OutputTokens:   a.request.Usage.OutputTokens,
		CapacityTokens: a.capacityTokens,
	}
	// Requests that were running in the same crash are spread over targets, so that the next crash shows
	// which of them causes it.
	if a.route.CachedPrefixes && !r.options.Quarantine.Suspected(a.features.Request) {
		s.Prefix = a.request.prefixID()
		s.SharedTokens = a.request.prefixTokens()
	}
	return s
}

// noTargetProblem returns the problem of a request for which no slot could be acquired.
func (r *Relay) noTargetProblem(a *activeRequest, err error) *Problem {
	if a.possibleRuns > 0 {
		return mayHaveRun(err.Error())
	}
	retryAfter := targetRetryAfter
	var refusal *jvtarget.Refusal
	if errors.As(err, &refusal) && refusal.Cause.Kind == jvtarget.KindOverloaded {
		retryAfter = max(retryAfter, refusal.RetryAfter/2)
	}
	if refusal != nil && refusal.Cause.Kind == jvtarget.KindBackoff {
		retryAfter = max(retryAfter, refusal.RetryAfter)
	}
	return notRun("overloaded", err.Error(), retryAfter)
}

// afterFailure decides after a failed attempt whether the request may go to another target. If
// not, it returns true and the problem to respond with, or nil if the caller has disconnected.
func (r *Relay) afterFailure(ctx context.Context, a *activeRequest, t try, err error) (*Problem, bool) {
	kind := jvfault.KindOf[Kind](err)
	if errors.Is(err, errStalled) {
		r.recordMove(a)
	}
	r.options.Logger.Info("attempt failed", "request", a.request.ID, "target", a.target, "build", a.version, "try", a.attempts,
		"digest", a.features.Request.String(), "kind", kind, "cause", err.Error(), "why", t.lease.Reason, "via", a.via, "events", a.eventsForwarded,
		"attemptms", r.options.Timer.Since(a.attemptStartedAt).Milliseconds())
	r.recordFailure(ctx, a, t, kind, err)
	switch kind {
	case KindCallerDisconnected:
		a.possibleRuns++
		return nil, true
	case KindUnsent, KindRefused:
		a.notRun++
	default:
		a.possibleRuns++
	}
	switch {
	case stopped(ctx) && a.possibleRuns > 0:
		return mayHaveRun("this router stopped before a complete response arrived"), true
	case ctx.Err() != nil && a.possibleRuns > 0:
		return expired("the deadline passed before a complete response arrived"), true
	case ctx.Err() != nil:
		return notRun("deadline", "the deadline passed before a target accepted the request", targetRetryAfter), true
	case a.sealed:
		return mayHaveRun(err.Error()), true
	case kind == KindRefused && a.returnPaid:
		a.returnPaid = false
		a.allowSilent()
		return nil, false
	case kind == KindUnsent && a.triesUnsent(r.options.MaxNotRun):
		return nil, false
	case kind == KindRefused && a.notRun-a.refusals < r.options.MaxNotRun && r.retries.budget(a.pool).Spend():
		return nil, false
	case a.possibleRuns == 0:
		return notRun("overloaded", "no target accepted the request: "+err.Error(), max(targetRetryAfter, r.targets.Rest(r.slotRequest(a)))), true
	case !a.route.Repeatable() || a.possibleRuns >= a.route.MaxAttempts:
		return mayHaveRun(err.Error()), true
	case a.retryPaid, errors.Is(err, errStalled):
		a.retryPaid = false
		return nil, false
	case r.retries.budget(a.pool).Spend():
		return nil, false
	case a.moved && r.awaitRetry(ctx, a):
		return nil, false
	}
	return mayHaveRun("the retry budget is exhausted after: " + err.Error()), true
}
