package jvgrant

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Options are what a Keeper is built from.
type Options struct {
	// Router is the router's name, the same at each start.
	Router string
	// Grants are the partitions of the topic that has what routers hold, all of them in order;
	// Statements has what routers say of their spending.
	Grants     []jvkeyed.Topic
	Statements jvkeyed.Topic
	Timer      *jvtimer.Service
	Logger     logr.Logger
	// Random returns a number in 0..1; it is called from several goroutines at a time.
	Random func() float64
	Policy Policy
	// ReadClocks tells the machine's clocks, by which a start knows what the one before can have
	// spent.
	ReadClocks func() ClockReading
	// ConfigLoaded tells whether it is known which workspaces there are.
	ConfigLoaded func() bool
	// Prepaid returns the total of a workspace's budget in force, and false where none bounds it.
	Prepaid func(workspace string) (int64, bool)
	// Workspaces lists all workspaces with a budget.
	Workspaces func() []string
	// RoundInterval is the pause between rounds, Report the most that statements lag behind spending,
	// Read the pause between reads of what others stated. In a fleet of more routers than Small
	// all three are longer, see pace.
	RoundInterval  time.Duration
	MaxReportDelay time.Duration
	ReadInterval   time.Duration
	SmallFleetSize int
	// CallTimeout bounds one call of a topic, Away is the least silence after which it counts as
	// away.
	CallTimeout       time.Duration
	DisconnectedAfter time.Duration
}

// DefaultOptions returns options with all numbers set.
func DefaultOptions() Options {
	return Options{
		Logger:            logr.Discard(),
		Policy:            DefaultPolicy(),
		RoundInterval:     200 * time.Millisecond,
		MaxReportDelay:    150 * time.Millisecond,
		ReadInterval:      500 * time.Millisecond,
		SmallFleetSize:    12, // The small sites have 6 to 10 routers, whose calls never add up to much.
		CallTimeout:       700 * time.Millisecond,
		DisconnectedAfter: time.Second,
	}
}

// liveFor is how long a router counts as sharing budgets after its last statement.
const liveFor = 15 * time.Second
