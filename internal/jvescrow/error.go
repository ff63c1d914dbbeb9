package jvescrow

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of an escrow failure.
type Kind string

// Kinds of escrow failures.
const (
	// KindShort means that the VM holds too little.
	KindShort Kind = "short"
	// KindMark means that the VM holds enough, but no witness has acknowledged the use of it yet.
	KindMark Kind = "mark"
	// KindClosed means that the VM's grants were reclaimed or returned.
	KindClosed Kind = "closed"
)

// Error is an escrow failure.
type Error = jvfault.Error[Kind]

// The errors of Reserve are made once, since refusals are as frequent as requests.
var (
	errShort  = jvfault.Newf("reserve", KindShort, "the VM holds too little of the budget")
	errMark   = jvfault.Newf("reserve", KindMark, "the grant's next tranche is not open yet")
	errClosed = jvfault.Newf("reserve", KindClosed, "the VM's grants are closed")
)
