package jvrelay

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvmeter"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Budgets are the prepaid budgets of workspaces.
type Budgets interface {
	// Reserve takes a request's worst case, in tokens, waiting for it until ctx ends.
	Reserve(ctx context.Context, workspace string, tokens int64) (jvescrow.Reservation, error)
	// Settle ends a reservation with the tokens that were used.
	Settle(r jvescrow.Reservation, used int64)
	// Ready tells whether it is known what this router holds.
	Ready() bool
}

// Options are what a Relay is built from.
type Options struct {
	Zone    string
	Timer   *jvtimer.Service
	Chance  *jvchance.Source
	Logger  logr.Logger
	Sender  Sender
	Budgets Budgets
	// LinkCongested tells whether callers are better served by another machine.
	LinkCongested func() bool
	Meter   *jvmeter.Relay
	Weights jvtarget.Weights
	// RetryShare is the number of retries that one request earns, RetrySaved the most saved up
	// for a pool.
	RetryShare float64
	RetrySaved float64
	// ReconnectGrace is how long after the log's return entries may still be missing that lapsed
	// while it was away.
	ReconnectGrace time.Duration
	// MaxNotRun bounds the attempts of one request that no target ran.
	MaxNotRun int
	// MaxBufferedBytes bounds an answer that is held until it is whole, in bytes.
	MaxBufferedBytes int64
	// ReserveWaitShare is the part of a route's aim that a request may wait for its reservation.
	ReserveWaitShare float64
}

// DefaultOptions returns options with all numbers set.
func DefaultOptions() Options {
	return Options{
		Logger:       logr.Discard(),
		LinkCongested:      func() bool { return false },
		Meter:        jvmeter.NewRelay(),
		Weights:      jvtarget.Weights{CrossZone: 0.10, PrefixBonus: 0.75, PrefixAnyZone: true, MaxReportAge: time.Second},
		RetryShare:   0.15,
		RetrySaved:   5,
		ReconnectGrace:     2500 * time.Millisecond,
		MaxNotRun:       3,
		MaxBufferedBytes:       1 << 20,
		ReserveWaitShare: 0.5,
	}
}

const (
	// retryPart is the part of an allowed share of retries that routers use: they count alone
	// and don't see what a burst does elsewhere.
	retryPart = 0.75
	// slackRouters is the number of routers that an allowed slack is taken to be shared by.
	slackRouters = 8
)

// WithRetryBound returns options whose retries keep to a share and a slack that all routers
// together are allowed for a pool; a share of 0 says that nothing bounds them.
func (o Options) WithRetryBound(share, slack float64) Options {
	if share <= 0 {
		return o
	}
	o.RetryShare = min(o.RetryShare, retryPart*share)
	o.RetrySaved = min(o.RetrySaved, slack/slackRouters)
	return o
}
