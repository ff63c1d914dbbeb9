package jvgrant

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Options configure an Allocator.
type Options struct {
	// Router is the router's name, the same in each of its processes.
	Router string
	// Grants are all partitions, in order, of the topic of holdings; Statements is the topic of
	// statements.
	Grants     []jvkeyed.Topic
	Statements jvkeyed.Topic
	// Others returns the other routers of the fleet, or is nil if there are none. Send sends a message to one; it may be
	// lost. Post sends one on a connection, which takes longer; it is Send if it is nil.
	Others func() []jvmember.Member
	Send   func(to jvmember.Member, message []byte)
	Post   func(to jvmember.Member, message []byte)
	Timer  *jvtimer.Service
	Logger logr.Logger
	// Random returns a number in [0, 1); it must be safe for concurrent use.
	Random func() float64
	Policy Policy
	// ReadClocks reads the machine's clocks, from which a new process bounds what the previous one
	// can have spent.
	ReadClocks func() ClockReading
	// ConfigLoaded reports whether the workspaces are known.
	ConfigLoaded func() bool
	// Prepaid returns the total of a workspace's budget in force, and false where it has no budget.
	Prepaid func(workspace string) (int64, bool)
	// Workspaces lists all workspaces with a budget.
	Workspaces func() []string
	// RoundInterval is the pause between rounds, MaxReportDelay the longest time that statements lag
	// behind spending, ReadInterval the pause between reads of other routers' statements. In a fleet
	// of more than SmallFleetSize routers all three are longer; see fleetSize.
	RoundInterval  time.Duration
	MaxReportDelay time.Duration
	ReadInterval   time.Duration
	SmallFleetSize int
	// CallTimeout bounds one call of a topic. UnreachableAfter is the minimum time without a
	// response after which the topics count as unreachable.
	CallTimeout      time.Duration
	UnreachableAfter time.Duration
}

// DefaultOptions returns options with defaults for all numbers.
func DefaultOptions() Options {
	return Options{
		Logger:           logr.Discard(),
		Policy:           DefaultPolicy(),
		RoundInterval:    200 * time.Millisecond,
		MaxReportDelay:   150 * time.Millisecond,
		ReadInterval:     500 * time.Millisecond,
		SmallFleetSize:   12, // Small sites have 6 to 10 routers, whose calls together are few.
		CallTimeout:      700 * time.Millisecond,
		UnreachableAfter: time.Second,
	}
}

// livenessTimeout is how long a router counts as sharing budgets after its last statement.
const livenessTimeout = 15 * time.Second
