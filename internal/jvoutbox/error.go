package jvoutbox

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a failure.
type Kind string

// Kinds of failures.
const (
	// KindForged means that a delivery is not from a router of this fleet, or is for another router.
	KindForged Kind = "forged"
	// KindMalformed means that a delivery can't be decoded.
	KindMalformed Kind = "malformed"
	// KindUndelivered means that the other router did not confirm a delivery.
	KindUndelivered Kind = "undelivered"
)

// Error is a failure of a delivery.
type Error = jvfault.Error[Kind]
