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

// Options are what a Fleet is built from.
type Options struct {
	VM      string
	Zone    string
	Timer   *jvtimer.Service
	Chance  *jvchance.Source
	Log     jvplatform.Log
	VMs     jvplatform.VMs
	Network jvpeer.Network
	Targets jvengine.Targets
	Logger  logr.Logger
	// Journal holds the journal's numbers; its interfaces are taken from here.
	Journal jvjournal.Options
	Policy  jvescrow.ClaimPolicy
	Flights jvflight.Limits
	Pace    Pace
	// Decisions is how many decisions the dump remembers.
	Decisions int
	// RetryShare is the number of retries that one first attempt earns, RetrySaved the most saved up.
	RetryShare float64
	RetrySaved float64
	// Workers is the number of requests that run at once.
	Workers int
}

// Pace is how often a router does what it does beside serving.
type Pace struct {
	Report  time.Duration
	Members time.Duration
	Load    time.Duration
	Budget  time.Duration
	Decay   time.Duration
	Witness time.Duration
	// Share is what one VM's reports leave to the others: with N entry VMs a VM reports at
	// most once in N times Share, so that the fleet's appends a second stay bounded.
	Share time.Duration
	// Polls is how many targets are asked for their load in one round.
	Polls int
	// Suspect is how long a VM must be gone before its witnesses promise.
	Suspect time.Duration
	// Unreachable is how long the log may be silent before requests stop waiting for it.
	Unreachable time.Duration
	// PeerTimeout bounds one ask of a peer on a request's way.
	PeerTimeout time.Duration
	// StopLimit is how long a planned stop waits for requests under way.
	StopLimit time.Duration
}

// DefaultOptions returns options with all numbers set.
func DefaultOptions() Options {
	return Options{
		Logger:  logr.Discard(),
		Journal: jvjournal.DefaultOptions(),
		Policy:  jvescrow.DefaultClaimPolicy(),
		Flights: jvflight.DefaultLimits(),
		Pace: Pace{
			Report:      500 * time.Millisecond,
			Members:     time.Second,
			Load:        time.Second,
			Budget:      100 * time.Millisecond,
			Decay:       10 * time.Second,
			Witness:     time.Second,
			Share:       10 * time.Millisecond,
			Polls:       8,
			Suspect:     10 * time.Second,
			Unreachable: 5 * time.Second,
			PeerTimeout: 300 * time.Millisecond,
			StopLimit:   2 * time.Minute,
		},
		Decisions:  8192,
		RetryShare: 0.1,
		RetrySaved: 20,
		Workers:    2048,
	}
}
