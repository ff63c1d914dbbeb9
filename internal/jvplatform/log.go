package jvplatform

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvledger"
)

// Page is the result of a read: entries in order, and the range of offsets in the stream.
type Page struct {
	// First is the oldest offset kept, Next the offset of the next append.
	First   uint64
	Next    uint64
	Entries []jvledger.Entry
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds data to a stream and returns its offset. An error of KindUnknown leaves open
	// whether the data was added.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns entries from an offset on; where there are none yet it waits up to wait. With an
	// error of KindHorizon the page has First and Next.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error)
}
