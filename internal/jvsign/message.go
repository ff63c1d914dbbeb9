package jvsign

import (
	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// Process is a process of a target that leaves.
type Process struct {
	Target string `cbor:"target"`
	// StartedAtMillis is the start of the process, or 0 if it isn't known.
	StartedAtMillis int64 `cbor:"born,omitempty"`
}

// message is what routers send each other.
type message struct {
	Leaving []Process `cbor:"leaving,omitempty"`
}

const (
	// maxProcesses and maxNameBytes keep a message within a packet.
	maxProcesses = 16
	maxNameBytes = 256
)

func decodeMessage(data []byte) (message, error) {
	const op = "decode message"
	m, err := jvcodec.Decode[message](data)
	if err != nil {
		return m, jvfault.New(op, KindMalformed, err)
	}
	if len(m.Leaving) > maxProcesses {
		return m, jvfault.Newf(op, KindMalformed, "%d targets", len(m.Leaving))
	}
	for _, p := range m.Leaving {
		if p.Target == "" || len(p.Target) > maxNameBytes {
			return m, jvfault.Newf(op, KindMalformed, "a name of %d bytes", len(p.Target))
		}
	}
	return m, nil
}
