package jvmember

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a failure.
type Kind string

// Kinds of failures.
const (
	// KindMalformed means that a record or a packet can't be decoded.
	KindMalformed Kind = "malformed"
	// KindForged means that a packet is not authenticated by the fleet's secret.
	KindForged Kind = "forged"
)

// Error is a failure of the membership.
type Error = jvfault.Error[Kind]
