package jvrelay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// Dispatch is one attempt as it is sent to a target.
type Dispatch struct {
	Request *Request
	Target  jvconfig.Target
	// Workspace is the holder of the caller's key, or empty.
	Workspace string
	// Timeout is how long the target may work on it.
	Timeout time.Duration
	// Priority is the request's priority, 0 the most urgent.
	Priority int
	// LastEventID is the id after which a stream goes on, or empty.
	LastEventID string
	// NewConnection asks for a connection that carried no other request.
	NewConnection bool
}

// Response is what a target answers, up to its body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Refused is true where the target says that it did not run the attempt, Misplaced where
	// it says so because it is another instance.
	Refused   bool
	WrongInstance bool
	// Signed is true where the answer bears the target's signature and the request's id.
	Signed bool
	// Load is the target's report of itself, or nil.
	Load *jvtarget.Load
}

// Sender sends attempts to targets.
type Sender interface {
	// Send returns once the target's status has come. Errors are KindUnsent where no byte
	// reached the target, else KindBroken.
	Send(ctx context.Context, d Dispatch) (*Response, error)
}

// Caller takes a request's answer.
type Caller interface {
	// Begin sends status and headers of a target's answer; length is its size in bytes, or
	// -1 where it is not known.
	Begin(status int, header http.Header, length int64)
	// Write passes on bytes at once.
	Write(p []byte) error
	// Refuse sends a final answer of the router's own; it must come before Begin.
	Refuse(p Problem)
	// Abort ends the answer so that it can't be taken for a whole one.
	Abort()
}
