package jvloan

import (
	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// operation is what a message is for.
type operation string

const (
	// operationReserve asks a holder for a reservation, operationReserved is the response.
	operationReserve  operation = "reserve"
	operationReserved operation = "reserved"
	// operationSettle ends a reservation, also one whose response has not arrived; operationSettled confirms it.
	operationSettle  operation = "settle"
	operationSettled operation = "settled"
)

// message is what routers send each other about a reservation.
type message struct {
	Operation operation `cbor:"op"`
	// Router and Process are the borrower's name and the random number of its process, Number is that of the
	// reservation in this process.
	Router  string `cbor:"router"`
	Process uint64 `cbor:"process"`
	Number  uint64 `cbor:"number"`

	Workspace string `cbor:"workspace,omitempty"`
	// Tokens is the worst case in a reserve, and what was used in a settle.
	Tokens int64 `cbor:"tokens,omitempty"`
	// WaitMillis is how long the holder may wait for more tokens.
	WaitMillis int64 `cbor:"wait,omitempty"`
	// Counted is true if the request counts as the holder's demand also if it is refused.
	Counted bool `cbor:"counted,omitempty"`
	// Refusal is the kind of the error of a refused reservation, Reason its text; both are empty if it is granted.
	Refusal string `cbor:"refusal,omitempty"`
	Reason  string `cbor:"reason,omitempty"`
}

const (
	// maxNameBytes and maxReasonBytes keep a message within a packet.
	maxNameBytes   = 256
	maxReasonBytes = 512
	// maxWaitMillis is longer than any caller waits.
	maxWaitMillis = 600_000
)

func decodeMessage(data []byte) (message, error) {
	const op = "decode message"
	m, err := jvcodec.Decode[message](data)
	if err != nil {
		return m, jvfault.New(op, KindMalformed, err)
	}
	if m.Router == "" || len(m.Router) > maxNameBytes || len(m.Workspace) > maxNameBytes || len(m.Reason) > maxReasonBytes {
		return m, jvfault.Newf(op, KindMalformed, "names of %d and %d bytes, a reason of %d", len(m.Router), len(m.Workspace), len(m.Reason))
	}
	if m.Tokens < 0 || m.WaitMillis < 0 || m.WaitMillis > maxWaitMillis {
		return m, jvfault.Newf(op, KindMalformed, "%d tokens, a wait of %d ms", m.Tokens, m.WaitMillis)
	}
	return m, nil
}
