package jvlimit

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Options configure Limits.
type Options struct {
	// Name is the topic's name in log messages, Router this router's name.
	Name   string
	Router string
	// Topic holds the members and the limits.
	Topic jvkeyed.Topic
	Timer *jvtimer.Service
	// Clock returns the time of day, by which periods are numbered.
	Clock  func() time.Time
	Logger logr.Logger
	// Random returns a number in [0, 1).
	Random func() float64
	// ReadWait is how long one read of the topic waits for records, ReadTimeout bounds it.
	ReadWait    time.Duration
	ReadTimeout time.Duration
	// Gather is as in jvkeyed.Options.
	Gather  func() time.Duration
	Sharing Sharing
	// SettleTime is how long a router is known to be registered before it uses limits, so that the others
	// know it as well.
	SettleTime time.Duration
	// MemberInterval is the time between two registrations of a router. One that has not registered for
	// MemberAge is no member any more.
	MemberInterval time.Duration
	MemberAge      time.Duration
	// MaxPending limits the records that wait for the topic.
	MaxPending int
}

// DefaultOptions returns options with defaults for all numbers.
func DefaultOptions() Options {
	return Options{
		Logger:         logr.Discard(),
		ReadWait:       5 * time.Second,
		ReadTimeout:    5500 * time.Millisecond,
		Sharing:        DefaultSharing(),
		SettleTime:     500 * time.Millisecond,
		MemberInterval: 10 * time.Minute,
		MemberAge:      time.Hour,
		MaxPending:     1000,
	}
}
