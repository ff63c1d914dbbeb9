package jvrelay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvhedge"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// What became of an extra attempt, in log lines and metrics, besides the reasons of jvhedge for not sending one.
const (
	hedgeSent     = "sent"
	hedgeWon      = "won"
	hedgeCanceled = "canceled"
	// hedgeSuspected means that the request was running in a crash of a target.
	hedgeSuspected = "suspected"
	// hedgeRetries means that the retry budget has none to spare, hedgeTokens that there was no second reservation, and
	// hedgeTarget that no other target had a free slot.
	hedgeRetries = "retries"
	hedgeTokens  = "tokens"
	hedgeTarget  = "target"
)

// hedgedRuns is the number of runs that a request may have with an extra attempt.
const hedgedRuns = 2

// mayHedge reports whether an extra attempt may be sent besides the next one. Requests that have failed before get retries
// only.
func (r *Relay) mayHedge(a *activeRequest) bool {
	return r.hedger != nil && a.route.Repeatable() && a.route.MaxAttempts >= hedgedRuns && a.possibleRuns == 0 &&
		!a.headersSent && a.hedge == ""
}

// racer is one of the attempts of a request that are sent side by side.
type racer struct {
	lease jvtarget.Lease
	// state is a request of its own with the target and the times of this attempt.
	state  *activeRequest
	mark   *jvhedge.Attempt
	cancel context.CancelFunc
	done   chan head
	// isExtra is true for the attempt that was sent later.
	isExtra bool
}

// head is the beginning of a target's response.
type head struct {
	response *Response
	err      error
}

// failure returns why another attempt in progress is preferred, or nil.
func (h head) failure() error {
	switch {
	case h.err != nil:
		return h.err
	case h.response.failure() != nil:
		return h.response.failure()
	case h.response.Status >= http.StatusInternalServerError:
		return jvfault.Newf("attempt", KindFailed, "the target answered %d", h.response.Status)
	}
	return nil
}

// reserved is the result of a reservation.
type reserved struct {
	reservation jvescrow.Reservation
	err         error
}

// race sends an attempt, and an extra one if that is not answered in time. Only its own goroutine uses it.
type race struct {
	relay   *Relay
	ctx     context.Context //nolint:containedctx // The context of both attempts.
	request *activeRequest
	// main is the only attempt, or the first of two; extra is the second one while both run, else nil.
	main  *racer
	extra *racer
	// reserving delivers the reservation for the extra attempt while that is awaited, else it is nil.
	reserving     chan reserved
	cancelReserve context.CancelFunc
	stall         stallTimer
	// move cancels both attempts if the request may go to another target.
	move func()
}

// hedgedAttempt sends the request to a target, and also to another one if that does not answer in time. It forwards the
// response that begins first, and returns the lease of its attempt.
func (r *Relay) hedgedAttempt(ctx context.Context, a *activeRequest, lease jvtarget.Lease) (used jvtarget.Lease, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c := &race{relay: r, ctx: ctx, request: a, move: func() {
		if r.spendMove(a) {
			cancel(errStalled)
		}
	}}
	c.stall = r.startStallTimer(a, c.move)
	defer func() { c.stall.stop() }()
	c.main = c.start(lease)
	winner, h := c.run()
	defer func() {
		r.countAttempt(a, err)
		winner.lease.Release(resultOf(err))
	}()
	if h.err != nil {
		return winner.lease, r.classify(ctx, h.err)
	}
	return winner.lease, r.deliver(ctx, a, r.withCheckedEnd(ctx, a, winner.lease.Target, h.response), c.stall)
}

// start sends an attempt.
func (c *race) start(lease jvtarget.Lease) *racer {
	r, a := c.relay, c.request
	now := r.options.Timer.Now()
	s := &activeRequest{
		request: a.request, route: a.route, workspace: a.workspace, priority: a.priority, placement: a.placement, features: a.features,
		deadline: a.deadline, lastEventID: a.lastEventID, attemptStartedAt: now, recordBegan: lease.Began,
	}
	s.setTarget(lease.Target, r.registry.startedAt(lease.Target.Name))
	ctx, cancel := context.WithCancel(c.ctx)
	x := &racer{lease: lease, state: s, mark: r.hedger.Begin(a.route.Name, lease.Target.Name, now), cancel: cancel, done: make(chan head, 1)}
	d := r.newDispatch(a)
	d.Target = lease.Target
	go func() {
		response, err := r.exchange(ctx, s, d)
		x.done <- head{response: response, err: err}
	}()
	return x
}

