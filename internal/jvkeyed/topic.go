package jvkeyed

import (
	"context"
	"time"
)

// Item is one record of a topic.
type Item struct {
	Key string
	// Value is empty where the key was dropped.
	Value  []byte
	Offset uint64
}

// Page is one answer of a topic.
type Page struct {
	Items []Item
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
	AppendAt(ctx context.Context, at uint64, items []Item) (uint64, error)
}
