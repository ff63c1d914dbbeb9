package jvkeyed

import (
	"context"
	"time"
)

// Record is one record of a topic.
type Record struct {
	Key string
	// Value is empty where the key was deleted.
	Value  []byte
	Offset uint64
}

// Mark is a position in a topic.
type Mark struct {
	// Era is higher each time that the log comes back from an earlier copy of itself, 0 if the log doesn't say.
	// Offsets of an era are given out again in the next one.
	Era    uint64
	Offset uint64
}

// Page is one response of a topic to a listing or a read.
type Page struct {
	Records []Record
	// End is the offset after the topic's last record.
	End uint64
	// Era is the log's era.
	Era uint64
	// More is true where a listing continues after the last record's key.
	More bool
}

// Topic is a log that never drops the newest record of a key; older records may be dropped.
type Topic interface {
	// Newest lists the newest record of each key after a key, in order of keys.
	Newest(ctx context.Context, after string) (Page, error)
	// Read returns records from an offset on, waiting up to wait where there are none yet.
	// KindCompacted means that records from there on are no longer kept.
	Read(ctx context.Context, from uint64, wait time.Duration) (Page, error)
	// AppendAt appends records, all or none, if the topic ends at an offset, and returns its new
	// end. KindConflict means that it ends elsewhere; KindUnknown leaves open whether the records
	// were appended or still will be. The log doesn't compare eras: a Mark of another era than that of
	// the offset means that the records were appended after others than the caller has read.
	AppendAt(ctx context.Context, at uint64, records []Record) (Mark, error)
	// Append appends records, all or none, as a producer's next append, and returns the topic's new
	// end. KindRepeated means that the producer's append with this sequence number was done before;
	// KindSequence means that the topic lacks earlier ones; KindFenced means that the topic has seen
	// a higher epoch of the producer. A producer without a name appends without a number, so that a
	// call in doubt may be done once more. Errors have the log's era, too, if it responded.
	Append(ctx context.Context, p Producer, records []Record) (Mark, error)
}

// Producer numbers the appends of one writer, so that they are done once and in order.
type Producer struct {
	Name string
	// Epoch is higher in each new process of the writer, Sequence numbers the appends of one process.
	Epoch    uint64
	Sequence uint64
}
