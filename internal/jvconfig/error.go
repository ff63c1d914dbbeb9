package jvconfig

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a configuration error.
type Kind string

// Kinds of configuration errors.
const (
	// KindMalformed means that the data is not JSON of the expected type.
	KindMalformed Kind = "malformed"
	// KindInvalid means that a value is not allowed.
	KindInvalid Kind = "invalid"
)

// Error is a configuration error.
type Error = jvfault.Error[Kind]
