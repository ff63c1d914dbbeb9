package jvrelay

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// ServePeer makes one attempt for another router, which does not reach targets, and returns the target's response. The
// other router has admitted the request, and settles it; it also closes the body of the response. An error of
// KindUnsent means that the attempt was sent to no target, KindRefused that the target did not run it.
func (r *Relay) ServePeer(ctx context.Context, d Dispatch, from string) (*Response, error) {
	const op = "attempt for another router"
	startedAt := r.options.Timer.Now()
	a := &activeRequest{request: d.Request, placement: placement{pool: d.Selection.Pool}, features: d.Selection.Features, lastEventID: -1, deadline: startedAt.Add(d.Timeout), open: openRequest{id: d.Request.ID, from: from, arrivedAt: startedAt, endsAt: startedAt.Add(d.Timeout)}}
	// A router that reaches no target does not forward what others have sent it: there is one hop only.
	if r.Room() == 0 || r.options.Reach.Cut() || !r.options.Gate.EnterOther() {
		return nil, r.reportPeer(a, from, jvfault.Newf(op, KindUnsent, "this router takes no requests of others now"))
	}
	ctx, cancelCause := context.WithCancelCause(ctx)
	remove := r.open.add(&a.open, cancelCause)
	ctx, cancelDeadline := context.WithDeadline(ctx, a.deadline)
	cancel := func() {
		cancelDeadline()
		cancelCause(nil)
	}
	end := func(lease jvtarget.Lease, err error) {
		lease.Release(resultOf(err))
		if err != nil {
			r.recordTargetFailure(ctx, a, lease.Target, jvfault.KindOf[Kind](err), err)
		}
		cancel()
		remove()
		r.options.Gate.LeaveOther()
		_ = r.reportPeer(a, from, err)
	}
	lease, response, err := r.tryForPeer(ctx, a, d, fmt.Sprintf("%s@%s.%d", d.Request.ID, from, startedAt.UnixNano()))
	if err != nil && a.target == "" {
		cancel()
		remove()
		r.options.Gate.LeaveOther()
		return nil, r.reportPeer(a, from, jvfault.New(op, KindUnsent, err))
	}
	if err != nil {
		err = r.classify(ctx, err)
		end(lease, err)
		return nil, err
	}
	response.Target = lease.Target
	response.StartedAtMillis = a.targetStartedAt
	failure := response.failure()
	response.Body = &peerBody{ReadCloser: response.Body, request: a, end: func(err error) {
		if failure != nil {
			end(lease, failure)
			return
		}
		end(lease, r.classify(ctx, err))
	}}
	return response, nil
}

// tryForPeer makes an attempt for another router, at the first target that does not refuse the connection. The request
// has no target after an error without an attempt. Once this router stops, only an attempt that ends by itself in time is
// made: it may have waited since before.
func (r *Relay) tryForPeer(ctx context.Context, a *activeRequest, d Dispatch, attempt string) (lease jvtarget.Lease, response *Response, err error) {
	s := d.Selection
	for {
		a.open.setSent(false)
		lease, err = r.targets.Acquire(ctx, jvtarget.Request{
			Pool: s.Pool, Attempt: fmt.Sprintf("%s.%d", attempt, a.attempts), Prefix: s.Prefix, Digest: s.Features.Request[:],
			Priority: -d.Priority, Workspace: d.Workspace, Avoid: slices.Concat(a.avoid, s.Avoid), PreferAnswered: true, Deadline: a.deadline, Bound: s.Bound, Version: s.Version,
		})
		if err != nil {
			a.target = ""
			return lease, nil, err
		}
		a.open.setSent(true)
		if stop := r.stop.Load(); stop != nil && !stop.endsInTime(a.deadline) {
			lease.Release(jvtarget.ResultInconclusive)
			a.target = ""
			return lease, nil, errStopped
		}
		a.startAttempt(r.options.Timer.Now(), try{lease: lease})
		a.setTarget(lease.Target, r.registry.startedAt(lease.Target.Name))
		d.Target = lease.Target
		a.recordBegan = lease.Began
		d.Timeout = a.deadline.Sub(r.options.Timer.Now())
		response, err = r.send(ctx, a, d)
		if !errors.Is(err, ErrConnectionRefused) || len(a.avoid) == maxRefusals || ctx.Err() != nil {
			return lease, response, err
		}
		lease.Release(resultOf(err))
		a.avoid = append(a.avoid, lease.Target.Name)
		r.recordTargetFailure(ctx, a, lease.Target, KindUnsent, err)
	}
}

// reportPeer writes the log line of an attempt for another router and records its metrics. It returns err.
func (r *Relay) reportPeer(a *activeRequest, from string, err error) error {
	kind := jvfault.KindOf[Kind](err)
	r.options.Meter.CountForwarded("in", string(kind))
	values := []any{"request", a.request.ID, "from", from, "pool", a.pool, "target", a.target, "build", a.version, "kind", kind}
	if err != nil {
		values = append(values, "cause", err.Error())
	}
	r.options.Logger.Info("attempt for another router", values...)
	return err
}

// peerBody is the body of a target's response to an attempt for another router. Its end ends the attempt.
type peerBody struct {
	io.ReadCloser

	request *activeRequest
	// end is called once with what ended the attempt.
	end   func(err error)
	ended bool
	// err is what ended the body: io.EOF if all of it was read, or nil while it goes on.
	err error
}

// Read implements io.Reader.
func (b *peerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.request.progress = b.request.progress || n > 0
	if n > 0 {
		b.request.open.addPart()
	}
	switch {
	case errors.Is(err, io.EOF):
		b.err = io.EOF
	case err != nil:
		b.err = jvfault.New("read response", KindBroken, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *peerBody) Close() error {
	err := b.ReadCloser.Close()
	if b.ended {
		return err
	}
	b.ended = true
	switch {
	case b.err == nil:
		b.end(jvfault.Newf("read response", KindCallerDisconnected, "the other router has left"))
	case errors.Is(b.err, io.EOF):
		b.end(nil)
	default:
		b.end(b.err)
	}
	return err
}
