package jvrelay

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a failed attempt.
type Kind string

// Kinds of failed attempts.
const (
	// KindUnsent means that no byte of the attempt reached the target.
	KindUnsent Kind = "unsent"
	// KindRefused means that the target answered that it did not run the attempt.
	KindRefused Kind = "refused"
	// KindFailed means that the target ran the attempt and answered with a failure.
	KindFailed Kind = "failed"
	// KindBroken means that the attempt may have run and no whole answer came.
	KindBroken Kind = "broken"
	// KindCrossed means that what came is not the answer to this attempt.
	KindCrossed Kind = "crossed"
	// KindCallerGone means that the caller has left.
	KindCallerGone Kind = "gone"
)

// Error is a failed attempt.
type Error = jvfault.Error[Kind]
