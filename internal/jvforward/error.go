package jvforward

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a failure.
type Kind string

// Kinds of failures.
const (
	// KindMalformed means that a message can't be decoded.
	KindMalformed Kind = "malformed"
	// KindForged means that a message is not authenticated by the fleet's secret, or has been received before.
	KindForged Kind = "forged"
)

// Error is a failure of forwarding.
type Error = jvfault.Error[Kind]
