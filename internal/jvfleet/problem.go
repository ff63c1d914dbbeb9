package jvfleet

import (
	"errors"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// ProblemName names why a caller gets no whole answer.
type ProblemName string

// Names of problems, as the callers' interface shows them.
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

// Problem is a final answer other than a whole one.
type Problem struct {
	Name    ProblemName
	Message string
	Outcome jvrecord.Outcome
	// Retry is when coming back makes sense; 0 means never with this request.
	Retry time.Duration
}

// Error returns name and message on one line.
func (p *Problem) Error() string { return string(p.Name) + ": " + p.Message }

// WithOutcome returns the problem with another outcome.
func (p *Problem) WithOutcome(o jvrecord.Outcome) *Problem {
	n := *p
	n.Outcome = o
	return &n
}

// Messages that several kinds of requests are told.
const (
	messageQuarantined = "targets crashed on this request: it is not run again"
	messageMismatch    = "the Idempotency-Key was used with another body: take a new key for a new request"
	messageRetries     = "an attempt failed and so many others did that retries are used up"
)

// Seconds returns Retry rounded up, as Retry-After has it.
func (p *Problem) Seconds() int {
	return int((p.Retry + time.Second - 1) / time.Second)
}

// problemOf turns a refusal of the target table into what the caller is told.
func problemOf(err error) *Problem {
	var r *jvtarget.Refusal
	if !errors.As(err, &r) {
		return &Problem{Name: ProblemFailed, Message: err.Error(), Retry: time.Second}
	}
	p := &Problem{Message: r.Cause.Err.Error(), Retry: r.RetryAfter}
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
