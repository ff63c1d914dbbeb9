package jvtrace

import "time"

// Step is the stage of a request, or the part of the router, at which a decision was made.
type Step string

// Stages of a request, followed by the parts of the router that decide independently of one.
const (
	StepAdmit    Step = "admit"
	StepJoin     Step = "join"
	StepRunLock  Step = "take"
	StepReserve  Step = "reserve"
	StepSelect   Step = "choose"
	StepAttempt  Step = "attempt"
	StepSettle   Step = "settle"
	StepResponse Step = "answer"
	StepMember   Step = "member"
	StepBudget   Step = "budget"
	StepConfig   Step = "config"
)

// Decision is one decision with its reason; it contains no text from callers.
type Decision struct {
	At time.Time `json:"at"`
	// Request is the ID of the request; Profile and Target are names.
	Request string `json:"request,omitempty"`
	Profile string `json:"profile,omitempty"`
	Target  string `json:"target,omitempty"`
	Step    Step   `json:"step"`
	Why     string `json:"why"`
}
