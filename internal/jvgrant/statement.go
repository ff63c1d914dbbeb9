package jvgrant

import (
	"time"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// Statement is what one router says of its spending: how much it was, and how much it can
// become while nobody hears of it.
type Statement struct {
	_ struct{} `cbor:",toarray"`
	// Epoch counts the starts of the router.
	Epoch uint64
	// BootID names the start of the machine, Stamp is its uptime in nanoseconds and Clock its
	// time of day in Unix milliseconds when the statement was made.
	BootID         string
	UptimeNanos    int64
	ClockUnixMilli int64
	// ReadOffset is the place up to which the router had read the statements' topic by then.
	ReadOffset uint64
	Rows       []Row
}

// Row is the part of a statement on one budget, in tokens.
type Row struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	// Used is what has been spent at least, Lost what an earlier start held and may have spent.
	Used int64
	Lost int64
	// Committed is what was spent or reserved, from which the bound on spending rises by Rate, in
	// tokens a second. Size is the room that it leaves at once, Want what requests wait for.
	Committed int64
	BoundRate int64
	Headroom  int64
	Shortfall int64
	// Typical is the size of a typical request, DemandRate is what callers ask for, in tokens a second; the bound may allow another rate.
	DemandRate     int64
	TypicalRequest int64
}

// Encode returns the record of a router's statement.
func (s Statement) Encode(origin string) jvkeyed.Record {
	return jvkeyed.Record{Key: origin, Value: jvcodec.Encode(&s)}
}

func decodeStatement(i jvkeyed.Record) (Statement, error) {
	if len(i.Value) == 0 {
		return Statement{}, nil
	}
	return jvcodec.Decode[Statement](i.Value)
}

// row returns what a statement says of one budget.
func (s Statement) row(workspace string) (Row, bool) {
	for _, r := range s.Rows {
		if r.Workspace == workspace {
			return r, true
		}
	}
	return Row{}, false
}

// SpendingBound returns the most that the router may have spent or reserved of a budget at an uptime,
// and false where the statement doesn't mention it.
func (s Statement) SpendingBound(workspace string, uptime time.Duration) (int64, bool) {
	r, ok := s.row(workspace)
	return r.after(max(0, uptime-time.Duration(s.UptimeNanos))), ok
}
