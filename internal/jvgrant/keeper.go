package jvgrant

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// Allocator is a router's part of all budgets. It is safe for concurrent use.
type Allocator struct {
	options Options
	escrow  *jvescrow.Escrow
	// shelves and statements follow the two topics; rounds alone use them.
	shelves    []*shelf
	statements *jvkeyed.Follower
	wake       chan struct{}

	// mu guards the fields below; the escrow's lock is taken after it.
	mu       sync.Mutex
	book     *FleetView
	speaker  speaker
	lost     map[string]int64
	demands  map[string]*demand
	wants    map[*want]bool
	stepped  time.Time
	read     time.Time
	takeover takeover
	// born is when this process started.
	born ClockReading
	// round is closed and renewed after each round.
	round chan struct{}
	// started is true once what an earlier start held is known.
	started bool
	closed  bool
}

// NewAllocator returns a keeper that holds nothing until it runs.
func NewAllocator(o Options) *Allocator {
	k := &Allocator{
		options:  o,
		escrow:   jvescrow.NewEscrow(),
		wake:     make(chan struct{}, 1),
		book:     NewFleetView(),
		lost:     map[string]int64{},
		demands:  map[string]*demand{},
		wants:    map[*want]bool{},
		takeover: takeover{held: map[string]int64{}, charged: map[string]int64{}},
		born:     o.ReadClocks(),
		round:    make(chan struct{}),
	}
	follow := func(name string, topic jvkeyed.Topic, apply func([]jvkeyed.Record, bool)) *jvkeyed.Follower {
		return jvkeyed.NewFollower(jvkeyed.Options{Name: name, Topic: topic, Timer: o.Timer, Logger: o.Logger, Random: o.Random, Apply: apply})
	}
	for n, t := range o.Grants {
		k.shelves = append(k.shelves, &shelf{topic: t, follower: follow("grants "+strconv.Itoa(n), t, k.applyGrants)})
	}
	k.statements = follow("statements", o.Statements, k.applyStatements)
	return k
}

func (k *Allocator) applyGrants(items []jvkeyed.Record, _ bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, i := range items {
		origin, workspace, h, err := decodeHolding(i)
		if err != nil {
			k.options.Logger.Error(err, "holding passed over", "key", i.Key, "offset", i.Offset)
			continue
		}
		k.book.SetHolding(workspace, origin, h)
		if origin == k.options.Router && k.started {
			// Also a record that an earlier start made and that is added late.
			k.escrow.RaiseTotals(workspace, h.Granted, h.Returned)
		}
	}
}

func (k *Allocator) applyStatements(items []jvkeyed.Record, _ bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Timer.Now()
	for _, i := range items {
		s, err := decodeStatement(i)
		if err != nil {
			k.options.Logger.Error(err, "statement passed over", "key", i.Key, "offset", i.Offset)
			continue
		}
		k.book.SetStatement(i.Key, s, now)
	}
	k.learn(items)
}

// Close gives back all that is not reserved and takes no more; it returns when the topic has
// that or ctx ends.
func (k *Allocator) Close(ctx context.Context) {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.makeRound(ctx)
}

// Escrow returns the accounts, for the dump.
func (k *Allocator) Escrow() *jvescrow.Escrow { return k.escrow }

// Connected tells whether the topics answered a moment ago.
func (k *Allocator) Connected() bool {
	at, ok := k.statements.LastSeen()
	return ok && k.options.Timer.Since(at) < max(k.options.DisconnectedAfter, 2*k.fleet().read(k.options.ReadInterval, false))
}

func (k *Allocator) ready() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.started
}

// Ready tells whether the router knows what it holds.
func (k *Allocator) Ready() bool { return k.ready() }

// LastSeen returns when the topics last answered.
func (k *Allocator) LastSeen() time.Time {
	at, _ := k.statements.LastSeen()
	return at
}
