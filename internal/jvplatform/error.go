package jvplatform

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a platform failure.
type Kind string

// Kinds of platform failures.
const (
	// KindUnknown means that the operation may or may not have taken effect.
	KindUnknown Kind = "unknown"
	// KindRefused means that the operation had no effect.
	KindRefused Kind = "refused"
	// KindHorizon means that the requested records are older than the log keeps.
	KindHorizon Kind = "horizon"
)

// Error is a platform failure.
type Error = jvfault.Error[Kind]
