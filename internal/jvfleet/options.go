package jvfleet

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvengine"
	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvflight"
	"github.com/jasminevale/jasminevale/internal/jvjournal"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Options hold the dependencies and settings of a router.
type Options struct {
	VM      string
	Zone    string
	Timer   *jvtimer.Service
	Random  *jvchance.Source
	Log     jvplatform.Log
	VMs     jvplatform.VMs
	Network jvpeer.Network
	Targets jvengine.Targets
	Logger  logr.Logger
	// Journal holds the journal's settings; its dependencies are set from those above.
	Journal      jvjournal.Options
	ClaimPolicy  jvescrow.ClaimPolicy
	FlightLimits jvflight.Limits
	Timing       Timing
	// MaxDecisions is the number of most recent decisions in the dump.
	MaxDecisions int
	// RetryShare is the number of retries that each first attempt adds to the retry budget,
	// MaxSavedRetries the maximum size of that budget.
	RetryShare      float64
	MaxSavedRetries float64
	// Workers is the maximum number of requests that run at once.
	Workers int
}

// Timing holds the intervals and timeouts of a router's maintenance.
type Timing struct {
	// ReportInterval to WitnessInterval are the intervals of the maintenance loops.
	ReportInterval  time.Duration
	MembersInterval time.Duration
	LoadInterval    time.Duration
	BudgetInterval  time.Duration
	DecayInterval   time.Duration
	WitnessInterval time.Duration
	// ReportSpacing is the minimum mean time between two reports of the whole fleet: with N entry VMs,
	// each reports at most once in N times ReportSpacing, which bounds the fleet's rate of appends.
	ReportSpacing time.Duration
	// LoadPolls is the maximum number of targets that are polled for their load in one interval.
	LoadPolls int
	// SuspectAfter is the time for which a VM must be missing before its witnesses promise.
	SuspectAfter time.Duration
	// UnreachableAfter is the time without a response after which the log counts as unreachable and
	// requests stop waiting for it.
	UnreachableAfter time.Duration
	// PeerTimeout bounds a message to a peer or a target that a request waits for.
	PeerTimeout time.Duration
	// StopTimeout bounds the time for which a planned stop waits for requests in progress.
	StopTimeout time.Duration
}

// DefaultOptions returns options with default settings; the dependencies are left to set.
func DefaultOptions() Options {
	return Options{
		Logger:       logr.Discard(),
		Journal:      jvjournal.DefaultOptions(),
		ClaimPolicy:  jvescrow.DefaultClaimPolicy(),
		FlightLimits: jvflight.DefaultLimits(),
		Timing: Timing{
			ReportInterval:   500 * time.Millisecond,
			MembersInterval:  time.Second,
			LoadInterval:     time.Second,
			BudgetInterval:   100 * time.Millisecond,
			DecayInterval:    10 * time.Second,
			WitnessInterval:  time.Second,
			ReportSpacing:    10 * time.Millisecond,
			LoadPolls:        8,
			SuspectAfter:     10 * time.Second,
			UnreachableAfter: 5 * time.Second,
			PeerTimeout:      300 * time.Millisecond,
			StopTimeout:      2 * time.Minute,
		},
		MaxDecisions:    8192,
		RetryShare:      0.1,
		MaxSavedRetries: 20,
		Workers:         2048,
	}
}
