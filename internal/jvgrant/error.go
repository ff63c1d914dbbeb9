package jvgrant

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a refused reservation.
type Kind string

// Kinds of refusals.
const (
	// KindSpent means that the whole budget has less left than the request may use.
	KindSpent Kind = "spent"
	// KindShort means that this router holds too little and could not get more in time.
	KindShort Kind = "short"
	// KindEmpty means that nothing that could be spent is left with any router, though some of
	// the budget may not have been spent: restarts count what they can't tell as spent.
	KindEmpty Kind = "empty"
	// KindUnready means that the router has not read yet what it held before.
	KindUnready Kind = "unready"
)

// Error is a refused reservation.
type Error = jvfault.Error[Kind]

// errBound refuses what the stated bound on spending does not cover.
var errBound = jvfault.Newf("reserve", KindShort, "the stated bound on spending is reached")
