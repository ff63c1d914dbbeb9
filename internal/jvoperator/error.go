package jvoperator

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a failed operation.
type Kind string

// Kinds of failed operations.
const (
	// KindUnreachable means that the log can't be read; nothing was appended.
	KindUnreachable Kind = "unreachable"
	// KindUnknown means that the record may have taken effect. A repeated call with the same ID
	// returns the result.
	KindUnknown Kind = "unknown"
	// KindConflict means that another operator changed the same item first.
	KindConflict Kind = "conflict"
	// KindRefused means that the state machine rejected the record.
	KindRefused Kind = "refused"
	// KindInvalid means that the arguments are invalid; nothing was appended.
	KindInvalid Kind = "invalid"
)

// Error is the error of a failed operation.
type Error = jvfault.Error[Kind]
