package jvledger

// Reason tells why the fold accepted or refused a record.
type Reason string

// Reasons of the fold.
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

// Verdict is what the fold made of one record.
type Verdict struct {
	Reason Reason
	// Detail is for a person: which item, which operator won, which bound.
	Detail string
	// Version is the configuration version after a publication.
	Version uint64
	// Tokens is the size of the grant that a claim got.
	Tokens int64
	// RunLock is the entry that a Take met or made.
	RunLock RunLock
}

// Accepted tells whether the record took effect, now or when it was first seen.
func (v Verdict) Accepted() bool {
	return v.Reason == ReasonAccepted || v.Reason == ReasonDuplicate
}
