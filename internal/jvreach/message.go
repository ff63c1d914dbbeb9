package jvreach

import (
	"time"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// message is what routers send each other; one field is set.
type message struct {
	Question *question `cbor:"ask,omitempty"`
	Answer   *answer   `cbor:"answer,omitempty"`
}

// question asks a router for its state, and to connect to some targets.
type question struct {
	// Number identifies the question to its sender; 0 asks for the state only.
	Number  uint64   `cbor:"number"`
	Targets []string `cbor:"targets,omitempty"`
	// From is the name of the router that asks, Cut whether it reaches no target.
	From string `cbor:"from"`
	Cut  bool   `cbor:"cut,omitempty"`
	// Contact is the time in which a target has to have responded for the answer's Contact.
	Contact time.Duration `cbor:"contact,omitempty"`
}

// answer responds to a question.
type answer struct {
	Number uint64 `cbor:"number"`
	// From is the name of the responding router.
	From string `cbor:"from"`
	// Cut is true if the router reaches no target itself.
	Cut bool `cbor:"cut,omitempty"`
	// Room is the number of requests that the router takes from others.
	Room int64 `cbor:"room"`
	// Reached are the targets that accepted a connection and, if Exchanged is true, sent bytes. Mute are those that
	// accepted one and sent none. Earlier releases only open a connection.
	Reached   []string `cbor:"reached,omitempty"`
	Exchanged bool     `cbor:"exchanged,omitempty"`
	Mute      []string `cbor:"mute,omitempty"`
	// Contact is true if a target has responded to the router in the time that the question names, Responded are
	// some of these targets. Earlier releases don't name them.
	Contact   bool     `cbor:"contact,omitempty"`
	Responded []string `cbor:"responded,omitempty"`
}

// maxNameBytes limits the names in messages.
const maxNameBytes = 256

func decodeMessage(data []byte) (message, error) {
	const op = "decode message"
	m, err := jvcodec.Decode[message](data)
	if err != nil {
		return m, jvfault.New(op, KindMalformed, err)
	}
	names := []string{}
	if m.Question != nil {
		names = append(names, m.Question.Targets...)
		names = append(names, m.Question.From)
	}
	if m.Answer != nil {
		names = append(names, m.Answer.Reached...)
		names = append(names, m.Answer.Mute...)
		names = append(names, m.Answer.Responded...)
		names = append(names, m.Answer.From)
	}
	if len(names) > maxProbed+1 {
		return m, jvfault.Newf(op, KindMalformed, "%d names", len(names))
	}
	for _, name := range names {
		if len(name) > maxNameBytes {
			return m, jvfault.Newf(op, KindMalformed, "a name of %d bytes", len(name))
		}
	}
	return m, nil
}
