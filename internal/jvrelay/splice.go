package jvrelay

import (
	"net/http"

	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// checkContinues returns an error if the caller's response has begun and the target's is not a stream of the same
// version: then nothing of it may be forwarded.
func (a *activeRequest) checkContinues(response *Response) error {
	const op = "continue stream"
	switch {
	case !a.headersSent:
		return nil
	case a.sealed:
		return jvfault.Newf(op, KindCrossed, "the caller's response can't be continued")
	case response.Status != http.StatusOK:
		return jvfault.Newf(op, KindFailed, "the target answered %d", response.Status)
	case !response.isStream():
		return jvfault.Newf(op, KindCrossed, "the target answered with the content type %q", response.Header.Get("Content-Type"))
	case a.version != a.origin.Version:
		return jvfault.Newf(op, KindCrossed, "the target has the version %q, not %q", a.version, a.origin.Version)
	}
	return nil
}

// splice joins the events of one target's response to the stream that the caller has.
type splice struct {
	// last is the ID of the last event that the caller has, latest that of the latest event in the response; each
	// is noID if there is none.
	last   int64
	latest int64
	// continues is true if the caller's response began with another target's.
	continues bool
	// target is what the end of the response shows.
	target jvend.End
	// agreed is true if another target's response ended with its connection after the event last.
	agreed bool
	// received is true once the response has brought an event, forwarded once that was new to the caller.
	received  bool
	forwarded bool
}

func newSplice(a *activeRequest, response *Response) *splice {
	return &splice{last: a.lastEventID, latest: noID, continues: a.headersSent, target: response.End, agreed: a.lastEventID != noID && a.claimedAfter == a.lastEventID}
}

// add reports whether the next event of the response is new to the caller. It returns an error if the event doesn't
// follow those before it.
func (s *splice) add(e event) (isNew bool, err error) {
	const op = "read stream"
	switch {
	case !e.hasContent:
		return !s.continues || s.received && s.latest == s.last, nil
	case e.id == noID && s.latest < s.last:
		return false, jvfault.Newf(op, KindCrossed, "an event without an ID came after event %d", max(s.last, s.latest))
	case e.id == noID:
	case s.latest != noID && e.id != s.latest+1, s.last != noID && e.id > s.last+1:
		return false, jvfault.Newf(op, KindCrossed, "event %d came after event %d", e.id, max(s.last, s.latest))
	default:
		s.latest = e.id
	}
	s.received = true
	if e.id != noID && e.id <= s.last {
		return false, nil // The target repeats an event that the caller already has.
	}
	s.forwarded = true
	s.last = max(s.last, e.id)
	return true, nil
}

// end returns an error unless the end of the response shows that the caller has the whole stream. A response that
// joins no event to those of another target may be one to anything, unless that one has ended there as well.
func (s *splice) end() error {
	const op = "read stream"
	switch {
	case s.target != jvend.Proven && !s.forwarded:
		return jvfault.Newf(op, KindBroken, "the connection ended before the first event")
	case s.continues && !s.received && !s.agreed:
		return jvfault.Newf(op, KindCrossed, "the stream ended without an event after event %d", s.last)
	case s.received && s.latest < s.last:
		return jvfault.Newf(op, KindCrossed, "the stream ended at event %d, before event %d", s.latest, s.last)
	}
	return nil
}
