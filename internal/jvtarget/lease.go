package jvtarget

import "github.com/jasminevale/jasminevale/internal/jvconfig"

// Result tells what a lease's use says about the target.
type Result string

// Endings of leases.
const (
	// ResultSucceeded means that the target answered.
	ResultSucceeded Result = "worked"
	// ResultFailed means that the target could not be reached or broke off.
	ResultFailed Result = "failed"
	// ResultInconclusive says nothing about the target.
	ResultInconclusive Result = "unused"
)

// Lease is one slot of a target, held by an attempt until it is released.
type Lease struct {
	Target  jvconfig.Target
	Attempt string
	// Reason says how the target was chosen.
	Reason string

	table *Table
	pool  string
}

// Release gives the slot back.
func (l Lease) Release(e Result) { l.table.release(l, e) }
