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
	// KindRate means that the call had no effect, since all routers together make too many.
	KindRate Kind = "rate"
	// KindSequence means that the call had no effect, since the topic lacks earlier appends of the producer.
	KindSequence Kind = "sequence"
	// KindCompacted means that the requested records are no longer kept.
	KindCompacted Kind = "horizon"
	// KindConflict means that the topic doesn't end at the offset that a conditional append requires.
	KindConflict Kind = "moved"
	// KindRepeated means that the topic has the records of an earlier call of the same append.
	KindRepeated Kind = "repeated"
	// KindFenced means that the topic has seen a higher epoch of the producer.
	KindFenced Kind = "fenced"
)

// NoEffect reports whether the call had no effect and may be repeated as it is.
func (k Kind) NoEffect() bool { return k == KindRefused || k == KindRate }

// Error is a failure of a topic.
type Error = jvfault.Error[Kind]
