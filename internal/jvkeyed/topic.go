package jvkeyed

import (
	"context"
	"time"
)

// Record is one record of a topic.
type Record struct {
	Key string
	// Value is empty where the key was dropped.
	Value  []byte
	Offset uint64
}

// Page is one answer of a topic.
type Page struct {
	Records []Record
	// End is the offset after the topic's last record.
	End uint64
	// More is true where a listing goes on after the last item's key.
	More bool
}

// Topic is a log that keeps the newest record of each key for good.
type Topic interface {
	// Newest lists the newest record of each key after a key, in order of keys.
	Newest(ctx context.Context, after string) (Page, error)
	// Read returns records from an offset on, waiting up to wait where there are none yet.
	// KindHorizon means that records from there on are no longer kept.
	Read(ctx context.Context, from uint64, wait time.Duration) (Page, error)
	// AppendAt adds items, all or none, if the topic ends at an offset, and returns its new
	// end. KindMoved means that it ends elsewhere; KindUnknown leaves open whether the items
	// were added or will be.
	AppendAt(ctx context.Context, at uint64, items []Record) (uint64, error)
	// Append adds items, all or none, as a producer's next append, and returns the topic's new
	// end. KindRepeated means that the producer's append of this number was added before;
	// KindFenced that a higher epoch of it has been seen.
	Append(ctx context.Context, p Producer, items []Record) (uint64, error)
}

// Producer numbers the appends of one writer, so that they are added once and in order.
type Producer struct {
	Name string
	// Epoch counts the writer's starts, Sequence its appends in this one.
	Epoch    uint64
	Sequence uint64
}
