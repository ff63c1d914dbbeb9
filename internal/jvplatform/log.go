package jvplatform

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvledger"
)

// Page is one answer of the log: entries in order, and what the stream holds at all.
type Page struct {
	// First is the oldest offset kept, Next the offset that the next append gets.
	First   uint64
	Next    uint64
	Entries []jvledger.Entry
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds data to a stream and returns its offset. An error of KindUnknown leaves
	// open whether it was added.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns entries from an offset on, waiting up to wait where there are none yet.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error)
}
