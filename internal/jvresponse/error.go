package jvresponse

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a failure.
type Kind string

// KindMalformed means that a response has a status, or a field in its head or its trailer, that is none in HTTP.
const KindMalformed Kind = "malformed"

// Error is a failure of a response.
type Error = jvfault.Error[Kind]
