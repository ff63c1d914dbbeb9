package jvrelay

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvend"
)

// maxOpenLines limits the lines that EndDrain writes.
const maxOpenLines = 100

// Phases of a request in progress, as the log names them.
const (
	phaseWaiting   = "waiting"
	phaseStreaming = "streaming"
)

// openRequest is what the log shows of a request in progress. Its zero value is ready for use.
type openRequest struct {
	mu sync.Mutex
	// id is the request's ID, from the router that sent it, if it is an attempt for another router.
	id        string
	from      string
	arrivedAt time.Time
	// endsAt is when the request ends by itself. It is the zero time until the request's route is known.
	endsAt time.Time
	// sent is true while a target may run the request, or has.
	sent   bool
	route  string
	target string
	// via is the router of the latest attempt, if it is another one.
	via string
	// begun is true once the response has begun, parts is the number of its parts so far.
	begun bool
	parts int64
}

// update changes the request under its lock.
func (o *openRequest) update(change func(o *openRequest)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(o)
}

// setSent sets whether a target may run the request or has.
func (o *openRequest) setSent(sent bool) { o.update(func(o *openRequest) { o.sent = sent }) }

// addPart counts a part of the response.
func (o *openRequest) addPart() { o.update(func(o *openRequest) { o.begun = true; o.parts++ }) }

// values returns the fields of the request's log line.
func (o *openRequest) values(now, stoppedAt time.Time) []any {
	o.mu.Lock()
	defer o.mu.Unlock()
	phase := phaseWaiting
	if o.begun {
		phase = phaseStreaming
	}
	return []any{
		"request", o.id, "from", o.from, "route", o.route, "target", o.target, "via", o.via, "phase", phase, "events", o.parts,
		"age", now.Sub(o.arrivedAt).Milliseconds(), "after", o.arrivedAt.Sub(stoppedAt).Milliseconds(),
	}
}

// StopCounts are the requests that were taken and those that have ended since the stop began.
type StopCounts struct {
	Whole int64
	// Cut is the number of responses that broke off, Gone that of callers that disconnected.
	Cut  int64
	Gone int64
	// Taken is the number of requests that were first sent to a target since the stop began, Late that of those after the
	// notice.
	Taken int64
	Late  int64
	// Refused is the number of requests that did not run, Failed that of other error responses.
	Refused int64
	Failed  int64
	// Open is the number of requests and attempts for other routers in progress.
	Open int64
}

// openRequests are the requests in progress, and the counts of those that ended since the stop. It is safe
// for concurrent use.
type openRequests struct {
	mu        sync.Mutex
	all       map[*openRequest]context.CancelCauseFunc
	stoppedAt time.Time
	counts    StopCounts
	// waitsEnded is true once requests without a response have been canceled.
	waitsEnded bool
}

func newOpenRequests() *openRequests {
	return &openRequests{all: map[*openRequest]context.CancelCauseFunc{}}
}

// add adds a request, which cancel ends; the returned function removes it.
func (r *openRequests) add(o *openRequest, cancel context.CancelCauseFunc) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all[o] = cancel
	if r.waitsEnded {
		cancel(errStopped)
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.all, o)
	}
}

// endWaits cancels the requests whose response has not begun, and those that come later.
func (r *openRequests) endWaits() (ended int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waitsEnded = true
	for o, cancel := range r.all {
		o.update(func(o *openRequest) {
			if !o.begun {
				ended++
				cancel(errStopped)
			}
		})
	}
	return ended
}

// endUnsent cancels the requests whose end is known, that no target may run, and that match.
func (r *openRequests) endUnsent(match func(o *openRequest) bool) (ended int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for o, cancel := range r.all {
		o.update(func(o *openRequest) {
			if !o.endsAt.IsZero() && !o.sent && match(o) {
				ended++
				cancel(errStopped)
			}
		})
	}
	return ended
}

// stop starts the counts.
func (r *openRequests) stop(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stoppedAt.IsZero() {
		r.stoppedAt = now
	}
}

// countTaken counts a request that is first sent to a target.
func (r *openRequests) countTaken(late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Taken++
	if late {
		r.counts.Late++
	}
}

// countEnd counts the end of a request by its outcome and its problem, if it has one.
func (r *openRequests) countEnd(outcome string, p *Problem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.stoppedAt.IsZero():
	case outcome == outcomeWhole:
		r.counts.Whole++
	case outcome == outcomeCut:
		r.counts.Cut++
	case outcome == outcomeGone:
		r.counts.Gone++
	case p != nil && p.Status == http.StatusServiceUnavailable:
		r.counts.Refused++
	default:
		r.counts.Failed++
	}
}

// StopCounts returns the counts since the stop began.
func (r *Relay) StopCounts() StopCounts {
	r.open.mu.Lock()
	defer r.open.mu.Unlock()
	c := r.open.counts
	c.Open = int64(len(r.open.all))
	return c
}

// Begun returns the number of requests and attempts for other routers whose response has begun.
func (r *Relay) Begun() int {
	r.open.mu.Lock()
	defer r.open.mu.Unlock()
	n := 0
	for o := range r.open.all {
		o.update(func(o *openRequest) {
			if o.begun {
				n++
			}
		})
	}
	return n
}

// EndWaits ends the requests and attempts for other routers whose response has not begun, and those that come later.
// A request that has not run is refused.
func (r *Relay) EndWaits() {
	if n := r.open.endWaits(); n > 0 {
		r.options.Logger.Info("requests without a response ended", "requests", n)
	}
}

// EndDrain makes the requests in progress count as cut, since their connections close. It writes a line for each
// of them and each attempt for another router, the oldest first.
func (r *Relay) EndDrain() {
	r.drained.Store(true)
	r.open.mu.Lock()
	stoppedAt := r.open.stoppedAt
	open := make([]*openRequest, 0, len(r.open.all))
	for o := range r.open.all {
		open = append(open, o)
	}
	r.open.mu.Unlock()
	slices.SortFunc(open, func(a, b *openRequest) int { return a.arrivedAt.Compare(b.arrivedAt) })
	now := r.options.Timer.Now()
	for _, o := range open[:min(len(open), maxOpenLines)] {
		r.options.Logger.Info("request open at the end of the drain", o.values(now, stoppedAt)...)
	}
}

// countingCaller counts the parts of the response in the request's openRequest.
type countingCaller struct {
	Caller

	open *openRequest
}

// Begin implements Caller.
func (c countingCaller) Begin(status int, header http.Header, length int64, end jvend.End) {
	c.open.update(func(o *openRequest) { o.begun = true })
	c.Caller.Begin(status, header, length, end)
}

// Write implements Caller.
func (c countingCaller) Write(p []byte) error {
	c.open.addPart()
	return c.Caller.Write(p)
}
