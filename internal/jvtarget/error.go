package jvtarget

import (
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// Kind is the class of a refusal.
type Kind string

// Kinds of refusals.
const (
	// KindNoTarget means that no target of the pool accepts requests.
	KindNoTarget Kind = "none"
	// KindBackoff means that all targets that could accept the request have named a time in which they want none.
	KindBackoff Kind = "backoff"
	// KindOverloaded means that the request would not be done by its deadline.
	KindOverloaded Kind = "overloaded"
	// KindDeadline means that the deadline passed while the request waited for a slot.
	KindDeadline Kind = "deadline"
)

// Error is the cause of a refusal.
type Error = jvfault.Error[Kind]

// Refusal is the error of a request that gets no slot.
type Refusal struct {
	Cause *Error
	// RetryAfter is the delay after which the request should be retried.
	RetryAfter time.Duration
	// Unreachable is the number of targets that would accept the request, but that only other routers reach.
	Unreachable int
}

// Error returns the cause on one line.
func (r *Refusal) Error() string { return r.Cause.Error() }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }
