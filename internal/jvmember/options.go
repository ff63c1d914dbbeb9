package jvmember

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Options configure Members.
type Options struct {
	// Name is the topic's name in log messages.
	Name string
	// Self is this router. Without an address it is no member, and only reads who is.
	Self   Member
	Topic  jvkeyed.Topic
	Timer  *jvtimer.Service
	Logger logr.Logger
	// Random returns a number in [0, 1).
	Random func() float64
	// NewSecret returns a secret for a fleet that has none.
	NewSecret func() []byte
	// ReadWait is how long one read of the topic waits for records, ReadTimeout bounds it.
	ReadWait    time.Duration
	ReadTimeout time.Duration
	// Gather is as in jvkeyed.Options.
	Gather func() time.Duration
	// Interval is the time between two registrations of a router. One that has not registered for MaxAge is
	// no member any more.
	Interval time.Duration
	MaxAge   time.Duration
}

// DefaultOptions returns options with defaults for all numbers.
func DefaultOptions() Options {
	return Options{
		Logger:      logr.Discard(),
		ReadWait:    5 * time.Second,
		ReadTimeout: 5500 * time.Millisecond,
		Interval:    10 * time.Minute,
		MaxAge:      time.Hour,
	}
}
