package jvrelay

import (
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
)

// Entry is a target's own entry in the list of targets.
type Entry struct {
	Pool   string
	Target jvconfig.Target
	// Leaving is true once the target accepts no new requests.
	Leaving bool
	// StartedAtMillis is the start of the target's process, in Unix milliseconds of its own clock.
	StartedAtMillis int64
	// ColdFor is how long the target stays cold from the time at which its entry was written, or -1 if the entry doesn't say.
	ColdFor time.Duration
	// Sequence is higher in each record that the target's process writes, or 0 if the record has none.
	Sequence uint64
}

// olderThan reports whether the entry was written by the same process as a known record, and not after it.
func (e Entry) olderThan(w written) bool {
	return e.StartedAtMillis != 0 && e.Sequence != 0 && e.StartedAtMillis == w.startedAtMillis && e.Sequence <= w.sequence
}

// written is the newest record that is known of a target.
type written struct {
	startedAtMillis int64
	sequence        uint64
}
