package jvkeyed

import (
	"bytes"
	"slices"
	"time"
)

const (
	// tailTime is how long a record is kept; a copy from which a log comes back is some seconds old.
	tailTime = 30 * time.Second
	// maxTail limits the records that are kept.
	maxTail = 10_000
)

// tail are the records that were read lately, in order of their offsets. It is immutable.
type tail struct {
	records []tailRecord
}

// tailRecord is a record with the time at which it was read.
type tailRecord struct {
	Record

	readAt time.Time
}

// With returns a tail with further records, and without those that are too old.
func (t tail) With(records []Record, now time.Time) tail {
	n := 0
	for n < len(t.records) && now.Sub(t.records[n].readAt) > tailTime {
		n++
	}
	list := slices.Clip(t.records[n:])
	for _, r := range records {
		list = append(list, tailRecord{Record: r, readAt: now})
	}
	return tail{records: list[max(0, len(list)-maxTail):]}
}

// Merge compares the tail with all records of a log that came back from an earlier copy of itself. missing are the newest
// records of their keys that the copy lacks, deletions too, unless their keys have been written since the
// log's return. merged are the records of the log with those of missing in place of older ones.
func (t tail) Merge(listed []Record) (merged, missing []Record) {
	read := map[uint64]Record{}
	newest := map[string]Record{}
	for _, r := range t.records {
		read[r.Offset] = r.Record
		newest[r.Key] = r.Record
	}
	oldest := ^uint64(0)
	if len(t.records) > 0 {
		oldest = t.records[0].Offset
	}
	lost := map[string]Record{}
	inCopy := map[string]bool{}
	for _, r := range listed {
		inCopy[r.Key] = true
		last, ok := newest[r.Key]
		earlier, known := read[r.Offset]
		// A record at an offset at which another one was read was written after the log's return.
		ofCopy := r.Offset < oldest || known && earlier.Key == r.Key && bytes.Equal(earlier.Value, r.Value)
		if !ok || !ofCopy || bytes.Equal(last.Value, r.Value) {
			merged = append(merged, r)
			continue
		}
		lost[r.Key] = last
	}
	for key, last := range newest {
		if !inCopy[key] && len(last.Value) > 0 {
			lost[key] = last
		}
	}
	for _, r := range t.records { // In order of offsets.
		if last, ok := lost[r.Key]; ok && last.Offset == r.Offset {
			missing = append(missing, r.Record)
			if len(r.Value) > 0 {
				merged = append(merged, r.Record)
			}
		}
	}
	return merged, missing
}
