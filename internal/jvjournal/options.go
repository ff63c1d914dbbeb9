package jvjournal

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Options configure a Journal.
type Options struct {
	// Stream is the name of the log's main stream; snapshots go to Stream + "-snapshot".
	Stream string
	Log    jvplatform.Log
	Timer  *jvtimer.Service
	Rules  jvledger.Rules
	Logger logr.Logger
	// Random returns a number in [0, 1) from a seeded source; it randomizes retry delays.
	Random func() float64
	// FetchPeerState fetches a state from a peer while the log is unreachable; it may be nil.
	FetchPeerState func(ctx context.Context) (offset uint64, state []byte, err error)
	// OnApply is called without a lock after each applied entry, and after a restored snapshot
	// with only Version set; it may be nil.
	OnApply func(j *Journal, a jvledger.ApplyResult)
	// ReadWait is how long one read waits for new entries.
	ReadWait time.Duration
	// AppendTimeout bounds one append.
	AppendTimeout time.Duration
	// MinRetry and MaxRetry bound the delay before a read or an append is retried.
	MinRetry time.Duration
	MaxRetry time.Duration
	// MaxBatchRecords is the number of records at which no further submission joins a batch.
	MaxBatchRecords int
	// CheckpointEntries and CheckpointInterval are the number of entries and the time after
	// which a new checkpoint is due.
	CheckpointEntries  uint64
	CheckpointInterval time.Duration
}

// DefaultOptions returns options with defaults for all numbers.
func DefaultOptions() Options {
	return Options{
		Stream:             "fleet",
		Rules:              jvledger.DefaultRules(),
		Logger:             logr.Discard(),
		ReadWait:           2 * time.Second,
		AppendTimeout:      2 * time.Second,
		MinRetry:           50 * time.Millisecond,
		MaxRetry:           2 * time.Second,
		MaxBatchRecords:    4096,
		CheckpointEntries:  5_000,
		CheckpointInterval: 10 * time.Minute,
	}
}

// backoff returns the delay before a retry: it doubles from MinRetry to MaxRetry, and is
// reduced by up to half at random, so that VMs don't retry in step.
func (o *Options) backoff(attempt int) time.Duration {
	d := o.MinRetry << min(attempt, 16)
	if d > o.MaxRetry || d <= 0 {
		d = o.MaxRetry
	}
	return d - time.Duration(o.Random()*float64(d)/2)
}
