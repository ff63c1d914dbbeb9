package jvplatform

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a platform failure.
type Kind string

// Kinds of platform failures.
const (
	// KindUnknown means that the action may or may not have taken effect.
	KindUnknown Kind = "unknown"
	// KindRefused means that the platform answered and did nothing.
	KindRefused Kind = "refused"
	// KindHorizon means that the records asked for are no longer kept.
	KindHorizon Kind = "horizon"
)

// Error is a platform failure.
type Error = jvfault.Error[Kind]
