package jvreach

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a failure.
type Kind string

// KindMalformed means that a message can't be decoded.
const KindMalformed Kind = "malformed"

// Error is a failure of the reachability monitor.
type Error = jvfault.Error[Kind]
