package jvflight

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a flight failure.
type Kind string

// Kinds of flight failures.
const (
	// KindMismatch means that the key is in use for a request with another body.
	KindMismatch Kind = "mismatch"
	// KindFull means that the limit of flights in progress is reached.
	KindFull Kind = "full"
)

// Error is a flight failure.
type Error = jvfault.Error[Kind]
