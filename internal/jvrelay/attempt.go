package jvrelay

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvreach"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// attempt sends the request to one target and forwards its response.
func (r *Relay) attempt(ctx context.Context, a *activeRequest, lease jvtarget.Lease) (err error) {
	ctx, stop, stall := r.startAttempt(ctx, a)
	defer stop()
	defer func() {
		r.countAttempt(a, err)
		lease.Release(resultOf(err))
	}()
	d := r.newDispatch(a)
	d.Target = lease.Target
	a.recordBegan = lease.Began
	response, err := r.send(ctx, a, d)
	if err != nil {
		return r.classify(ctx, err)
	}
	return r.deliver(ctx, a, response, stall)
}

// startAttempt starts the timer of an attempt that stalls. stop ends the timer and the returned context.
func (r *Relay) startAttempt(ctx context.Context, a *activeRequest) (attempt context.Context, stop func(), stall stallTimer) {
	attempt, cancel := context.WithCancelCause(ctx)
	stall = r.startStallTimer(a, func() {
		if r.spendMove(a) {
			cancel(errStalled)
		}
	})
	return attempt, func() {
		stall.stop()
		cancel(nil)
	}, stall
}

func (r *Relay) countAttempt(a *activeRequest, err error) {
	r.options.Meter.CountAttempt(a.pool, string(jvfault.KindOf[Kind](err)))
	r.options.Meter.CountVersionAttempt(a.pool, a.version, a.resumeAfter() != "")
}

// newDispatch returns the next attempt of a request without its target.
func (r *Relay) newDispatch(a *activeRequest) Dispatch {
	return Dispatch{
		Request:       a.request,
		Workspace:     a.workspace,
		Timeout:       a.deadline.Sub(r.options.Timer.Now()),
		Priority:      a.priority,
		LastEventID:   a.resumeAfter(),
		NewConnection: !a.route.Repeatable(),
	}
}

// send sends an attempt to its target and records what the response says about the target. The body of the
// response must be closed.
func (r *Relay) send(ctx context.Context, a *activeRequest, d Dispatch) (*Response, error) {
	response, err := r.exchange(ctx, a, d)
	if err != nil {
		return nil, err
	}
	return r.withCheckedEnd(ctx, a, d.Target, response), nil
}

// exchange is send without the check of the response's end.
func (r *Relay) exchange(ctx context.Context, a *activeRequest, d Dispatch) (*Response, error) {
	r.options.Reach.Begin()
	response, err := r.options.Sender.Send(ctx, d)
	if err != nil {
		r.options.Reach.End()
		return nil, err
	}
	response.Body = &contactBody{ReadCloser: response.Body, reach: r.options.Reach, target: d.Target.Name, began: a.recordBegan}
	r.options.Reach.Contact(d.Target.Name)
	if response.Load != nil {
		r.targets.RecordLoad(a.pool, d.Target.Name, *response.Load)
	}
	r.hearLimit(a, response)
	if response.ColdFor != nil && !response.WrongInstance {
		r.registry.hearCold(d.Target.Name, r.registry.startedAt(d.Target.Name), *response.ColdFor)
	}
	r.recordSigns(a, response)
	if response.Brittle && (response.Signed || response.Refused) && !response.WrongInstance && r.targets.RecordBrittle(a.pool) {
		r.options.Logger.Info("targets are brittle", "pool", a.pool, "target", d.Target.Name)
	}
	if response.WrongInstance {
		r.registry.markDisplaced(d.Target.Name)
	}
	return response, nil
}

// contactBody is the body of a target's response, each part of which shows that this router reaches targets.
type contactBody struct {
	io.ReadCloser

	reach  *jvreach.Monitor
	target string
	closed bool
	// began is called with the first part, and nil after that.
	began func()
}

// Read implements io.Reader.
func (b *contactBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.reach.Contact(b.target)
		if b.began != nil {
			b.began()
			b.began = nil
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *contactBody) Close() error {
	if !b.closed {
		b.closed = true
		b.reach.End()
	}
	return b.ReadCloser.Close()
}

// deliver forwards a target's response to the caller if it belongs to the attempt.
func (r *Relay) deliver(ctx context.Context, a *activeRequest, response *Response, stall stallTimer) error {
	defer func() { _ = response.Body.Close() }()
	if err := response.failure(); err != nil {
		return err
	}
	a.framing = response.End
	return r.forwardSigned(ctx, a, response, stall)
}

// failure returns the failure of an attempt whose response must not be forwarded, else nil.
func (r *Response) failure() error {
	switch {
	case r.Refused && r.Unidentified:
		return jvfault.Newf("attempt", KindRefused, "the target answered %d and did not run it, without the request's ID", r.Status)
	case r.Refused:
		return jvfault.Newf("attempt", KindRefused, "the target answered %d and did not run it", r.Status)
	case !r.Signed && r.Unidentified && promisesNotRun(r.Status):
		return jvfault.Newf("attempt", KindUnproven, "status %d came without an id on a connection that has carried other requests", r.Status)
	case !r.Signed:
		return jvfault.Newf("attempt", KindCrossed, "status %d came without the target's signature or with another request's id", r.Status)
	case promisesNotRun(r.Status):
		return jvfault.Newf("attempt", KindFailed, "the target answered %d, which callers take for a refusal, and may have run it", r.Status)
	}
	return nil
}

// promisesNotRun reports whether a status means to callers that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// hearLimit records what a response says about its target's limit. A response that is not the target's own
// says nothing, nor does a limit that can't be read.
func (r *Relay) hearLimit(a *activeRequest, response *Response) {
	if response.WrongInstance {
		return
	}
	own := response.Signed || response.Refused
	namesNone := response.Signed && !response.Refused && !response.NamesLimit
	if own && response.Limit != nil || namesNone {
		r.options.Limits.Hear(a.target, a.targetStartedAt, a.attemptStartedAt, response.Limit)
	}
}

// classify turns err into a KindBroken error if the attempt was canceled because it stalled, into a KindStopped error
// if this router's stop canceled it, and into a KindCallerDisconnected error if the caller has disconnected.
func (r *Relay) classify(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		return jvfault.New("attempt", KindBroken, errStalled)
	}
	if err != nil && stopped(ctx) && jvfault.KindOf[Kind](err) != KindUnsent {
		return jvfault.New("attempt", KindStopped, errStopped)
	}
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return jvfault.New("attempt", KindCallerDisconnected, err)
	}
	return err
}

// resultOf returns what the outcome of an attempt shows about its target.
func resultOf(err error) jvtarget.Result {
	switch jvfault.KindOf[Kind](err) {
	case "":
		return jvtarget.ResultSucceeded
	case KindBroken:
		switch {
		case errors.Is(err, errStalled):
			return jvtarget.ResultSilent
		case errors.Is(err, context.DeadlineExceeded):
			return jvtarget.ResultTimedOut
		}
		return jvtarget.ResultFailed
	case KindUnsent, KindCrossed:
		return jvtarget.ResultFailed
	}
	return jvtarget.ResultInconclusive
}
