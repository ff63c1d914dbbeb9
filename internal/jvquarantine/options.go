package jvquarantine

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Options configure a Quarantine.
type Options struct {
	// Name is the topic's name in log messages.
	Name string
	// Topic holds the records of all routers.
	Topic  jvkeyed.Topic
	Timer  *jvtimer.Service
	Logger logr.Logger
	// Random returns a number in [0, 1).
	Random func() float64
	// ReadWait is how long one read of the topic waits for records, ReadTimeout bounds it.
	ReadWait    time.Duration
	ReadTimeout time.Duration
	// Gather is as in jvkeyed.Options.
	Gather func() time.Duration
	// PartHold is how long a report on a part is held back. It is dropped if a request with the part
	// completes here in that time, as requests with a sound part that many share do.
	PartHold time.Duration
	// SoundAge is how long a part counts as sound after a request with it has completed; MaxSound limits the
	// parts that are remembered for it.
	SoundAge time.Duration
	MaxSound int
	// MinPause is the shortest quarantine of a request, MinPartPause that of a part, whose trial is a request
	// of someone else. MaxPause limits how far they grow.
	MinPause     time.Duration
	MinPartPause time.Duration
	MaxPause     time.Duration
	// TrialInterval is the shortest time between two trials of a suspect, until a crash or a complete
	// response decides.
	TrialInterval time.Duration
	// MaxTrials is the number of trials of a suspect that all routers together make. Crashes later than
	// KnownWithin after the first FreeCrashes of a request, or FreePartCrashes of a part, count like trials.
	MaxTrials       int
	FreeCrashes     int
	FreePartCrashes int
	KnownWithin     time.Duration
	// Window is how long a suspect is kept after its last crash, QuarantineWindow how long if its crashes
	// reach the limit. Both are longer than MaxPause.
	Window           time.Duration
	QuarantineWindow time.Duration
	// MaxSuspects limits the suspects that are kept, MaxPending the records that wait for the topic.
	MaxSuspects int
	MaxPending  int
}

// DefaultOptions returns options with defaults for all numbers.
func DefaultOptions() Options {
	return Options{
		Logger:           logr.Discard(),
		ReadWait:         time.Second,
		ReadTimeout:      1500 * time.Millisecond,
		PartHold:         200 * time.Millisecond,
		SoundAge:         3 * time.Second,
		MaxSound:         10_000,
		MinPause:         20 * time.Second,
		MinPartPause:     time.Minute,
		MaxPause:         10 * time.Minute,
		TrialInterval:    5 * time.Second,
		MaxTrials:        2, // The platform allows three retries; one is left for copies that are on their way.
		FreeCrashes:      3,
		FreePartCrashes:  5,
		KnownWithin:      3 * time.Second,
		Window:           20 * time.Minute,
		QuarantineWindow: 24 * time.Hour, // Budgets are prepaid for a day, and so are the bounds on retries.
		MaxSuspects:      10_000,
		MaxPending:       10_000,
	}
}
