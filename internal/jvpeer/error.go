package jvpeer

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a peer failure.
type Kind string

// Kinds of peer failures.
const (
	// KindUnreachable means that no answer came; the peer may have acted all the same.
	KindUnreachable Kind = "unreachable"
	// KindRefused means that the peer did not accept the link.
	KindRefused Kind = "refused"
	// KindMalformed means that a message could not be read.
	KindMalformed Kind = "malformed"
)

// Error is a peer failure.
type Error = jvfault.Error[Kind]
