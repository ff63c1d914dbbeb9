package jvengine

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a failed attempt.
type Kind string

// Kinds of failed attempts.
const (
	// KindUnsent means that no byte of the attempt reached the target.
	KindUnsent Kind = "unsent"
	// KindRefused means that the target responded that it did not run the attempt.
	KindRefused Kind = "refused"
	// KindInvalid means that the target rejected the attempt because of its content, as every other
	// target would.
	KindInvalid Kind = "invalid"
	// KindBroken means that the response was incomplete, stalled or invalid, or had an unexpected
	// status.
	KindBroken Kind = "broken"
	// KindCrossed means that the response belongs to another attempt.
	KindCrossed Kind = "crossed"
	// KindCanceled means that the caller of this package canceled the attempt or its deadline passed.
	KindCanceled Kind = "canceled"
)

// Error is the error of a failed attempt.
type Error = jvfault.Error[Kind]
