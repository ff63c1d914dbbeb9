package jvescrow

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of an escrow failure.
type Kind string

// Kinds of escrow failures.
const (
	// KindShort means that the VM holds fewer tokens than requested.
	KindShort Kind = "short"
	// KindMark means that the VM holds enough tokens, but the mark does not cover them yet.
	KindMark Kind = "mark"
	// KindClosed means that the VM's grants were reclaimed or returned.
	KindClosed Kind = "closed"
)

// Error is an escrow failure.
type Error = jvfault.Error[Kind]

// The errors of Reserve are allocated once, since every request may be refused.
var (
	errShort  = jvfault.Newf("reserve", KindShort, "the VM holds too little of the budget")
	errMark   = jvfault.Newf("reserve", KindMark, "the grant's next tranche is not open yet")
	errClosed = jvfault.Newf("reserve", KindClosed, "the VM's grants are closed")
)
