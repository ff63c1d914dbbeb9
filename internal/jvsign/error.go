package jvsign

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a failure.
type Kind string

// KindMalformed means that a message can't be decoded.
const KindMalformed Kind = "malformed"

// Error is a failure of sharing signs.
type Error = jvfault.Error[Kind]