// run returns the attempt that becomes the request's, and the beginning of its response.
func (c *race) run() (*racer, head) {
	defer c.endReserve()
	due := c.relay.options.Timer.After(c.main.mark.Delay())
	for {
		var x, other *racer
		var h head
		var extraDone chan head
		if c.extra != nil {
			extraDone = c.extra.done
		}
		select {
		case <-due:
			due = nil
			c.consider()
		case g := <-c.reserving:
			c.reserving = nil
			c.cancelReserve()
			c.sendReserved(g)
		case h = <-c.main.done:
			x, other = c.main, c.extra
		case h = <-extraDone:
			x, other = c.extra, c.main
		}
		if x == nil {
			continue
		}
		c.relay.hedger.End(x.mark, c.relay.options.Timer.Now(), h.failure() == nil)
		if other != nil && c.ctx.Err() == nil && h.failure() != nil {
			c.main, c.extra = other, nil
			c.fail(x, h)
			continue
		}
		if other != nil {
			c.abandon(other)
		}
		c.adopt(x, h)
		return x, h
	}
}

// consider sends an extra attempt, or asks for its reservation, unless something speaks against it.
func (c *race) consider() {
	r, a := c.relay, c.request
	if c.ctx.Err() != nil {
		return
	}
	if _, ok := r.options.Quarantine.Check(a.features); !ok || r.options.Quarantine.Suspected(a.features.Request) {
		c.refuse(hedgeSuspected)
		return
	}
	p := jvhedge.Pool{Name: a.pool}
	p.Waiting, p.Busy, p.Slots = r.targets.Occupancy(a.pool)
	if reason, ok := r.hedger.Decide(c.main.mark, r.options.Timer.Now(), p, r.Stopping()); !ok {
		c.refuse(string(reason))
		return
	}
	if !r.retries.budget(a.pool).SpendSpare() {
		r.hedger.Refund(a.pool)
		c.refuse(hedgeRetries)
		return
	}
	if a.reservedTokens == 0 {
		c.sendExtra()
		return
	}
	maxWait := time.Duration(r.options.ReserveWaitShare * float64(a.route.TargetLatency))
	ctx, cancel := context.WithTimeout(c.ctx, maxWait)
	c.cancelReserve = cancel
	results := make(chan reserved, 1)
	c.reserving = results
	go func() {
		reservation, err := r.options.Budgets.Reserve(ctx, a.workspace, a.reservedTokens)
		results <- reserved{reservation: reservation, err: err}
	}()
}

// refuse records why no extra attempt is sent.
func (c *race) refuse(reason string) {
	c.request.hedge = reason
	c.relay.options.Meter.CountHedge(c.request.pool, reason)
}

// refund gives back what the extra attempt has taken out of the limits.
func (c *race) refund() {
	c.relay.hedger.Refund(c.request.pool)
	c.relay.retries.budget(c.request.pool).Refund()
}

// sendReserved sends an extra attempt if there is a reservation for it.
func (c *race) sendReserved(g reserved) {
	if g.err != nil {
		c.refund()
		c.refuse(hedgeTokens)
		return
	}
	switch {
	case c.relay.Stopping():
		c.refund()
		c.refuse(string(jvhedge.ReasonStopping))
	case c.sendExtra():
		c.request.extraReservation = &g.reservation
		return
	}
	c.relay.options.Budgets.Settle(g.reservation, 0)
}

// endReserve ends the wait for a reservation that is not needed any more.
func (c *race) endReserve() {
	if c.reserving == nil {
		return
	}
	c.cancelReserve()
	c.refund()
	budgets, results := c.relay.options.Budgets, c.reserving
	go func() {
		if g := <-results; g.err == nil {
			budgets.Settle(g.reservation, 0)
		}
	}()
}

