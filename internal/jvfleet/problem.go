package jvfleet

import (
	"errors"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// ProblemName is the class of a Problem.
type ProblemName string

// Names of problems, as the callers' API returns them.
const (
	ProblemMalformed    ProblemName = "malformed"
	ProblemUnauthorized ProblemName = "unauthorized"
	ProblemForbidden    ProblemName = "forbidden"
	ProblemMissing      ProblemName = "missing"
	ProblemConflict     ProblemName = "conflict"
	ProblemOversize     ProblemName = "oversize"
	ProblemMismatch     ProblemName = "mismatch"
	ProblemBudget       ProblemName = "budget"
	ProblemQuarantined  ProblemName = "quarantined"
	ProblemOverloaded   ProblemName = "overloaded"
	ProblemFailed       ProblemName = "failed"
	ProblemUnavailable  ProblemName = "unavailable"
	ProblemDeadline     ProblemName = "deadline"
)

// Problem is the reason why a caller gets no complete answer.
type Problem struct {
	Name    ProblemName
	Message string
	Outcome jvrecord.Outcome
	// RetryAfter is the delay after which a retry may succeed; 0 means that this request never can.
	RetryAfter time.Duration
}

// Error returns the name and the message.
func (p *Problem) Error() string { return string(p.Name) + ": " + p.Message }

// WithOutcome returns a copy of the problem with another outcome.
func (p *Problem) WithOutcome(o jvrecord.Outcome) *Problem {
	n := *p
	n.Outcome = o
	return &n
}

// Messages that several kinds of requests share.
const (
	messageQuarantined = "targets crashed on this request: it is not run again until the quarantine ends"
	messageMismatch    = "the Idempotency-Key was used with another body: use a new key for a new request"
	messageRetries     = "an attempt failed and the retry budget is used up"
)

// RetryAfterSeconds returns RetryAfter in seconds, rounded up, for the header Retry-After.
func (p *Problem) RetryAfterSeconds() int {
	return int((p.RetryAfter + time.Second - 1) / time.Second)
}

// problemOf converts a refusal of the target table to a problem.
func problemOf(err error) *Problem {
	var r *jvtarget.Refusal
	if !errors.As(err, &r) {
		return &Problem{Name: ProblemFailed, Message: err.Error(), RetryAfter: time.Second}
	}
	p := &Problem{Message: r.Cause.Err.Error(), RetryAfter: r.RetryAfter}
	switch r.Cause.Kind {
	case jvtarget.KindNoTarget:
		p.Name = ProblemUnavailable
	case jvtarget.KindOverloaded:
		p.Name = ProblemOverloaded
	case jvtarget.KindDeadline:
		p.Name = ProblemDeadline
	}
	return p
}
