package jvgrant

import (
	"strings"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// Holding is what one router has of one budget, in cumulative tokens.
type Holding struct {
	_ struct{} `cbor:",toarray"`
	// Granted is what it has taken out of the budget, Returned what it has put back.
	Granted  int64
	Returned int64
}

// Net returns what the router may spend in all.
func (h Holding) Net() int64 { return h.Granted - h.Returned }

// keySeparator stands between router and workspace in a record's key.
const keySeparator = "\n"

// Encode returns the record of a router's holding of a workspace's budget.
func (h Holding) Encode(origin, workspace string) jvkeyed.Record {
	return jvkeyed.Record{Key: origin + keySeparator + workspace, Value: jvcodec.Encode(&h)}
}

// decodeHolding reads a record of the grants' topic.
func decodeHolding(i jvkeyed.Record) (origin, workspace string, h Holding, err error) {
	origin, workspace, _ = strings.Cut(i.Key, keySeparator)
	if len(i.Value) == 0 {
		return origin, workspace, Holding{}, nil
	}
	h, err = jvcodec.Decode[Holding](i.Value)
	return origin, workspace, h, err
}
