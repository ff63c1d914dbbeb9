package jvconfig

import "time"

// WorkKind is the kind of work that a profile covers.
type WorkKind string

// Kinds of work.
const (
	WorkDraft WorkKind = "draft"
	WorkQuick WorkKind = "quick"
	WorkChat  WorkKind = "chat"
)

// Upper bounds of the numbers in profiles and pools.
const (
	maxOutputTokens  = 1 << 20
	maxTimeoutMillis = 30 * 60 * 1000
	maxAttempts      = 5
	maxPriority      = 9
)

// Profile is a named prepaid budget with the rules for the work that it pays for.
type Profile struct {
	Name      string `json:"name"`
	Workspace string `json:"workspace"`
	// Pool is the pool of engines that runs the requests.
	Pool string   `json:"pool"`
	Work WorkKind `json:"work"`
	// Model is the model that the pool's engines run for this profile.
	Model string `json:"model"`
	// MaxOutput is the maximum number of tokens in one answer.
	MaxOutput int64 `json:"output"`
	// TimeoutMillis is the time from a request's arrival to the end of its answer, in milliseconds.
	TimeoutMillis int64 `json:"deadline"`
	// Priority is 0 to 9; waiting requests with a higher priority are dispatched first.
	Priority int `json:"priority"`
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts int `json:"attempts"`
	// AheadPercent is the percentage of the budget's free tokens that one claim may get, unless it
	// needs more. A high value means fewer false refusals, a low value fewer stranded tokens.
	AheadPercent int64 `json:"ahead"`
}

// ParseProfile decodes and validates a profile.
func ParseProfile(body []byte) (Profile, error) {
	const op = "read profile"
	v, err := Parse[Profile](op, body)
	if err != nil {
		return v, err
	}
	return v, v.Check()
}

// Check returns all errors in the profile as one, or nil.
func (v Profile) Check() error {
	var p Problems
	p.CheckName("name", v.Name)
	p.CheckName("workspace", v.Workspace)
	p.CheckName("pool", v.Pool)
	p.CheckName("model", v.Model)
	switch v.Work {
	case WorkDraft, WorkQuick, WorkChat:
	default:
		p.Add("work", "%q is not a kind of work: use draft, quick or chat", v.Work)
	}
	p.CheckRange("output", v.MaxOutput, 1, maxOutputTokens)
	p.CheckRange("deadline", v.TimeoutMillis, 1, maxTimeoutMillis)
	p.CheckRange("priority", int64(v.Priority), 0, maxPriority)
	p.CheckRange("attempts", int64(v.MaxAttempts), 1, maxAttempts)
	p.CheckRange("ahead", v.AheadPercent, 1, 100)
	return p.Err("check profile")
}

// Timeout returns the time from a request's arrival to the end of its answer.
func (v Profile) Timeout() time.Duration { return time.Duration(v.TimeoutMillis) * time.Millisecond }

// WithAheadPercent returns the profile with AheadPercent replaced.
func (v Profile) WithAheadPercent(percent int64) Profile {
	v.AheadPercent = percent
	return v
}

// WithMaxOutput returns the profile with MaxOutput replaced, in tokens.
func (v Profile) WithMaxOutput(tokens int64) Profile {
	v.MaxOutput = tokens
	return v
}

// ItemName returns the name that the profile is published under.
func (v Profile) ItemName() string { return v.Name }
