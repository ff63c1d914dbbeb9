package jvrelay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvgrant"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// When callers who were refused may come back.
const (
	// unreadyRetry is the time that a start takes to read its state.
	unreadyRetry = 500 * time.Millisecond
	// budgetRetry is the time that routers take to give back what another one lacks.
	budgetRetry = 300 * time.Millisecond
	// emptyRetry is when a top-up may have come, at the earliest.
	emptyRetry = time.Second
	// targetRetry is the least pause before targets that took no work are tried again.
	targetRetry = 200 * time.Millisecond
)

// Serve answers one request: route and workspace, reservation, attempts, settlement.
func (r *Relay) Serve(ctx context.Context, q *Request, c Caller) {
	r.active.Add(1)
	defer r.active.Add(-1)
	f := newFlight(q, c)
	p := r.run(ctx, f)
	switch {
	case p != nil && f.begun:
		c.Abort()
	case p != nil:
		f.status = p.Status
		c.Refuse(*p)
	}
	r.log(ctx, f, p)
}

func (r *Relay) run(ctx context.Context, f *flight) *Problem {
	if p := r.admit(f); p != nil {
		return p
	}
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel()
	if total := f.request.Usage.Total(); total > 0 && f.workspace != "" {
		if _, bound := r.Prepaid(f.workspace); bound {
			return r.runPaid(ctx, f, total)
		}
	}
	return r.attempts(ctx, f)
}

// admit finds route and workspace in the configuration in force.
func (r *Relay) admit(f *flight) *Problem {
	q := f.request
	t := r.table.Load()
	if t == nil {
		return notRun("unready", "this router has no configuration yet", unreadyRetry)
	}
	f.version = t.Version()
	route, ok := t.Match(q.Host, q.Path)
	if !ok {
		return &Problem{Status: http.StatusNotFound, Name: "missing", Message: fmt.Sprintf("no route of host %q begins %q", q.Host, q.Path)}
	}
	f.route = route
	f.rank = route.Priority
	if t.RequiresKey() && !route.Anonymous {
		w, ok := t.WorkspaceByKey(q.Key)
		if !ok {
			return &Problem{Status: http.StatusUnauthorized, Name: "unauthorized", Message: "the key belongs to no workspace"}
		}
		f.workspace = w.Name
		if w.Priority >= 0 {
			f.rank = w.Priority
		}
	}
	f.pool = route.SelectPool(r.options.Chance.Float())
	if pool, ok := t.Pool(f.pool); ok {
		f.eventTokens = pool.MaxEventTokens
	}
	if route.Timeout > 0 {
		f.deadline = earlier(f.deadline, q.ArrivedAt.Add(route.Timeout))
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// runPaid reserves the worst case around the attempts.
func (r *Relay) runPaid(ctx context.Context, f *flight, total int64) *Problem {
	patience := time.Duration(r.options.ReserveWaitShare * float64(f.route.TargetLatency))
	wait, cancel := context.WithTimeout(ctx, patience)
	reservation, err := r.options.Budgets.Reserve(wait, f.workspace, total)
	cancel()
	f.reserved = r.options.Timer.Since(f.request.ArrivedAt)
	if err != nil {
		f.cause = err.Error()
		switch jvfault.KindOf[jvgrant.Kind](err) {
		case jvgrant.KindSpent:
			return &Problem{Status: http.StatusPaymentRequired, Name: "budget", Message: err.Error()}
		case jvgrant.KindEmpty:
			return notRun("budget", err.Error(), emptyRetry)
		}
		return notRun("budget", err.Error(), budgetRetry)
	}
	defer func() { r.options.Budgets.Settle(reservation, f.used()) }()
	return r.attempts(ctx, f)
}

// attempts sends the request to targets until one answers whole or no other may.
func (r *Relay) attempts(ctx context.Context, f *flight) *Problem {
	f.digest = f.request.digest()
	r.retry(f.pool).Earn()
	for {
		lease, err := r.targets.Acquire(ctx, r.ask(f))
		if err != nil {
			f.cause = err.Error()
			return r.noTarget(f, err)
		}
		f.tries++
		f.target = lease.Target.Name
		err = r.attempt(ctx, f, lease)
		if err == nil {
			return nil
		}
		f.cause = err.Error()
		if p, final := r.weigh(ctx, f, lease, err); final {
			return p
		}
	}
}

func (r *Relay) ask(f *flight) jvtarget.Request {
	a := jvtarget.Request{
		Pool:     f.pool,
		Attempt:  fmt.Sprintf("%s.%d", f.request.ID, f.tries+1),
		Digest:   f.digest,
		Priority: -f.rank,
		Avoid:    f.avoid,
		Deadline: f.deadline,
	}
	if f.route.Sticky {
		a.Prefix = f.request.affinity()
	}
	return a
}

// noTarget tells the caller why no target takes the request.
func (r *Relay) noTarget(f *flight, err error) *Problem {
	if f.runs > 0 {
		return mayHaveRun(err.Error())
	}
	retry := targetRetry
	var refusal *jvtarget.Refusal
	if errors.As(err, &refusal) && refusal.Cause.Kind == jvtarget.KindOverloaded {
		retry = max(retry, refusal.RetryAfter/2)
	}
	return notRun("overloaded", err.Error(), retry)
}

// weigh decides after a failed attempt whether the request may go to another target.
func (r *Relay) weigh(ctx context.Context, f *flight, lease jvtarget.Lease, err error) (*Problem, bool) {
	kind := jvfault.KindOf[Kind](err)
	r.options.Logger.Info("attempt failed", "request", f.request.ID, "target", lease.Target.Name, "try", f.tries,
		"kind", kind, "cause", err.Error(), "why", lease.Reason, "events", f.events)
	f.avoid = append(f.avoid, lease.Target.Name)
	switch kind {
	case KindCallerGone:
		f.runs++
		return nil, true
	case KindUnsent, KindRefused:
		f.unsent++
	default:
		f.runs++
	}
	switch {
	case ctx.Err() != nil && f.runs > 0:
		return expired("the deadline passed before a whole answer came"), true
	case ctx.Err() != nil:
		return notRun("deadline", "the deadline passed before a target took the request", targetRetry), true
	case kind == KindUnsent && f.unsent < r.options.MaxNotRun:
		return nil, false
	case kind == KindRefused && f.unsent < r.options.MaxNotRun && r.retry(f.pool).Spend():
		return nil, false
	case f.runs == 0:
		return notRun("overloaded", "no target took the request: "+err.Error(), targetRetry), true
	case !f.route.Repeatable() || f.runs >= f.route.MaxAttempts:
		return mayHaveRun(err.Error()), true
	case f.paid, errors.Is(err, errStalled):
		f.paid = false
		return nil, false
	case r.retry(f.pool).Spend():
		return nil, false
	}
	return mayHaveRun("retries are used up after: " + err.Error()), true
}
