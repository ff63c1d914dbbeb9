package jvrelay

import (
	"strconv"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvroute"
)

// flight is one request on its way, with what its attempts have shown so far.
type flight struct {
	request   *Request
	caller    Caller
	version   uint64
	route     jvroute.Route
	workspace string
	rank      int
	pool      string
	digest    []byte
	// eventTokens is what one event of the answer uses at most.
	eventTokens int64
	deadline    time.Time

	// tries counts attempts, runs those that may have run, unsent those that did not.
	tries  int
	runs   int
	unsent int
	avoid  []string
	target string
	// reserved is when the budget was there, after the request's arrival.
	reserved time.Duration
	// begun is true once the caller has the beginning of an answer.
	begun bool
	// last is the id of the last event passed on, or -1.
	last   int64
	events int64
	first  time.Time
	// whole is true once the caller has all of the answer.
	whole  bool
	status int
	paid   bool
	cause  string
}

func newFlight(q *Request, c Caller) *flight {
	f := &flight{request: q, caller: c, last: -1, deadline: q.Deadline}
	if n, err := strconv.ParseInt(q.LastEventID, 10, 64); err == nil {
		f.last = n
	}
	return f
}

// lastEvent returns the id after which the next attempt goes on.
func (f *flight) lastEvent() string {
	if f.last < 0 {
		return f.request.LastEventID
	}
	return strconv.FormatInt(f.last, 10)
}

// unseenEvents is how many events a target may have sent beyond those passed on when an answer
// broke off or its caller left: what lies in buffers at that moment.
const unseenEvents = 2

// used returns the tokens that the request counts with: its prompt once, however often it ran,
// and the output that was delivered, in whole events.
func (f *flight) used() int64 {
	u := f.request.Usage
	if f.runs == 0 {
		return 0
	}
	events := f.events
	if !f.whole {
		events += unseenEvents
	}
	return u.Prompt + min(u.Output, events*f.eventTokens)
}
