package jvjournal

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Options are what a Journal is built from.
type Options struct {
	// Origin names this process start; it must never be used again.
	// Stream is the name of the log's stream; snapshots go to Stream + "-snapshot".
	Stream string
	Log    jvplatform.Log
	Timer  *jvtimer.Service
	Rules  jvledger.Rules
	Logger logr.Logger
	// Random returns a number in 0..1 from a seeded source; it spreads retries.
	Random func() float64
	// FetchPeerState fetches a snapshot from a peer while the log has none to give; it may be nil.
	FetchPeerState func(ctx context.Context) (offset uint64, state []byte, err error)
	// OnApply is called after each entry, and with an empty value after a snapshot was taken
	// over, under no lock; it may be nil.
	OnApply func(j *Journal, a jvledger.ApplyResult)
	// ReadWait is how long one read waits for new entries.
	ReadWait time.Duration
	// AppendTimeout bounds one append, RetryLeast and RetryMost the pause between tries.
	AppendTimeout time.Duration
	MinRetry    time.Duration
	MaxRetry     time.Duration
	// MaxBatchRecords is the number of records after which a batch is full, MaxBytes its size.
	MaxBatchRecords int
	// CheckpointEntries and CheckEvery are the distance between snapshots in entries and in log time.
	CheckpointEntries uint64
	CheckpointInterval   time.Duration
}

// DefaultOptions returns options with all numbers set.
func DefaultOptions() Options {
	return Options{
		Stream:        "fleet",
		Rules:         jvledger.DefaultRules(),
		Logger:        logr.Discard(),
		ReadWait:          2 * time.Second,
		AppendTimeout: 2 * time.Second,
		MinRetry:    50 * time.Millisecond,
		MaxRetry:     2 * time.Second,
		MaxBatchRecords:      4096,
		CheckpointEntries:  5_000,
		CheckpointInterval:    10 * time.Minute,
	}
}

// backoff returns the pause before a try, doubling from RetryLeast to RetryMost, and
// shortened by up to half at random, so that VMs do not return to the log in step.
func (o *Options) backoff(try int) time.Duration {
	d := o.MinRetry << min(try, 16)
	if d > o.MaxRetry || d <= 0 {
		d = o.MaxRetry
	}
	return d - time.Duration(o.Random()*float64(d)/2)
}
