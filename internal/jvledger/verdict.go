package jvledger

// Reason is why a record was accepted or refused.
type Reason string

// Reasons of verdicts.
const (
	ReasonAccepted Reason = "accepted"
	// ReasonDuplicate means that the record repeats one that was applied.
	ReasonDuplicate Reason = "duplicate"
	// ReasonConflict means that an item is not at the version that its change was made from.
	ReasonConflict Reason = "conflict"
	ReasonInvalid  Reason = "invalid"
	// ReasonExpired means that a top-up's expiry has passed or is too far in the future.
	ReasonExpired Reason = "expired"
	// ReasonShort means that fewer tokens are free than a claim needs.
	ReasonShort Reason = "short"
	// ReasonClosed means that the record's origin, or the holder in a promise, is closed.
	ReasonClosed Reason = "closed"
	// ReasonTaken means that the run lock was claimed before for the same request.
	ReasonTaken Reason = "taken"
	// ReasonMismatch means that the key or ID was used before with other content.
	ReasonMismatch Reason = "mismatch"
	// ReasonStale means that a key's timestamp is outside the window of run locks.
	ReasonStale Reason = "stale"
	// ReasonFull means that a bound of the state machine is reached.
	ReasonFull Reason = "full"
	// ReasonMissing means that the record refers to something that is not in the state.
	ReasonMissing Reason = "missing"
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
