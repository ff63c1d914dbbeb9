package jvengine

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a target failure.
type Kind string

// Kinds of target failures.
const (
	// KindUnsent means that no byte of the attempt reached the target.
	KindUnsent Kind = "unsent"
	// KindRefused means that the target answered that it did not run the attempt.
	KindRefused Kind = "refused"
	// KindInvalid means that the target refused the attempt for what it asks; no other target
	// will take it.
	KindInvalid Kind = "invalid"
	// KindBroken means that the answer broke off or stalled.
	KindBroken Kind = "broken"
	// KindCrossed means that the answer belongs to another attempt.
	KindCrossed Kind = "crossed"
	// KindCanceled means that the caller of this package gave up.
	KindCanceled Kind = "canceled"
)

// Error is a target failure.
type Error = jvfault.Error[Kind]
