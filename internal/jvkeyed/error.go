package jvkeyed

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a failure of a topic.
type Kind string

// Kinds of failures.
const (
	// KindUnknown leaves open whether the call took effect.
	KindUnknown Kind = "unknown"
	// KindRefused means that the log did nothing.
	KindRefused Kind = "refused"
	// KindCompacted means that the records asked for are no longer kept.
	KindCompacted Kind = "horizon"
	// KindConflict means that the topic does not end where the caller thought.
	KindConflict Kind = "moved"
	// KindRepeated means that the append had been added before.
	KindRepeated Kind = "repeated"
	// KindFenced means that a later start of the writer has been seen.
	KindFenced Kind = "fenced"
)

// Error is a failure of a topic.
type Error = jvfault.Error[Kind]
