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
	// MinPause is the shortest quarantine; MaxPause limits how far it grows.
	MinPause time.Duration
	MaxPause time.Duration
	// TrialInterval is the shortest time between two copies that one router admits after the
	// quarantine, until a crash or a complete response decides.
	TrialInterval time.Duration
	// Window is how long a request is kept after its last crash. It is longer than MaxPause.
	Window time.Duration
	// MaxRequests limits the requests that are kept, MaxPending the records that wait for the topic.
	MaxRequests int
	MaxPending  int
}

// DefaultOptions returns options with defaults for all numbers.
func DefaultOptions() Options {
	return Options{
		Logger:        logr.Discard(),
		ReadWait:      time.Second,
		ReadTimeout:   1500 * time.Millisecond,
		MinPause:      20 * time.Second,
		MaxPause:      10 * time.Minute,
		TrialInterval: 5 * time.Second,
		Window:        20 * time.Minute,
		MaxRequests:   10_000,
		MaxPending:    10_000,
	}
}
