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

// Bounds of a profile's numbers.
const (
	maxOutputTokens   = 1 << 20
	maxDeadlineMillis = 30 * 60 * 1000
	maxAttempts       = 5
	maxPriority       = 9
)

// Profile is a named prepaid budget with the rules for the work that it covers.
type Profile struct {
	Name      string   `json:"name"`
	Workspace string   `json:"workspace"`
	Pool      string   `json:"pool"`
	Work      WorkKind `json:"work"`
	// Model is the model that the pool's engines run for this profile.
	Model string `json:"model"`
	// MaxOutput is the largest number of tokens in one answer.
	MaxOutput int64 `json:"output"`
	// DeadlineMillis is in milliseconds from the request's arrival to its whole answer.
	DeadlineMillis int64 `json:"deadline"`
	Priority int   `json:"priority"`
	// MaxAttempts is how many targets one request may be tried on.
	MaxAttempts int `json:"attempts"`
	// AheadPercent is the percentage of the unallocated budget that one claim may place in a zone:
	// high where false refusals weigh more, low where stranded tokens do.
	AheadPercent int64 `json:"ahead"`
}

// ParseProfile reads and checks a profile.
func ParseProfile(body []byte) (Profile, error) {
	const op = "read profile"
	v, err := Parse[Profile](op, body)
	if err != nil {
		return v, err
	}
	return v, v.Check()
}

// Check returns everything that is wrong with the profile.
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
	p.CheckRange("deadline", v.DeadlineMillis, 1, maxDeadlineMillis)
	p.CheckRange("priority", int64(v.Priority), 0, maxPriority)
	p.CheckRange("attempts", int64(v.MaxAttempts), 1, maxAttempts)
	p.CheckRange("ahead", v.AheadPercent, 1, 100)
	return p.Err("check profile")
}

// Timeout returns the deadline as a duration.
func (v Profile) Timeout() time.Duration { return time.Duration(v.DeadlineMillis) * time.Millisecond }

// WithAheadPercent returns the profile with another placement percentage.
func (v Profile) WithAheadPercent(percent int64) Profile {
	v.AheadPercent = percent
	return v
}

// WithMaxOutput returns the profile with another output maximum in tokens.
func (v Profile) WithMaxOutput(tokens int64) Profile {
	v.MaxOutput = tokens
	return v
}

// ItemName returns the name that the profile is published under.
func (v Profile) ItemName() string { return v.Name }