// sendExtra sends an extra attempt to a target that has a free slot now, and reports whether there is one.
func (c *race) sendExtra() bool {
	r, a := c.relay, c.request
	s := r.slotRequest(a).WithAvoided([]string{c.main.lease.Target.Name})
	s.PreferAnswered = true
	now, cancel := context.WithCancel(c.ctx)
	cancel() // Acquire must not wait.
	lease, err := r.targets.Acquire(now, s)
	if err != nil {
		c.refund()
		c.refuse(hedgeTarget)
		return false
	}
	c.stall.stop()
	if c.ctx.Err() != nil {
		lease.Release(jvtarget.ResultInconclusive)
		c.refund()
		return false
	}
	a.attempts++
	a.possibleRuns++ // One of the two runs does not become the request's.
	a.hedge = hedgeSent
	r.options.Meter.CountHedge(a.pool, hedgeSent)
	c.stall = r.startStallTimer(a, c.move)
	c.extra = c.start(lease)
	c.extra.isExtra = true
	return true
}

// adopt makes an attempt the one of the request, whose response may be forwarded.
func (c *race) adopt(x *racer, h head) {
	a := c.request
	a.attemptStartedAt = x.state.attemptStartedAt
	a.setTarget(x.lease.Target, x.state.targetStartedAt)
	if x.isExtra && h.failure() == nil {
		a.hedge = hedgeWon
		c.relay.options.Meter.CountHedge(a.pool, hedgeWon)
	}
}

// fail ends an attempt that failed while the other one runs.
func (c *race) fail(x *racer, h head) {
	r, a := c.relay, c.request
	err := h.failure()
	kind := jvfault.KindOf[Kind](err)
	if h.response != nil {
		_ = h.response.Body.Close()
	}
	x.cancel()
	a.cause = err.Error()
	a.avoid = append(a.avoid, x.lease.Target.Name)
	switch kind {
	case KindUnsent, KindRefused:
		a.possibleRuns--
		a.notRun++
		c.stall.stop()
		c.stall = r.startStallTimer(a, c.move) // The other attempt may be followed by one more.
	default:
		a.ranBeside = true
	}
	if kind == KindUnsent {
		a.unsent++
	} else {
		a.failed = append(a.failed, x.lease.Target.Name)
	}
	if errors.Is(err, ErrConnectionRefused) {
		a.refusals++
	}
	c.end(x, err)
	ctx := c.ctx
	go func() { r.recordTargetFailure(ctx, x.state, x.lease.Target, kind, err) }() // It may open a connection to the target.
}

// abandon cancels an attempt that may run, since the other one was answered or the request ends. Its connection is closed.
func (c *race) abandon(x *racer) {
	r := c.relay
	x.cancel()
	c.request.ranBeside = true
	go func() {
		if h := <-x.done; h.response != nil {
			_ = h.response.Body.Close()
		}
	}()
	r.hedger.End(x.mark, r.options.Timer.Now(), false)
	r.options.Meter.CountHedge(c.request.pool, hedgeCanceled)
	if c.ctx.Err() == nil {
		x.lease.Release(jvtarget.ResultInconclusive)
		r.options.Meter.CountAttempt(c.request.pool, hedgeCanceled)
		return
	}
	err := r.classify(c.ctx, jvfault.New("attempt", KindBroken, c.ctx.Err()))
	c.end(x, err)
	if errors.Is(err, errStalled) { // Both targets were silent.
		c.request.avoid = append(c.request.avoid, x.lease.Target.Name)
		c.request.silent = append(c.request.silent, x.lease.Target.Name)
	}
	r.recordTargetFailure(c.ctx, x.state, x.lease.Target, jvfault.KindOf[Kind](err), err)
}

// end logs and counts an attempt that failed, and releases its slot.
func (c *race) end(x *racer, err error) {
	r, a := c.relay, c.request
	r.countAttempt(x.state, err)
	x.lease.Release(resultOf(err))
	r.options.Logger.Info("attempt failed", "request", a.request.ID, "target", x.lease.Target.Name, "build", x.lease.Target.Version, "try", a.attempts,
		"digest", a.features.Request.String(), "kind", jvfault.KindOf[Kind](err), "cause", err.Error(), "why", x.lease.Reason, "hedge", a.hedge,
		"attemptms", r.options.Timer.Since(x.state.attemptStartedAt).Milliseconds())
}
