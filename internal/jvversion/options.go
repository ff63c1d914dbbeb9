package jvversion

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Options configure Versions.
type Options struct {
	// Name is the topic's name in log messages.
	Name   string
	Topic  jvkeyed.Topic
	Timer  *jvtimer.Service
	Logger logr.Logger
	// Random returns a number in [0, 1).
	Random func() float64
	// Self is this router. Others returns the other routers of the fleet.
	Self   jvmember.Member
	Others func() []jvmember.Member
	// Send sends a message to another router; it may be lost. Post sends one on a connection, which takes longer; it is Send
	// if it is nil.
	Send func(to jvmember.Member, message []byte)
	Post func(to jvmember.Member, message []byte)
	// Current reports whether the list of targets that Observe was given is up to date.
	Current func() bool
	// ReadWait is how long one read of the topic waits for records, ReadTimeout bounds it.
	ReadWait    time.Duration
	ReadTimeout time.Duration
	// Gather is as in jvkeyed.Options.
	Gather func() time.Duration
	// Window is how long a version counts after its last target is gone. It is longer than any stream.
	Window time.Duration
	// MaxStreams limits the streams whose origins are remembered, of this router's and of those that others send. The
	// latest ones are kept.
	MaxStreams int
}

// DefaultOptions returns options with defaults for all numbers.
func DefaultOptions() Options {
	return Options{
		Logger:      logr.Discard(),
		Current:     func() bool { return true },
		ReadWait:    5 * time.Second,
		ReadTimeout: 5500 * time.Millisecond,
		Window:      time.Minute,
		MaxStreams:  1 << 13,
	}
}
