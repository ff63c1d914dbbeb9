package jvoperator

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of an operator's failure.
type Kind string

// Kinds of operators' failures.
const (
	// KindUnreachable means that the log can't be read, so nothing was sent.
	KindUnreachable Kind = "unreachable"
	// KindUnknown means that the record may have taken effect; the same id tells later.
	KindUnknown Kind = "unknown"
	// KindConflict means that another operator's change came first.
	KindConflict Kind = "conflict"
	// KindRefused means that the fold refused the record.
	KindRefused Kind = "refused"
	KindInvalid Kind = "invalid"
)

// Error is an operator's failure.
type Error = jvfault.Error[Kind]
