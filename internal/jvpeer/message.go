package jvpeer

import (
	"github.com/jasminevale/jasminevale/internal/jvflight"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// Request is one message; exactly one field but From is set.
type Request struct {
	// From is the sender's origin.
	From   string      `cbor:"from"`
	Mark   *MarkRequest    `cbor:"mark,omitempty"`
	Loan   *LoanRequest    `cbor:"loan,omitempty"`
	Flight *FlightRequest  `cbor:"flight,omitempty"`
	Read   *ReadRequest    `cbor:"read,omitempty"`
	State  *StateRequest   `cbor:"state,omitempty"`
	Ping   *PingRequest    `cbor:"ping,omitempty"`
	Crash  *CrashNotice `cbor:"crash,omitempty"`
}

// Response is the reply to an Ask; the field of the ask is set, or Problem.
type Response struct {
	// From is the answering VM's origin.
	From    string        `cbor:"from"`
	Problem string        `cbor:"problem,omitempty"`
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

// MarkResponse tells whether the witness acknowledged them.
type MarkResponse struct {
	Acknowledged bool `cbor:"acknowledged"`
}

// LoanRequest asks for tokens of a profile. Held is the cumulative sum of earlier loans that the
// asker knows of, so that a loan whose answer was lost is told again first.
type LoanRequest struct {
	Profile string `cbor:"profile"`
	Tokens  int64  `cbor:"tokens"`
	Borrowed    int64  `cbor:"held"`
}

// LoanResponse tells the cumulative sum that the answering VM has lent the asker.
type LoanResponse struct {
	Lent int64 `cbor:"lent"`
}

// FlightRequest asks the home of a key which VM runs its request, and registers VM where none does.
type FlightRequest struct {
	Key string `cbor:"key"`
	VM  string `cbor:"vm"`
	// Replaces names a VM that the asker found without the flight.
	Replaces string `cbor:"instead,omitempty"`
}

// FlightResponse names the VM that runs the request.
type FlightResponse struct {
	VM string `cbor:"vm"`
}

// ReadRequest reads an answer that another VM holds, waiting for more of it.
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

// StateRequest asks for the shared state, by a VM that starts while the log is away.
type StateRequest struct{}

// StateResponse is the state at an offset.
type StateResponse struct {
	Offset uint64 `cbor:"offset"`
	State  []byte `cbor:"state"`
}

// PingRequest asks for the peer's origin.
type PingRequest struct{}

// CrashNotice tells of a target crash that a request was part of, faster than the log does.
type CrashNotice struct {
	Digest  []byte `cbor:"digest"`
	Target  string `cbor:"target"`
	Attempt string `cbor:"attempt"`
}

// envelope is one WebSocket frame.
type envelope struct {
	ID     uint64  `cbor:"id"`
	Request    *Request    `cbor:"ask,omitempty"`
	Response *Response `cbor:"answer,omitempty"`
}
