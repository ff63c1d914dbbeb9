package jvrelay

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvroute"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// attempt sends the request to one target and passes its answer on.
func (r *Relay) attempt(ctx context.Context, f *flight, lease jvtarget.Lease) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := r.watch(f, func() {
		if r.retry(f.pool).Spend() { // Without another attempt the target's silence changes nothing.
			cancel(errStalled)
		}
	})
	defer stall.stop()
	defer func() {
		r.options.Meter.Attempt(f.pool, string(jvfault.KindOf[Kind](err)))
		lease.Release(endingOf(err))
	}()
	reply, err := r.options.Sender.Send(ctx, Dispatch{
		Request:   f.request,
		Target:    lease.Target,
		Workspace: f.workspace,
		Timeout:      f.deadline.Sub(r.options.Timer.Now()),
		Priority:      f.rank,
		LastEventID: f.lastEvent(),
		NewConnection:     !f.route.Repeatable(),
	})
	if err != nil {
		return r.gone(ctx, err)
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.Load != nil {
		r.targets.RecordLoad(f.pool, lease.Target.Name, *reply.Load)
	}
	if reply.WrongInstance {
		r.registry.displace(lease.Target.Name)
	}
	switch {
	case reply.Refused:
		return jvfault.Newf("attempt", KindRefused, "the target answered %d and did not run it", reply.Status)
	case !reply.Signed:
		return jvfault.Newf("attempt", KindCrossed, "status %d came without the target's signature or with another request's id", reply.Status)
	case reply.Status >= http.StatusInternalServerError && r.mayRepeat(f):
		f.paid = true
		return jvfault.Newf("attempt", KindFailed, "the target answered %d", reply.Status)
	case f.route.Kind == jvroute.KindStream && reply.Status == http.StatusOK:
		return r.gone(ctx, r.stream(f, reply, stall))
	}
	return r.gone(ctx, r.answer(f, reply))
}

// mayRepeat tells whether a failure that a target answered is worth another attempt, and
// pays for it.
func (r *Relay) mayRepeat(f *flight) bool {
	return f.route.Repeatable() && f.runs+1 < f.route.MaxAttempts && r.retry(f.pool).Spend()
}

// gone turns a failure into KindGone where the caller has left, and names a stall as its cause.
func (r *Relay) gone(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		return jvfault.New("attempt", KindBroken, errStalled)
	}
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return jvfault.New("attempt", KindCallerGone, err)
	}
	return err
}

func endingOf(err error) jvtarget.Result {
	switch jvfault.KindOf[Kind](err) {
	case "":
		return jvtarget.ResultSucceeded
	case KindUnsent, KindBroken, KindCrossed:
		return jvtarget.ResultFailed
	}
	return jvtarget.ResultInconclusive
}

// answer passes on an answer once it is whole, or as it comes where it is too large to hold.
func (r *Relay) answer(f *flight, reply *Response) error {
	const op = "read answer"
	held, err := io.ReadAll(io.LimitReader(reply.Body, r.options.MaxBufferedBytes))
	if err != nil {
		return jvfault.New(op, KindBroken, err)
	}
	f.first = r.options.Timer.Now()
	f.status = reply.Status
	if int64(len(held)) < r.options.MaxBufferedBytes {
		f.begun = true
		f.caller.Begin(reply.Status, reply.Header, int64(len(held)))
		if err := f.caller.Write(held); err != nil {
			return jvfault.New("pass answer on", KindCallerGone, err)
		}
		return r.finish(f)
	}
	f.begun = true
	f.caller.Begin(reply.Status, reply.Header, -1)
	for len(held) > 0 {
		if err := f.caller.Write(held); err != nil {
			return jvfault.New("pass answer on", KindCallerGone, err)
		}
		held, err = io.ReadAll(io.LimitReader(reply.Body, r.options.MaxBufferedBytes))
		if err != nil {
			return jvfault.New(op, KindBroken, err)
		}
	}
	return r.finish(f)
}

func (r *Relay) finish(f *flight) error {
	f.runs++
	f.whole = true
	return nil
}

// stream passes on whole events as they come. Headers go out with the first event, so that
// until then another target can still answer in this one's place.
func (r *Relay) stream(f *flight, reply *Response, stall watch) error {
	const op = "read stream"
	events := newEvents(reply.Body)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return jvfault.New(op, KindBroken, err)
		}
		if e.id >= 0 && f.last >= 0 && e.id <= f.last {
			continue // The target repeats what the caller has.
		}
		if e.id >= 0 && f.last >= 0 && e.id != f.last+1 {
			return jvfault.Newf(op, KindCrossed, "event %d came after event %d", e.id, f.last)
		}
		stall.reset()
		if err := r.pass(f, reply, e); err != nil {
			return err
		}
	}
	if !f.begun {
		f.begun = true
		f.caller.Begin(reply.Status, reply.Header, 0)
	}
	return r.finish(f)
}

func (r *Relay) pass(f *flight, reply *Response, e event) error {
	if !f.begun {
		f.begun = true
		f.status = reply.Status
		f.first = r.options.Timer.Now()
		f.caller.Begin(reply.Status, reply.Header, -1)
	}
	if err := f.caller.Write(e.raw); err != nil {
		return jvfault.New("pass stream on", KindCallerGone, err)
	}
	f.events++
	if e.id >= 0 {
		f.last = e.id
	}
	return nil
}
