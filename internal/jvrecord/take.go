package jvrecord

// RunLock claims the sole right to run a non-idempotent request.
type RunLock struct {
	Key []byte `cbor:"key"`
	// Digest is of the request's route and body: the same key with another digest is a mismatch.
	Digest []byte `cbor:"digest"`
	// CreatedAt is the time in the key, in Unix milliseconds, or 0 for a key without one.
	CreatedAt int64 `cbor:"born,omitempty"`
	// RequestID is the id under which the sender logs it.
	RequestID string `cbor:"request"`
}

// Outcome is whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "notrun"
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFree gives a key back that was claimed and not used, where no caller was told
	// that it is not run: the next claim of it counts as the first.
	OutcomeFree Outcome = "free"
)

// Finish records the final outcome of a request that the sender took.
type Finish struct {
	Key []byte `cbor:"key"`
	// Holder is the origin that took the request; a VM that had to start a new origin
	// meanwhile still tells what became of it.
	Holder  string  `cbor:"holder"`
	Outcome Outcome `cbor:"outcome"`
	// Status and Content are the target's, where it answered.
	Status  int    `cbor:"status,omitempty"`
	ContentType string `cbor:"content,omitempty"`
	Body    []byte `cbor:"body,omitempty"`
	// TooLarge is true where the answer was too large to be put into the record.
	TooLarge bool `cbor:"large,omitempty"`
}

// Poison reports that a request's digest was running alone or in common when a target crashed.
type Poison struct {
	Digest []byte `cbor:"digest"`
	Target string `cbor:"target"`
	// Attempt tells two crashes of one target apart.
	Attempt string `cbor:"attempt"`
}
