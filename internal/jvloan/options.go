package jvloan

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvgrant"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Allocator is a router's own share of the budgets, as in jvgrant.
type Allocator interface {
	Reserve(ctx context.Context, workspace string, tokens int64) (jvescrow.Reservation, error)
	Await(ctx context.Context, workspace string, tokens int64) (jvescrow.Reservation, error)
	Try(workspace string, tokens int64, counted bool) (jvescrow.Reservation, error)
	Settle(r jvescrow.Reservation, used int64)
	Ready() bool
	Run(ctx context.Context)
	Leave(serving time.Duration)
	Retire()
	Resume(pooled bool)
	Retired() bool
	HeldBefore(ctx context.Context) (bool, error)
	Close(ctx context.Context)
	CountRouters() (int, bool)
	Dump() jvgrant.Dump
}

// Options configure Loans.
type Options struct {
	Allocator Allocator
	// Self returns this router, Others the other routers of the fleet; Settled reports whether both are known.
	Self    func() jvmember.Member
	Others  func() []jvmember.Member
	Settled func() bool
	// Send sends a message to another router; it may be lost. Post sends one on a connection, which takes longer; it is Send
	// if it is nil.
	Send   func(to jvmember.Member, message []byte)
	Post   func(to jvmember.Member, message []byte)
	Timer  *jvtimer.Service
	Logger logr.Logger
	// Random returns a number in [0, 1); it must be safe for concurrent use.
	Random func() float64
	// Holders is the number of holders in the fleet. In a fleet of as many routers or fewer, and if it is 0, each router
	// holds a part of each budget.
	Holders int
	// ResponseTime is how long a holder has to respond until another one is asked; SuspectTime is how long
	// one that did not is passed over then.
	ResponseTime time.Duration
	SuspectTime  time.Duration
	// MaxAge is how long a holder keeps a reservation that its borrower does not settle. It counts as spent then.
	MaxAge time.Duration
	// AdvanceSpan is the time whose demand an advance covers, and 0 for none; AdvanceRequests is the number of requests in
	// about the last second from which a workspace gets one.
	AdvanceSpan     time.Duration
	AdvanceRequests int
}

// DefaultOptions returns options with defaults for all numbers.
func DefaultOptions() Options {
	return Options{
		Logger:       logr.Discard(),
		ResponseTime: 30 * time.Millisecond, // A round trip in a zone takes less than 2 ms.
		SuspectTime:  500 * time.Millisecond,
		MaxAge:       10 * time.Minute, // No response lasts as long.
		// Together with what is left of the last one, an advance withholds half a second of demand.
		AdvanceSpan:     350 * time.Millisecond,
		AdvanceRequests: 10,
	}
}
