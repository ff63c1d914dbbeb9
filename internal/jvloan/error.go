package jvloan

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a failure.
type Kind string

// KindMalformed means that a message can't be decoded.
const KindMalformed Kind = "malformed"

// Error is a failure to exchange messages. A refused reservation is a jvgrant.Error.
type Error = jvfault.Error[Kind]
