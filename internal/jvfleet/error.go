package jvfleet

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a router failure.
type Kind string

// Kinds of router failures.
const (
	KindInvalid Kind = "invalid"
	KindStopped Kind = "stopped"
)

// Error is a router failure.
type Error = jvfault.Error[Kind]
