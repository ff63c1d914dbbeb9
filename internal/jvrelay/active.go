package jvrelay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvquarantine"
	"github.com/jasminevale/jasminevale/internal/jvroute"
	"github.com/jasminevale/jasminevale/internal/jvversion"
)

// activeRequest is a request in progress with the state of its attempts.
type activeRequest struct {
	request       *Request
	caller        Caller
	configVersion uint64
	// configAge is the age of that configuration when the request was admitted, delay how late the process handled
	// events then.
	configAge time.Duration
	delay     time.Duration
	route     jvroute.Route
	workspace string
	// priority is 0 for the most urgent requests.
	priority int
	// table is the configuration that admitted the request.
	table *jvroute.Table
	placement
	// features are set by setFeatures.
	features jvquarantine.Features
	// recordBegan records that the response of the present attempt at a target of this router has begun.
	recordBegan func()
	// deadline is when this router ends the request, endsAt when its caller's deadline or its route's timeout passes: the
	// former is earlier if the caller names no deadline.
	deadline time.Time
	endsAt   time.Time

	// attempts counts all attempts, possibleRuns those that a target may have run, notRun those
	// that no target ran.
	attempts     int
	possibleRuns int
	notRun       int
	// attemptStartedAt is when the latest attempt started, progress whether its target has sent part
	// of the response.
	attemptStartedAt time.Time
	progress         bool
	// probed is how the machine of the latest attempt's target responded to a connection after the attempt, or "".
	// ended is what entries have shown of the end of its process, at the end of a response without a length, or "".
	probed ProbeResult
	ended  evidence
	// targetStartedAt is the start of the latest target's process in Unix milliseconds, or 0.
	targetStartedAt int64
	// version is the version of the latest target's software, or "" if it isn't known.
	version string
	// origin is where the caller's stream began, once that is certain: bound is true then.
	origin jvversion.Origin
	bound  bool
	// avoid are the names of the targets on which attempts failed, failed are those among them that were sent
	// the request.
	avoid  []string
	failed []string
	// unsent counts the attempts of this router that reached no target, refusals those among them whose target
	// refused the connection. peers are the routers through which attempts failed, and via is the router of the
	// latest attempt, if it is another one.
	unsent   int
	refusals int
	peers    []string
	via      string
	// target is the name of the latest attempt's target.
	target string
	// reserveWait is the time from the request's arrival until Reserve returned.
	reserveWait time.Duration
	// headersSent is true once the response to the caller has begun.
	headersSent bool
	// sealed is true once no other target can continue the response.
	sealed bool
	// lastEventID is the ID of the last event that the caller has, or -1.
	lastEventID int64
	// claimedAfter is the ID of the event after which a target's response ended with its connection, while the
	// framing of the caller's shows more; or noID.
	claimedAfter    int64
	eventsForwarded int64
	// uncounted is true once output has been forwarded whose tokens can't be counted by events.
	uncounted   bool
	firstByteAt time.Time
	// framing is the end that the latest target's response can show.
	framing jvend.End
	// shown is the end that the framing of the caller's response shows.
	shown jvend.End
	// end is how the response ended: jvend.Broken until all of it was forwarded.
	end    jvend.End
	status int
	// moved is true once this router has canceled an attempt since its target was silent; silent are those targets, until the
	// request may go back to them.
	moved  bool
	silent []string
	// returnPaid is true if the attempt after a refused one has already been taken out of the retry budget.
	returnPaid bool
	// retryPaid is true if the next attempt has already been taken out of the retry budget.
	retryPaid bool
	// reservedTokens is the size of the request's reservation, or 0 if it has none. extraReservation is that of its extra
	// attempt, or nil.
	reservedTokens   int64
	extraReservation *jvescrow.Reservation
	// ranBeside is true if a target may have run the request beside the attempt that became the request's.
	ranBeside bool
	// hedge is what became of the extra attempt, or why there was none, or empty if none was considered.
	hedge string
	// cause is the text of the latest error.
	cause string
	// open is what the log shows of the request while it is in progress.
	open openRequest
}

