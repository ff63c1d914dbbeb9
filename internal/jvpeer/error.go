package jvpeer

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a peer failure.
type Kind string

// Kinds of peer failures.
const (
	// KindUnreachable means that no response came; the peer may have acted on the request.
	KindUnreachable Kind = "unreachable"
	// KindRefused means that the peer rejected the fleet's secret.
	KindRefused Kind = "refused"
	// KindMalformed means that a message could not be decoded.
	KindMalformed Kind = "malformed"
)

// Error is a peer failure.
type Error = jvfault.Error[Kind]
