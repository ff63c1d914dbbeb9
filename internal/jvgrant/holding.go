package jvgrant

import (
	"strings"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// Holding is one router's share of one budget, in cumulative tokens.
type Holding struct {
	_ struct{} `cbor:",toarray"`
	// Granted is what the router has taken out of the budget, Returned what it has put back.
	Granted  int64
	Returned int64
}

// Net returns what the router may spend in all.
func (h Holding) Net() int64 { return h.Granted - h.Returned }

// Raised returns a holding with the higher ones of both sums.
func (h Holding) Raised(other Holding) Holding {
	return Holding{Granted: max(h.Granted, other.Granted), Returned: max(h.Returned, other.Returned)}
}

// keySeparator separates router and workspace in a record's key.
const keySeparator = "\n"

// Encode returns the record of a router's holding of a workspace's budget.
func (h Holding) Encode(router, workspace string) jvkeyed.Record {
	return jvkeyed.Record{Key: router + keySeparator + workspace, Value: jvcodec.Encode(&h)}
}

// decodeHolding decodes a record of the topic of grants.
func decodeHolding(r jvkeyed.Record) (router, workspace string, h Holding, err error) {
	router, workspace, _ = strings.Cut(r.Key, keySeparator)
	if len(r.Value) == 0 {
		return router, workspace, Holding{}, nil
	}
	h, err = jvcodec.Decode[Holding](r.Value)
	return router, workspace, h, err
}
