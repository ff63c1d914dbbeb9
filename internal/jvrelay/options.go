package jvrelay

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvhedge"
	"github.com/jasminevale/jasminevale/internal/jvmemory"
	"github.com/jasminevale/jasminevale/internal/jvmeter"
	"github.com/jasminevale/jasminevale/internal/jvpressure"
	"github.com/jasminevale/jasminevale/internal/jvquarantine"
	"github.com/jasminevale/jasminevale/internal/jvreach"
	"github.com/jasminevale/jasminevale/internal/jvsign"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
	"github.com/jasminevale/jasminevale/internal/jvversion"
)

// Budgets are the prepaid budgets of workspaces.
type Budgets interface {
	// Reserve reserves tokens for a request's worst case and waits for them until ctx ends.
	Reserve(ctx context.Context, workspace string, tokens int64) (jvescrow.Reservation, error)
	// Settle ends a reservation with the tokens that the request used.
	Settle(r jvescrow.Reservation, used int64)
	// Ready reports whether this router knows which budgets it holds.
	Ready() bool
}

// Quarantine recognizes requests that crash targets, and parts of prompts that do, for all routers.
type Quarantine interface {
	// Loaded reports whether this router knows what other routers have reported.
	Loaded() bool
	// Suspected reports whether a request was running in a crash.
	Suspected(d jvquarantine.Digest) bool
	// Check reports whether a request may be sent to targets, Admit whether an attempt may begin now.
	Check(f jvquarantine.Features) (jvquarantine.Refusal, bool)
	Admit(ctx context.Context, f jvquarantine.Features) (jvquarantine.Refusal, bool)
	// ReportCrash records that a target ended during an attempt, Withdraw that it did not.
	ReportCrash(f jvquarantine.Features, c jvquarantine.Crash) (keys []string)
	Withdraw(keys []string)
	// ReportCompletion records that a target ran a request to its end.
	ReportCompletion(f jvquarantine.Features)
}

// Limits divides the limits that targets name among all routers.
type Limits interface {
	jvtarget.Limiter
	// Hear records what a response of a target's process, to an attempt that began at a time, says about its
	// limit; named is nil if it names none.
	Hear(target string, startedAtMillis int64, sentAt time.Time, named *float64)
	// Retain forgets the limits of processes that have been replaced.
	Retain(started map[string]int64)
	// SetCold gives a target a limit in requests a second of all routers together until a time, in which it is cold. A
	// rate of 0 ends that.
	SetCold(target string, rate float64, until time.Time)
	// Count returns the number of targets that name a limit, CountCold that of targets with a limit since they are cold.
	Count() int
	CountCold() int
}

// Versions knows at which versions of targets' software streams began.
type Versions interface {
	// Observe records the versions of all targets, by pool; "" is a version that isn't known.
	Observe(pools map[string][]string)
	// Begin records where the stream of a request began, and waits for a short time until other routers know it.
	Begin(ctx context.Context, request string, o jvversion.Origin)
	// Find returns where the stream of a request began whose route uses some pools, and how that is known.
	Find(ctx context.Context, pools []string, request string) (jvversion.Origin, jvversion.Source)
}

// Options configure a Relay.
type Options struct {
	// Zone is the router's availability zone.
	Zone    string
	Timer   *jvtimer.Service
	Random  *jvchance.Source
	Logger  logr.Logger
	Sender  Sender
	Budgets Budgets
	// Quarantine holds the requests that crash targets.
	Quarantine Quarantine
	// Limits holds the limits that targets name.
	Limits Limits
	// Versions holds the versions at which streams began.
	Versions Versions
	// Reach knows which targets only other routers reach, Forwarder sends attempts through these.
	Reach     *jvreach.Monitor
	Forwarder Forwarder
	// TargetsCurrent reports whether the list of targets is up to date.
	TargetsCurrent func() bool
	// AnnounceLeaving announces to the other routers that a target leaves.
	AnnounceLeaving func(p jvsign.Process)
	// LateDrain is how long after a target was seen to leave it still gets streams that can go on nowhere
	// else, since all other targets have another version.
	LateDrain time.Duration
	// Congested reports whether this machine's network link is so busy that callers are
	// better served by another machine.
	Congested func() bool
	// AdmitLink counts a request of a workspace whose head was read, of so many bytes with its body, and reports whether the
	// link can carry it in time, with the delay for its caller if it can't.
	AdmitLink func(workspace string, bytes int64) (retryAfter time.Duration, ok bool)
	// Gate admits requests by what this machine has left; nil means without limits.
	Gate    *jvpressure.Gate
	Meter   *jvmeter.Relay
	Weights jvtarget.Weights
	// RetryShare is the number of retries that one request adds to its pool's retry budget,
	// MaxSavedRetries the maximum that the budget holds.
	RetryShare      float64
	MaxSavedRetries float64
	// Hedge configures extra attempts; its zero value allows none.
	Hedge jvhedge.Options
	// RetrySlack is the number of retries beyond the share that all routers together may make in a pool;
	// 0 means that each router may save MaxSavedRetries.
	RetrySlack float64
	// CountRouters returns the number of routers in the fleet, and false if the number may be outdated.
	CountRouters func() (int, bool)
	// ReconnectGrace is how long after the log is reachable again target entries are kept that
	// are missing from it: they may have lapsed while the log was unreachable.
	ReconnectGrace time.Duration
	// RemovedGrace limits that for an entry whose removal is read: the target may be leaving, and gets no requests
	// after that time. 0 is no limit.
	RemovedGrace time.Duration
	// MaxNotRun limits the attempts of one request that no target ran.
	MaxNotRun int
	// MaxBufferedBytes limits the responses that are buffered until they are complete, Memory all
	// buffers of responses together.
	MaxBufferedBytes int
	Memory           *jvmemory.Budget
	// ReserveWaitShare is the share of a route's target latency that a request may wait for its
	// reservation.
	ReserveWaitShare float64
}

// DefaultOptions returns options with defaults for all numbers.
func DefaultOptions() Options {
	return Options{
		Logger:           logr.Discard(),
		Congested:        func() bool { return false },
		AdmitLink:        func(string, int64) (time.Duration, bool) { return 0, true },
		TargetsCurrent:   func() bool { return true },
		AnnounceLeaving:  func(jvsign.Process) {},
		CountRouters:     func() (int, bool) { return 1, true },
		Meter:            jvmeter.NewRelay(),
		Weights:          jvtarget.Weights{CrossZone: 0.10, PrefixBonus: 0.75, PrefixAnyZone: true, MaxReportAge: time.Second},
		RetryShare:       0.15,
		MaxSavedRetries:  5,
		ReconnectGrace:   2500 * time.Millisecond,
		MaxNotRun:        3,
		MaxBufferedBytes: 1 << 20,
		Memory:           jvmemory.NewBudget(16 << 20),
		ReserveWaitShare: 0.5,
	}
}

// WithRetryBound returns options whose retries keep within a share and a slack that all routers
// together are allowed for a pool; a share of 0 means no bound.
func (o Options) WithRetryBound(share, slack float64) Options {
	if share <= 0 {
		return o
	}
	o.RetryShare = min(o.RetryShare, usableRetryShare*share)
	o.RetrySlack = slack
	return o
}
