package jvledger

// Reason is why a record was accepted or refused.
type Reason string

// Reasons of verdicts.
const (
	ReasonAccepted  Reason = "accepted"
	ReasonDuplicate Reason = "duplicate"
	ReasonConflict  Reason = "conflict"
	ReasonInvalid   Reason = "invalid"
	ReasonExpired   Reason = "expired"
	ReasonShort     Reason = "short"
	ReasonClosed    Reason = "closed"
	ReasonTaken     Reason = "taken"
	ReasonMismatch  Reason = "mismatch"
	ReasonStale     Reason = "stale"
	ReasonFull      Reason = "full"
	ReasonMissing   Reason = "missing"
)

// Verdict is the result of applying one record.
type Verdict struct {
	Reason Reason
	// Detail is text for a person, such as the item and operator of a conflict or the bound that
	// is reached.
	Detail string
	// Version is the configuration version after a publication, or the item's version in a
	// conflict.
	Version uint64
	// Tokens is the size of a grant or a top-up, or what a promise freed.
	Tokens int64
	// RunLock is the lock that a run lock or finish record created, changed or found.
	RunLock RunLock
}

// Accepted reports whether the record took effect, now or when it was first applied.
func (v Verdict) Accepted() bool {
	return v.Reason == ReasonAccepted || v.Reason == ReasonDuplicate
}
