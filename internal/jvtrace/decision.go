package jvtrace

import "time"

// Step is the part of a request's way at which a decision fell.
type Step string

// Steps of a request's way.
const (
	StepAdmit   Step = "admit"
	StepJoin    Step = "join"
	StepRunLock    Step = "take"
	StepReserve Step = "reserve"
	StepSelect  Step = "choose"
	StepAttempt Step = "attempt"
	StepSettle  Step = "settle"
	StepResponse  Step = "answer"
	StepMember  Step = "member"
	StepBudget  Step = "budget"
	StepConfig  Step = "config"
)

// Decision is one decision with its reason; it holds no text of callers.
type Decision struct {
	At      time.Time `json:"at"`
	Request string    `json:"request,omitempty"`
	Profile string    `json:"profile,omitempty"`
	Target  string    `json:"target,omitempty"`
	Step    Step      `json:"step"`
	Why     string    `json:"why"`
}
