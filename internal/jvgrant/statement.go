package jvgrant

import (
	"strings"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// Statement is what one router publishes about its spending: the amount so far, and a bound on what
// it can become before the next statement.
type Statement struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is higher in each new process of the router.
	Epoch uint64
	// BootID identifies the boot of the machine, UptimeNanos is the machine's uptime and ClockUnixMilli
	// its wall clock when the statement was created.
	BootID         string
	UptimeNanos    int64
	ClockUnixMilli int64
	// ReadOffset is the offset up to which the router had read the topic of statements by then.
	ReadOffset uint64
	Rows       []Row
}

// Row is the part of a statement on one budget, in tokens.
type Row struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	// Used is a lower bound on what has been spent, Lost what an earlier process held and may have spent.
	Used int64
	Lost int64
	// Committed is what was spent, reserved or lost. From there the bound on spending rises by
	// BoundRate, in tokens per second; Headroom is what it allows at once in addition. Shortfall is
	// what requests wait for and the router can't get.
	Committed int64
	BoundRate int64
	Headroom  int64
	Shortfall int64
	// DemandRate is what callers request in tokens per second, from which BoundRate may differ.
	// TypicalRequest is the size of a request.
	DemandRate     int64
	TypicalRequest int64
}

// Encode returns the record of a router's statement.
func (s Statement) Encode(router string) jvkeyed.Record {
	return jvkeyed.Record{Key: router, Value: jvcodec.Encode(&s)}
}

func decodeStatement(r jvkeyed.Record) (Statement, error) {
	if len(r.Value) == 0 {
		return Statement{}, nil
	}
	return jvcodec.Decode[Statement](r.Value)
}

// row returns the row of a workspace's budget.
func (s Statement) row(workspace string) (Row, bool) {
	for _, r := range s.Rows {
		if r.Workspace == workspace {
			return r, true
		}
	}
	return Row{}, false
}

// SpendingBound returns the most that the router may have spent or reserved of a budget at an
// uptime, and false where the statement has no row for it.
func (s Statement) SpendingBound(workspace string, uptime time.Duration) (int64, bool) {
	r, ok := s.row(workspace)
	return r.boundAfter(max(0, uptime-time.Duration(s.UptimeNanos))), ok
}

// newer reports whether a statement was created after another one of the same router.
func (s Statement) newer(other Statement) bool {
	return s.Epoch > other.Epoch || s.Epoch == other.Epoch && s.UptimeNanos > other.UptimeNanos
}

// origin identifies the process that published a statement, and what it had read by then.
type origin struct {
	// era is the log's era by then.
	era uint64
	// readOffset is the offset up to which the process had read the topic of statements.
	readOffset uint64
	// process is a random number.
	process int64
}

// originRow is the workspace of the row that has the origin. Releases that don't know it read a row of no workspace.
const originRow = rowPrefix + "origin"

func (o origin) row() Row {
	return Row{Workspace: originRow, Used: int64(o.era), Lost: o.process, Committed: int64(o.readOffset)}
}

// origin returns the statement's origin, and false if it is one of a release that names none.
func (s Statement) origin() (origin, bool) {
	r, ok := s.row(originRow)
	return origin{era: uint64(r.Used), readOffset: uint64(r.Committed), process: r.Lost}, ok
}

// holdingRow returns a row with a router's holding of a workspace's budget.
func holdingRow(workspace string, h Holding) Row {
	return Row{Workspace: holdingPrefix + workspace, Used: h.Granted, Lost: h.Returned}
}

// holdingOf returns the workspace if the row has a holding.
func (r Row) holdingOf() (workspace string, ok bool) {
	return strings.CutPrefix(r.Workspace, holdingPrefix)
}