// placement is the pool that runs a request, and the figures by which the pool's responses are counted.
type placement struct {
	pool string
	// engine is true if the pool's targets run a model, whose output has tokens.
	engine bool
	// maxEventTokens is the maximum number of tokens in one event of the response, or 0 if it is unknown.
	maxEventTokens int64
	// capacityTokens is the number of tokens that a target of the pool holds in memory, or 0 if it is unknown.
	capacityTokens int64
}

// place puts the request into a pool of its configuration.
func (a *activeRequest) place(name string) {
	pool, _ := a.table.Pool(name) // A pool that the table lacks has no figures.
	a.placement = placement{pool: name, engine: pool.Engine, maxEventTokens: pool.MaxEventTokens, capacityTokens: pool.KVCapacityTokens}
}

func newActiveRequest(q *Request, c Caller) *activeRequest {
	a := &activeRequest{request: q, lastEventID: -1, claimedAfter: noID, end: jvend.Broken, deadline: q.Deadline, endsAt: q.Deadline, open: openRequest{id: q.ID, arrivedAt: q.ArrivedAt}}
	a.caller = countingCaller{Caller: c, open: &a.open}
	if n, err := strconv.ParseInt(q.LastEventID, 10, 64); err == nil {
		a.lastEventID = n
	}
	return a
}

// startAttempt records the beginning of an attempt.
func (a *activeRequest) startAttempt(now time.Time, t try) {
	a.attempts++
	a.attemptStartedAt = now
	a.progress = false
	a.probed, a.ended = "", ""
	a.via = t.peer.Name
	a.setTarget(t.lease.Target, 0) // Another router names the target with its response.
}

// setTarget records the target of the latest attempt, and the start of its process.
func (a *activeRequest) setTarget(t jvconfig.Target, startedAtMillis int64) {
	a.target = t.Name
	a.version = t.Version
	a.targetStartedAt = startedAtMillis
	a.open.update(func(o *openRequest) { o.target, o.via = a.target, a.via })
}

// resumeAfter returns the ID of the event after which the next attempt resumes the stream.
func (a *activeRequest) resumeAfter() string {
	if a.lastEventID < 0 {
		return a.request.LastEventID
	}
	return strconv.FormatInt(a.lastEventID, 10)
}

// setFeatures computes the request's features, once its workspace is known.
func (a *activeRequest) setFeatures() {
	a.features.Request = jvquarantine.DigestOf(a.request.digest(a.workspace))
	for _, id := range a.request.sharedParts() {
		a.features.Parts = append(a.features.Parts, jvquarantine.NewPart(id))
	}
}

// completedFeatures returns what a complete response of the latest attempt shows to be sound: the request, and
// the parts of its prompt if the target processed them.
func (a *activeRequest) completedFeatures() jvquarantine.Features {
	if a.status >= http.StatusMultipleChoices {
		return jvquarantine.Features{Request: a.features.Request}
	}
	return a.features
}

// unseenEvents is the number of events that a target may have sent and the router did not
// forward when a response breaks off or its caller disconnects: they are still in buffers.
const unseenEvents = 2

// used returns the tokens to settle: the prompt once, however many attempts ran, and the output
// of the forwarded events, or its maximum if it is uncounted. It returns 0 if no target can have run the request.
func (a *activeRequest) used() int64 {
	u := a.request.Usage
	if a.possibleRuns == 0 {
		return 0
	}
	if a.uncounted {
		return u.Total()
	}
	events := a.eventsForwarded
	if a.end == jvend.Broken {
		events += unseenEvents
	}
	return u.PromptTokens + min(u.OutputTokens, events*a.maxEventTokens)
}

// extraUsed returns the tokens to settle for the extra attempt if it ran besides the other one: the prompt and what may be
// in buffers, since nothing of one of the two responses was forwarded.
func (a *activeRequest) extraUsed() int64 {
	if !a.ranBeside || a.possibleRuns < hedgedRuns { // The first reservation covers one run.
		return 0
	}
	u := a.request.Usage
	return u.PromptTokens + min(u.OutputTokens, unseenEvents*a.maxEventTokens)
}
