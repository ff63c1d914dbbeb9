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

// Job is a request together with its retries.
type Job struct {
	Kind Kind
	// Number makes the job's body unique within a load.
	Number int
	// Key is the Idempotency-Key, empty for none.
	Key string
	// Profile is set for model jobs, Service, the name of a pool, for the others.
	Profile string
	Service string
	// MaxTokens is the maximum number of output tokens. PromptBytes is the size to which a
	// shorter prompt is padded.
	MaxTokens   int64
	PromptBytes int
	// Text is added to the body, for example to crash the target.
	Text string
	// ReadDelay is the pause after each stream event, or after a response that is not a stream.
	ReadDelay time.Duration
	// FirstRouter is the index of the router for the first attempt.
	FirstRouter int
}

// IsModel reports whether the job is for a model engine.
func (j Job) IsModel() bool { return j.Profile != "" }

// Result is the result of a job. Outcome, Problem, Message and Defect are those of the last
// attempt; RequestID, Status and RetryAfter are those of the last response.
type Result struct {
	Job     Job
	Outcome string
	// Problem is the name of the problem, empty for a complete answer.
	Problem string
	Message string
	// RequestID is the ID that the router gave to the request.
	RequestID string
	Status    int
	// Defect describes the defect of an answer that was reported as complete. It begins with
	// "cut", "crossed" or "spliced".
	Defect string
	// Attempts is the number of times that the job was sent.
	Attempts int
	// RetryAfter is the value of the Retry-After header, 0 for none.
	RetryAfter time.Duration
	// FirstToken and Total are measured from the start of the first attempt.
	FirstToken time.Duration
	Total      time.Duration
	// Gaps are the times between the tokens of a stream, in all attempts together.
	Gaps []time.Duration
	// Tokens is the usage that the router reported.
	Tokens int64
	// Body is the response of a plain service.
	Body string
}

// Served reports whether the caller got a complete answer.
func (r Result) Served() bool { return r.Outcome == "done" && r.Problem == "" }
