package jvjournal

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a journal failure.
type Kind string

// Kinds of journal failures.
const (
	// KindPending means that the caller stopped waiting; the record may still be applied.
	KindPending Kind = "pending"
	// KindClosed means that the record was never sent, since the journal was closed or the caller
	// stopped waiting.
	KindClosed Kind = "closed"
	// KindLost means that the batch is in the log but its verdicts are unknown: the state came
	// from a snapshot that includes it, or the state machine dropped it.
	KindLost Kind = "lost"
	// KindState means that there is no usable state or snapshot.
	KindState Kind = "state"
)

// Error is a journal failure.
type Error = jvfault.Error[Kind]
