package jvreach

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Target is a target with its address.
type Target struct {
	Name    string
	Address string
}

// Options configure a Monitor.
type Options struct {
	Timer  *jvtimer.Service
	Logger logr.Logger
	// Random returns a number in [0, 1).
	Random func() float64
	// Self is this router. Others returns the other routers of the fleet.
	Self   jvmember.Member
	Others func() []jvmember.Member
	// Send sends a message to another router; it may be lost. Post sends one on a connection, which takes longer.
	Send func(to jvmember.Member, message []byte)
	Post func(to jvmember.Member, message []byte)
	// Connect opens a connection to a target and closes it. It returns false if the target's machine refuses
	// connections or does not respond.
	Connect func(ctx context.Context, t Target) bool
	// Exchange is used in place of Connect unless it is nil: it sends a message that a target answers at once and does
	// not run. accepted is Connect's result; answered is true if bytes came back.
	Exchange func(ctx context.Context, t Target) (accepted, answered bool)
	// Targets returns all targets in service.
	Targets func() []Target
	// StoreReachable reports whether this router reaches the store.
	StoreReachable func() bool
	// Room returns how many more requests this router takes from others; 0 means none.
	Room func() int64
	// Changed is called when targets have become unreachable, or are reachable again, which recovered lists.
	Changed func(recovered []string)
}

// DefaultOptions returns options without parts.
func DefaultOptions() Options {
	return Options{
		Logger:         logr.Discard(),
		Others:         func() []jvmember.Member { return nil },
		Send:           func(jvmember.Member, []byte) {},
		Post:           func(jvmember.Member, []byte) {},
		Targets:        func() []Target { return nil },
		StoreReachable: func() bool { return true },
		Room:           func() int64 { return 0 },
		Changed:        func([]string) {},
	}
}

const (
	// connectTimeout is many round trips between zones, and shorter than the time after which a lost SYN
	// is sent again.
	connectTimeout = 250 * time.Millisecond
	// answerTimeout is how long other routers take to connect and to answer.
	answerTimeout = connectTimeout + 100*time.Millisecond
	// A check connects to sampleSuspects targets to which connections failed, to sampleRecent that have responded
	// in the last answerAge, and to sampleOthers others, so that failed targets don't look like a cut.
	// askedRouters are asked for those that it can't reach.
	sampleSuspects = 6
	sampleRecent   = 3
	sampleOthers   = 3
	askedRouters   = 3
	answerAge      = 3 * time.Second // Two checks whose connections hang, with their pauses.
	// sampleAll limits the targets to which a router connects that knows of none which answers others.
	sampleAll = 64
	// contactTime is the time in which a busy router has a response of some target, contactWait how long a
	// question about that waits for answers.
	contactTime = 100 * time.Millisecond
	contactWait = 60 * time.Millisecond
	// maxProbed limits the targets of a question, maxResponded those that an answer names as having responded.
	maxProbed    = 16
	maxResponded = 8
	// silenceTime is how long all targets have to be silent, while attempts are in progress, for a check.
	silenceTime = 300 * time.Millisecond
	// checkInterval is the interval at which silence is looked for.
	checkInterval = 100 * time.Millisecond
	// checkPause is the time from a check that found nothing to the next one, which has to find a cut within
	// a second.
	checkPause = 600 * time.Millisecond
	// muteTime is how long all targets have to be mute, which are those that accept connections and send nothing, and
	// muteChecks the number of checks that have to find them so, until that is a cut: servers with too many connections
	// look the same now and then. mutePause is the time from one of these checks to the next one.
	muteTime   = time.Second
	muteChecks = 2
	mutePause  = 200 * time.Millisecond
	// failureAge is how long a failed connection counts as a sign of a cut, and minFailures the number of
	// targets from which on a check is made.
	failureAge  = time.Second
	minFailures = 2
	// retryInterval is the interval at which unreachable targets are tried, retryTargets the number of those
	// that answer others, and in a cut of others by turns, that are tried at a time. It is retryAny of the others if
	// none that answers is known.
	retryInterval = 200 * time.Millisecond
	retryTargets  = 3
	retryAny      = 8
	// downInterval is the time between two questions whether unreachable targets still answer others.
	downInterval = time.Second
	// statusInterval is the time between two questions for the state of the other routers while targets are
	// unreachable, statusAge how long an answer counts.
	statusInterval = 250 * time.Millisecond
	statusAge      = time.Second
	// peerPause is how long a router that failed or refused a request gets no other one.
	peerPause = 500 * time.Millisecond
	// strandedTime is how long a cut router may know of no other router that takes its requests before it
	// is stranded.
	strandedTime = time.Second
)
