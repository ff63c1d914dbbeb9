package jvgrant

import (
	"strings"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// Holding is what one router has of one budget, in cumulative tokens except for Rate and Want.
type Holding struct {
	_ struct{} `cbor:",toarray"`
	// Granted is what it has taken out of the budget, Returned what it has put back.
	Granted  int64
	Returned int64
	// Used is what it has spent at least, Lost what an earlier start held and may have spent.
	Used int64
	Lost int64
	// Rate is what its callers ask for, in tokens a second.
	Rate int64
	// Want is what a request waits for, or 0.
	Want int64
	// Envelope bounds the spending since the record was made, Boot names the start of the
	// machine that its uptime belongs to.
	Envelope Envelope
	Boot     string
	// Start names the process that made the record: one of the start before may be added late.
	Start string
}

// Net returns what the router may spend in all.
func (h Holding) Net() int64 { return h.Granted - h.Returned }

// Bound returns the most that the router can have spent before a moment of its machine.
func (h Holding) Bound(m Moment) int64 {
	silence, ok := h.Envelope.silence(h.Boot, m)
	if !ok {
		return h.Net()
	}
	return min(h.Net(), h.Envelope.after(silence))
}

// keySeparator stands between router and workspace in a record's key.
const keySeparator = "\n"

// Encode returns the record of a router's holding of a workspace's budget.
func (h Holding) Encode(origin, workspace string) jvkeyed.Item {
	return jvkeyed.Item{Key: origin + keySeparator + workspace, Value: jvcodec.Encode(&h)}
}

// decode reads a record; ok is false for one that is no holding.
func decode(i jvkeyed.Item) (origin, workspace string, h Holding, err error) {
	origin, workspace, _ = strings.Cut(i.Key, keySeparator)
	if len(i.Value) == 0 {
		return origin, workspace, Holding{}, nil
	}
	h, err = jvcodec.Decode[Holding](i.Value)
	return origin, workspace, h, err
}
