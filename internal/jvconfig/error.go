package jvconfig

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a configuration failure.
type Kind string

// Kinds of configuration failures.
const (
	KindMalformed Kind = "malformed"
	KindInvalid   Kind = "invalid"
)

// Error is a configuration failure.
type Error = jvfault.Error[Kind]
