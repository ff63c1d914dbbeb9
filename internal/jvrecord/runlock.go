package jvrecord

import "github.com/jasminevale/jasminevale/internal/jvend"

// RunLock claims the sole right to run a non-idempotent request.
type RunLock struct {
	Key []byte `cbor:"key"`
	// Digest is of the request's route and body: the same key with another digest is refused as
	// a mismatch.
	Digest []byte `cbor:"digest"`
	// CreatedAt is the timestamp in the key, in Unix milliseconds, or 0 for a key without one.
	CreatedAt int64 `cbor:"born,omitempty"`
	// RequestID is the ID under which the sender logs the request.
	RequestID string `cbor:"request"`
}

// Outcome is whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "notrun"
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFree releases a run lock that was not used, where no caller got the outcome
	// notrun: the next claim of its key counts as the first.
	OutcomeFree Outcome = "free"
)

// Finish records the final outcome of a request whose run lock the sender holds.
type Finish struct {
	Key []byte `cbor:"key"`
	// Holder is the origin that got the run lock: a VM that has had to start a new origin since
	// then still reports the outcome.
	Holder  string  `cbor:"holder"`
	Outcome Outcome `cbor:"outcome"`
	// Status, ContentType and Body are the target's response, where there was one.
	Status      int    `cbor:"status,omitempty"`
	ContentType string `cbor:"content,omitempty"`
	Body        []byte `cbor:"body,omitempty"`
	// Ended is how that response ended. Releases that don't know it leave it out, whatever the end was.
	Ended jvend.End `cbor:"ended,omitempty"`
	// TooLarge is true where the answer was too large for the record.
	TooLarge bool `cbor:"large,omitempty"`
}

// Poison reports that a request with Digest was running, alone or with others, when a target
// crashed.
type Poison struct {
	Digest []byte `cbor:"digest"`
	Target string `cbor:"target"`
	// Instance is the instance that the target last reported, or empty; it distinguishes the
	// crashes of one target.
	Instance string `cbor:"attempt"`
	// Limit is the number of crashes that are kept, if that is more than the state machine's number for
	// requests. Releases that don't know it keep those only.
	Limit int `cbor:"limit,omitempty"`
}

// Clear reports that a target ran a request with Digest to its end, so that the crashes during which it
// was running no longer count. Releases that don't know the record ignore it.
type Clear struct {
	Digest []byte `cbor:"digest"`
}
