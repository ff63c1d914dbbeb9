package jvkeyed

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a failure of a topic.
type Kind string

// Kinds of failures.
const (
	// KindUnknown leaves open whether the call took effect.
	KindUnknown Kind = "unknown"
	// KindRefused means that the call had no effect.
	KindRefused Kind = "refused"
	// KindCompacted means that the requested records are no longer kept.
	KindCompacted Kind = "horizon"
	// KindConflict means that the topic doesn't end at the offset that a conditional append requires.
	KindConflict Kind = "moved"
	// KindRepeated means that the topic has the records of an earlier call of the same append.
	KindRepeated Kind = "repeated"
	// KindFenced means that the topic has seen a higher epoch of the producer.
	KindFenced Kind = "fenced"
)

// Error is a failure of a topic.
type Error = jvfault.Error[Kind]
