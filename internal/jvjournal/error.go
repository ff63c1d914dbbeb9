package jvjournal

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a journal failure.
type Kind string

// Kinds of journal failures.
const (
	// KindPending means that the caller stopped waiting; the record may still be folded.
	KindPending Kind = "pending"
	// KindClosed means that the journal was closed before the record was sent.
	KindClosed Kind = "closed"
	// KindLost means that the batch was folded but its verdict passed unseen behind a snapshot.
	KindLost Kind = "lost"
	// KindState means that a snapshot or an entry could not be used.
	KindState Kind = "state"
)

// Error is a journal failure.
type Error = jvfault.Error[Kind]
