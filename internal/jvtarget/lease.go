package jvtarget

import "github.com/jasminevale/jasminevale/internal/jvconfig"

// Ending tells what a lease's use says about the target.
type Ending string

// Endings of leases.
const (
	// EndingWorked means that the target answered.
	EndingWorked Ending = "worked"
	// EndingFailed means that the target could not be reached or broke off.
	EndingFailed Ending = "failed"
	// EndingUnused says nothing about the target.
	EndingUnused Ending = "unused"
)

// Lease is one slot of a target, held by an attempt until it is released.
type Lease struct {
	Target  jvconfig.Target
	Attempt string
	// Why says how the target was chosen.
	Why string

	table *Table
	pool  string
}

// Release gives the slot back.
func (l Lease) Release(e Ending) { l.table.release(l, e) }
