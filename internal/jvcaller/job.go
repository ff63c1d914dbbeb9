package jvcaller

import "time"

// Kind is the kind of a job.
type Kind string

// Kinds of jobs.
const (
	KindDraft   Kind = "draft"
	KindQuick   Kind = "quick"
	KindChat    Kind = "chat"
	KindLookup  Kind = "lookup"
	KindBooking Kind = "booking"
	KindCharge  Kind = "charge"
)

// Job is one request with all its retries.
type Job struct {
	Kind Kind
	// Number makes the job's body different from all others.
	Number int
	// Key is the Idempotency-Key, empty for none.
	Key string
	// Profile is set for model jobs, Service for the others.
	Profile string
	Service string
	// MaxTokens is the largest number of tokens, Prompt the bytes of the prompt.
	MaxTokens   int64
	PromptBytes int
	// Text is put into the body, as for a request that crashes its target.
	Text string
	// ReadDelay is the pause that the caller's line takes after each event.
	ReadDelay time.Duration
	// FirstRouter is the index of the router that is asked first.
	FirstRouter int
}

// IsModel tells whether the job is for a model engine.
func (j Job) IsModel() bool { return j.Profile != "" }

// Result is what became of a job.
type Result struct {
	Job     Job
	Outcome string
	// Problem is the name of the last problem, empty for a whole answer.
	Problem   string
	Message   string
	RequestID string
	Status    int
	// Defect tells what is wrong with an answer that was given as whole: cut, crossed or spliced.
	Defect   string
	Attempts int
	// RetryAfter is the RetryAfter-After of the last answer.
	RetryAfter time.Duration
	// FirstToken and Total are from the first try's start.
	FirstToken time.Duration
	Total      time.Duration
	Gaps       []time.Duration
	Tokens     int64
	// Body is a plain service's answer.
	Body string
}

// Served tells whether the caller got a whole answer.
func (r Result) Served() bool { return r.Outcome == "done" && r.Problem == "" }
