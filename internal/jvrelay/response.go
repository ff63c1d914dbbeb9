package jvrelay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvmemory"
	"github.com/jasminevale/jasminevale/internal/jvroute"
)

// forwardSigned forwards a response that belongs to the attempt, unless another target gets the request.
func (r *Relay) forwardSigned(ctx context.Context, a *activeRequest, response *Response, stall stallTimer) error {
	if err := a.checkContinues(response); err != nil {
		return err
	}
	switch {
	case response.Status >= http.StatusInternalServerError && r.spendRetry(a):
		a.retryPaid = true
		return jvfault.Newf("attempt", KindFailed, "the target answered %d", response.Status)
	case a.route.Kind == jvroute.KindStream && response.isStream() && a.request.Method != http.MethodHead:
		return r.classify(ctx, r.forwardStream(ctx, a, response, stall))
	}
	return r.classify(ctx, r.forwardResponse(ctx, a, response, stall))
}

// isStream reports whether the body of a response is a series of events.
func (r *Response) isStream() bool {
	if r.Status != http.StatusOK || r.Header.Get("Content-Encoding") != "" {
		return false
	}
	media, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
	media = strings.TrimSpace(media)
	return media == "" || strings.EqualFold(media, "text/event-stream")
}

// spendRetry reports whether a request to which a target responded with a failure may be sent
// again, and takes the retry out of the pool's retry budget.
func (r *Relay) spendRetry(a *activeRequest) bool {
	return a.route.Repeatable() && a.possibleRuns+1 < a.route.MaxAttempts && r.retries.budget(a.pool).Spend()
}

// forwardResponse forwards a response once it is complete, or as it arrives if it exceeds the buffer or
// the memory that is left.
func (r *Relay) forwardResponse(ctx context.Context, a *activeRequest, response *Response, stall stallTimer) error {
	buffer := r.options.Memory.NewBuffer(r.options.MaxBufferedBytes)
	defer buffer.Free()
	_, err := buffer.ReadFrom(response.Body)
	a.progress = len(buffer.Bytes()) > 0
	if err != nil && !errors.Is(err, jvmemory.ErrFull) {
		return jvfault.New("read response", KindBroken, err)
	}
	if err != nil {
		stall.stop() // No other target can continue the response.
		if ctx.Err() != nil {
			return jvfault.New("read response", KindBroken, ctx.Err())
		}
		a.sealed = true
	}
	if err == nil && response.endsAtHead(buffer.Bytes()) {
		return jvfault.Newf("read response", KindBroken, "the connection ended after the head")
	}
	a.firstByteAt = r.options.Timer.Now()
	a.uncounted = a.engine && response.Status < http.StatusMultipleChoices && len(buffer.Bytes()) > 0
	if err != nil {
		return r.forwardLongResponse(a, response, buffer.Bytes())
	}
	a.begin(response, response.length(a.request.Method, len(buffer.Bytes())))
	if err := a.caller.Write(buffer.Bytes()); err != nil {
		return jvfault.New("forward response", KindCallerDisconnected, err)
	}
	return a.finish(response.End)
}

// length returns the length of a response for its caller, or -1 if it has none: that of the body as received, and for
// HEAD that of the body which the target would send.
func (r *Response) length(method string, received int) int64 {
	switch {
	case r.End != jvend.Proven:
		return -1
	case method != http.MethodHead:
		return int64(received)
	}
	n, err := strconv.ParseInt(r.Header.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// endsAtHead reports whether a success ended with its connection before a byte of its body: a target that ends after
// its head looks the same.
func (r *Response) endsAtHead(body []byte) bool {
	return r.End != jvend.Proven && r.Status < http.StatusMultipleChoices && len(body) == 0
}

// forwardLongResponse forwards what was read of a response, and the rest as it arrives.
func (r *Relay) forwardLongResponse(a *activeRequest, response *Response, begun []byte) error {
	a.begin(response, -1)
	var readErr error // It may come with the last bytes.
	for part := begun; ; {
		if err := a.caller.Write(part); err != nil {
			return jvfault.New("forward response", KindCallerDisconnected, err)
		}
		switch {
		case errors.Is(readErr, io.EOF):
			return a.finish(response.End)
		case readErr != nil:
			return jvfault.New("read response", KindBroken, readErr)
		}
		var n int
		n, readErr = response.Body.Read(begun[:cap(begun)])
		part = begun[:n]
	}
}

// begin begins the caller's response with a target's; length is the size of its body in bytes, or -1 if unknown.
func (a *activeRequest) begin(response *Response, length int64) {
	a.headersSent = true
	a.status = response.Status
	a.shown = response.End
	a.caller.Begin(response.Status, response.Header, length, response.End)
}

// finish records that the whole of a target's response was forwarded. It returns an error if its end shows less than the
// framing of the caller's response.
func (a *activeRequest) finish(end jvend.End) error {
	if !end.Shows(a.shown) {
		a.claimedAfter = a.lastEventID
		return jvfault.Newf("end response", KindClaimed, "the response ended with its connection, and the caller's has a framing that shows more")
	}
	a.possibleRuns++
	a.end = end
	return nil
}

// forwardStream forwards complete events as they arrive. It sends the headers with the first
// event, so that until then another target can still take over the request.
func (r *Relay) forwardStream(ctx context.Context, a *activeRequest, response *Response, stall stallTimer) error {
	const op = "read stream"
	events := newEventReader(response.Body, r.options.Memory.NewBuffer(maxEventBytes))
	defer events.free()
	joint := newSplice(a, response)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return jvfault.New(op, KindBroken, err)
		}
		isNew, err := joint.add(e)
		if err != nil {
			return err
		}
		if !isNew {
			continue
		}
		if e.hasContent {
			stall.reset()
		}
		if err := r.forwardEvent(ctx, a, response, e); err != nil {
			return err
		}
	}
	if err := joint.end(); err != nil {
		return err
	}
	if !a.headersSent {
		a.begin(response, 0)
	}
	return a.finish(response.End)
}

func (r *Relay) forwardEvent(ctx context.Context, a *activeRequest, response *Response, e event) error {
	if !a.headersSent {
		r.bindBegun(ctx, a)
		a.firstByteAt = r.options.Timer.Now()
		a.begin(response, -1)
	}
	a.uncounted = a.uncounted || e.hasContent && a.engine && a.maxEventTokens == 0
	if err := a.caller.Write(e.raw); err != nil {
		return jvfault.New("forward stream", KindCallerDisconnected, err)
	}
	if !e.hasContent {
		return nil
	}
	a.progress = true
	a.eventsForwarded++
	if e.id == noID {
		a.sealed = true // What follows this event can't be requested of another target.
		return nil
	}
	a.lastEventID = e.id
	return nil
}
