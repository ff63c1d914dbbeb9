package jvrelay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvquarantine"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// Dispatch is one attempt as it is sent to a target.
type Dispatch struct {
	Request *Request
	Target  jvconfig.Target
	// Workspace is the workspace of the caller's key, or empty.
	Workspace string
	// Timeout is how long the target may work on the attempt.
	Timeout time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// LastEventID is the ID of the event after which a stream resumes, or empty.
	LastEventID string
	// NewConnection asks for a connection that has carried no other request.
	NewConnection bool

	// The following are for attempts that another router makes, which selects the target.
	Selection Selection
}

// Selection is what another router has to know to select the target of an attempt.
type Selection struct {
	Pool string
	// Prefix is the ID of the prompt part by which targets are selected, or empty.
	Prefix string
	// Bound restricts the attempt to targets of a Version.
	Bound   bool
	Version string
	// Avoid names targets on which earlier attempts failed.
	Avoid []string
	// Features identify the request in reports of crashes.
	Features jvquarantine.Features
}

// Forwarder sends attempts to other routers, which make them.
type Forwarder interface {
	// Forward returns once the target's status has arrived. Errors are KindUnsent if no target was sent the
	// attempt, KindRefused if the target did not run it, else KindBroken.
	Forward(ctx context.Context, to jvmember.Member, d Dispatch) (*Response, error)
}

// Response is a target's response up to its body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Refused is true if the target says that it did not run the attempt, WrongInstance if it
	// says so because the attempt was meant for another instance. Neither is if the response may be the one to
	// another request.
	Refused       bool
	WrongInstance bool
	// Unidentified is true if the response has no request ID.
	Unidentified bool
	// Signed is true if the response bears the target's signature and the request's ID.
	Signed bool
	// End is what the end of the body shows once it has been read: Claimed if the body ends with its connection, which
	// looks like the end of the target's process.
	End jvend.End
	// NamesLimit is true if the target names how many requests a second it takes from all routers together.
	// Limit is that number, or nil if it can't be read.
	NamesLimit bool
	Limit      *float64
	// Brittle is true if the target names itself brittle: it ends if it has to turn many requests away.
	Brittle bool
	// Leaving is true if the target announces that it leaves.
	Leaving bool
	// RetryAfter is how long the target wants no requests of this router, or 0.
	RetryAfter time.Duration
	// ColdFor is how long the target stays cold, or nil if the response doesn't say.
	ColdFor *time.Duration
	// Load is the target's load report, or nil.
	Load *jvtarget.Load
	// Target is the target that another router selected, and StartedAtMillis the start of its process.
	Target          jvconfig.Target
	StartedAtMillis int64
}

// Sender sends attempts to targets.
type Sender interface {
	// Send returns once the target's status has arrived. Errors are KindUnsent if no byte
	// reached the target, else KindBroken.
	Send(ctx context.Context, d Dispatch) (*Response, error)
	// Probe opens a connection to a target and closes it.
	Probe(ctx context.Context, t jvconfig.Target) ProbeResult
}

// ProbeResult is how a target's machine responds to a new connection.
type ProbeResult string

// Results of a probe.
const (
	// ProbeAccepted means that a server listens at the target's address.
	ProbeAccepted ProbeResult = "accepted"
	// ProbeRefused means that nothing listens at the target's address.
	ProbeRefused ProbeResult = "refused"
	// ProbeNoResponse means that the machine did not respond in time.
	ProbeNoResponse ProbeResult = "no response"
)

// Caller receives the response to a request.
type Caller interface {
	// Begin sends the status and headers of a target's response; length is the size of its body
	// in bytes, or -1 if unknown. The framing of the response shows end at most: a Claimed one ends with its connection.
	Begin(status int, header http.Header, length int64, end jvend.End)
	// Write sends a part of the body and flushes it.
	Write(p []byte) error
	// Refuse sends an error response of the router itself; it must not follow Begin.
	Refuse(p Problem)
	// End ends the response. If it is Broken, or shows less than the framing that has begun, it is ended in a way that
	// the client can't mistake for a complete one. End may panic.
	End(e jvend.End)
}
