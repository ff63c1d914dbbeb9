package jvlink

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a failure.
type Kind string

// KindMalformed means that a report can't be decoded.
const KindMalformed Kind = "malformed"

// Error is a failure of sharing reports.
type Error = jvfault.Error[Kind]
