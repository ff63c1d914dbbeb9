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
	// KindUnready means that the router has not read yet what it held before.
	KindUnready Kind = "unready"
)

// Error is a refused reservation.
type Error = jvfault.Error[Kind]

// errBound refuses what the stated bound on spending does not cover.
var errBound = jvfault.Newf("reserve", KindShort, "the stated bound on spending is reached")
