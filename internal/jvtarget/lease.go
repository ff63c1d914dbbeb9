package jvtarget

import "github.com/jasminevale/jasminevale/internal/jvconfig"

// Result is what the use of a lease showed about its target.
type Result string

// Results of leases.
const (
	// ResultSucceeded means that the target responded.
	ResultSucceeded Result = "worked"
	// ResultFailed means that the target could not be reached or broke off its response.
	ResultFailed Result = "failed"
	// ResultSilent means that the request was taken from the target since that was silent. Requests that were in progress
	// together show one failure.
	ResultSilent Result = "silent"
	// ResultTimedOut means that the request's own deadline passed. That shows a failure only if the target has
	// responded to no other request since this one was sent.
	ResultTimedOut Result = "late"
	// ResultInconclusive means that nothing was learned about the target.
	ResultInconclusive Result = "unused"
)

// Lease is a slot of a target that an attempt holds until it releases it.
type Lease struct {
	Target jvconfig.Target
	// Attempt is the attempt's ID.
	Attempt string
	// Reason explains why the target was selected.
	Reason string

	table *Table
	pool  string
	class string
}

// Release returns the slot to the table.
func (l Lease) Release(r Result) { l.table.release(l, r) }

// Began records that the target's response has begun, by which the speed of the target is learned.
func (l Lease) Began() { l.table.recordBegan(l) }

// Progress records that the target has sent part of the response.
func (l Lease) Progress() { l.table.recordProgress(l) }
