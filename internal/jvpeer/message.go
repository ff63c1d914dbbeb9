package jvpeer

import (
	"github.com/jasminevale/jasminevale/internal/jvflight"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// Request is one message to a peer; exactly one field besides From is set.
type Request struct {
	// From is the sender's origin.
	From   string         `cbor:"from"`
	Mark   *MarkRequest   `cbor:"mark,omitempty"`
	Loan   *LoanRequest   `cbor:"loan,omitempty"`
	Flight *FlightRequest `cbor:"flight,omitempty"`
	Read   *ReadRequest   `cbor:"read,omitempty"`
	State  *StateRequest  `cbor:"state,omitempty"`
	Ping   *PingRequest   `cbor:"ping,omitempty"`
	Crash  *CrashNotice   `cbor:"crash,omitempty"`
}

// Response is the response to a Request: the field of the same name is set, or Problem. The
// response to a ping or a crash notice has only From.
type Response struct {
	// From is the responding VM's origin.
	From    string          `cbor:"from"`
	Problem string          `cbor:"problem,omitempty"`
	Mark    *MarkResponse   `cbor:"mark,omitempty"`
	Loan    *LoanResponse   `cbor:"loan,omitempty"`
	Flight  *FlightResponse `cbor:"flight,omitempty"`
	Read    *ReadResponse   `cbor:"read,omitempty"`
	State   *StateResponse  `cbor:"state,omitempty"`
}

// MarkRequest asks a witness to acknowledge marks, in cumulative tokens per profile.
type MarkRequest struct {
	Marks map[string]int64 `cbor:"marks,omitempty"`
	// Bills are kept by the witness until the log has them.
	Bills []jvrecord.Bill `cbor:"bills,omitempty"`
}

// MarkResponse states whether the witness acknowledged the marks.
type MarkResponse struct {
	Acknowledged bool `cbor:"acknowledged"`
}

// LoanRequest asks for tokens of a profile.
type LoanRequest struct {
	Profile string `cbor:"profile"`
	Tokens  int64  `cbor:"tokens"`
	// Borrowed is the cumulative sum of earlier loans that the borrower knows of. A lender that
	// has lent more responds with its own sum and lends nothing new, since the response to an
	// earlier loan was lost.
	Borrowed int64 `cbor:"held"`
}

// LoanResponse states the cumulative sum that the responding VM has lent the borrower.
type LoanResponse struct {
	Lent int64 `cbor:"lent"`
}

// FlightRequest asks the coordinator of a key for its runner, and registers VM as the runner
// where there is none.
type FlightRequest struct {
	Key string `cbor:"key"`
	VM  string `cbor:"vm"`
	// Replaces names a registered runner that turned out not to hold the flight.
	Replaces string `cbor:"instead,omitempty"`
}

// FlightResponse names the runner.
type FlightResponse struct {
	VM string `cbor:"vm"`
}

// ReadRequest reads the answer in another VM's flight from an event index on, and waits for
// more of it.
type ReadRequest struct {
	Key    string `cbor:"key"`
	Digest []byte `cbor:"digest"`
	Index  int64  `cbor:"index"`
}

// ReadResponse is the next part of an answer.
type ReadResponse struct {
	// Missing is true where the VM does not hold the flight.
	Missing bool             `cbor:"missing,omitempty"`
	Events  []jvflight.Event `cbor:"events,omitempty"`
	End     *jvflight.End    `cbor:"end,omitempty"`
}

// StateRequest asks for the shared state, for a VM that starts while the log is unreachable.
type StateRequest struct{}

// StateResponse is the state at an offset.
type StateResponse struct {
	Offset uint64 `cbor:"offset"`
	State  []byte `cbor:"state"`
}

// PingRequest asks for the peer's origin.
type PingRequest struct{}

// CrashNotice reports that a request was running when a target crashed. It is sent to peers
// directly, which is faster than the crash's record in the log.
type CrashNotice struct {
	Digest []byte `cbor:"digest"`
	Target string `cbor:"target"`
	// Instance is the instance that the target last reported, or empty.
	Instance string `cbor:"attempt"`
	// Progress is true if the target had sent part of the answer.
	Progress bool `cbor:"progress,omitempty"`
	// Parts are the shared parts of the request's prompt for which the crash counts.
	Parts []PartCrash `cbor:"parts,omitempty"`
}

// PartCrash is a crash of a part of prompts.
type PartCrash struct {
	Digest []byte `cbor:"digest"`
	// Succession is the number of crashes that followed one another, this one included.
	Succession int `cbor:"crashes"`
}

// envelope is one WebSocket frame.
type envelope struct {
	ID       uint64    `cbor:"id"`
	Request  *Request  `cbor:"ask,omitempty"`
	Response *Response `cbor:"answer,omitempty"`
}
