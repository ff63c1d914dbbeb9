package jvrelay

import (
	"context"
	"fmt"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvroute"
	"github.com/jasminevale/jasminevale/internal/jvversion"
)

// unknownVersionRetryAfter is the delay after which a caller should resume a stream of which this router can't
// learn where it began. Another router may know it.
const unknownVersionRetryAfter = 300 * time.Millisecond

// bindResumed finds where the stream began that a caller resumes, and binds the request to that version: what
// targets of two versions send does not fit together. It returns a problem if the version isn't known.
func (r *Relay) bindResumed(ctx context.Context, a *activeRequest) *Problem {
	q := a.request
	if a.route.Kind != jvroute.KindStream || q.Resumes == "" && q.LastEventID == "" {
		return nil
	}
	origin, source := r.options.Versions.Find(ctx, a.route.PoolNames(), q.Resumes)
	r.options.Meter.CountResumption(a.pool, string(source))
	if source == jvversion.SourceNone || origin.Pool != "" && !a.route.HasPool(origin.Pool) {
		message := fmt.Sprintf("the version that began the stream of request %q is not known", q.Resumes)
		a.cause = message
		return notRun("version", message, unknownVersionRetryAfter)
	}
	if origin.Pool != "" {
		a.place(origin.Pool)
	}
	a.origin, a.bound = origin, true
	return nil
}

// bindBegun binds a request whose caller gets the first event to the version of its target. If that isn't
// known, no other target can continue the stream.
func (r *Relay) bindBegun(ctx context.Context, a *activeRequest) {
	if a.bound {
		return
	}
	a.origin, a.bound = jvversion.Origin{Pool: a.pool, Version: a.version}, true
	if a.route.Resumable {
		r.options.Versions.Begin(ctx, a.request.ID, a.origin)
	}
}
