package jvversion

import (
	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// message is what routers send each other; one of Begun, Question, Answer and Receipt is set.
type message struct {
	Begun    []begun   `cbor:"begun,omitempty"`
	Question *question `cbor:"ask,omitempty"`
	Answer   *answer   `cbor:"answer,omitempty"`
	// Number identifies a message with Begun to its sender, who gets Receipt for it. Builds that don't know the fields send
	// and confirm none.
	Number  uint64   `cbor:"number,omitempty"`
	Receipt *receipt `cbor:"receipt,omitempty"`
}

// receipt confirms that a router knows the origins of a message.
type receipt struct {
	Number uint64 `cbor:"number"`
	// From is the name of the confirming router.
	From string `cbor:"from"`
}

// begun is the origin of a stream.
type begun struct {
	Request string `cbor:"request"`
	Origin
}

// question asks where the stream of a request began.
type question struct {
	// Number identifies the question to its sender.
	Number  uint64   `cbor:"number"`
	Request string   `cbor:"request"`
	Pools   []string `cbor:"pools"`
}

// answer responds to a question.
type answer struct {
	Number uint64 `cbor:"number"`
	// From is the name of the responding router.
	From string `cbor:"from"`
	// Known is true if the router knows the origin.
	Known bool `cbor:"known"`
	// Inferred is true if the router has no record, and the pools have had one version only. Builds that don't know
	// the field never set it.
	Inferred bool `cbor:"inferred,omitempty"`
	Origin
}

const (
	// maxBegun is the number of streams in one message, which has to fit into a packet of the network.
	maxBegun = 16
	// maxPools limits the pools of a question.
	maxPools = 64
)

func decodeMessage(data []byte) (message, error) {
	const op = "decode message"
	m, err := jvcodec.Decode[message](data)
	if err != nil {
		return m, jvfault.New(op, KindMalformed, err)
	}
	for _, b := range m.Begun {
		if b.Request == "" || len(b.Request) > maxNameBytes || len(b.Pool) > maxNameBytes || len(b.Version) > maxNameBytes || b.Version == "" {
			return m, jvfault.Newf(op, KindMalformed, "a stream without request or version, or with long names")
		}
	}
	if len(m.Begun) > maxBegun || m.Question != nil && len(m.Question.Pools) > maxPools {
		return m, jvfault.Newf(op, KindMalformed, "%d streams", len(m.Begun))
	}
	if r := m.Receipt; r != nil && len(r.From) > maxNameBytes {
		return m, jvfault.Newf(op, KindMalformed, "a receipt of a name of %d bytes", len(r.From))
	}
	if a := m.Answer; a != nil && a.Known && (a.Version == "" || len(a.Pool) > maxNameBytes || len(a.Version) > maxNameBytes) {
		return m, jvfault.Newf(op, KindMalformed, "an answer without version, or with long names")
	}
	return m, nil
}
