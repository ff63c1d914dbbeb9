package jvversion

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a failure.
type Kind string

// KindMalformed means that a record or a message can't be decoded.
const KindMalformed Kind = "malformed"

// Error is a failure of versions.
type Error = jvfault.Error[Kind]
