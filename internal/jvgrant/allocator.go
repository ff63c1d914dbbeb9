package jvgrant

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// Allocator holds a router's share of each budget: it takes tokens out of the budgets, reserves them
// for requests and returns what the router doesn't need. It is safe for concurrent use.
type Allocator struct {
	options Options
	escrow  *jvescrow.Escrow
	// partitions and statements follow the two topics; only rounds poll them.
	partitions []*partition
	statements *jvkeyed.Follower
	// wake starts a round before the pause between rounds has passed, wakePublish a statement before that round.
	wake        chan struct{}
	wakePublish chan struct{}
	// publishing has an element while a statement is published: two at once would get one number.
	publishing chan struct{}
	// round has an element while a round runs.
	round chan struct{}

	// mu guards the fields below; the escrow's lock is acquired after it.
	mu        sync.Mutex
	fleet     *FleetView
	publisher publisher
	// lost is what earlier processes may have spent, in tokens by workspace.
	lost          map[string]int64
	demands       map[string]*demand
	waiters       map[*waiter]bool
	demandUpdated time.Time
	// lastRead is when other routers' statements were last read.
	lastRead time.Time
	takeover takeover
	// era is the log's era, renewal what the router does after the latest change of it, or nil.
	era     uint64
	renewal *renewal
	// issued is the most that this process has asked for of each budget, in all: a record with more is not credited.
	issued map[string]int64
	// takings are the tokens that this router has taken and does not spend yet, by workspace, each with those of the one before;
	// witnessed gets an element when none are left.
	takings   map[string][]*taking
	witnessed chan struct{}
	// statementDue is true if another router has asked for a statement of this one.
	statementDue bool
	// process is a random number that identifies this process.
	process int64
	// draw is the round's random number in [0, 1) for PolicyInput.
	draw float64
	// startedAt is when this process started.
	startedAt ClockReading
	// roundDone is closed and replaced after each round.
	roundDone chan struct{}
	// restored is true once it is known what the previous process held.
	restored bool
	// policy determines what the router holds; it changes when the router is leaving.
	policy  Policy
	leaving bool
	closed  bool
	// pooled is true if the router serves requests of other routers.
	pooled bool
}

// NewAllocator returns an Allocator that holds nothing until it runs.
func NewAllocator(o Options) *Allocator {
	if o.Post == nil {
		o.Post = o.Send
	}
	a := &Allocator{
		options:     o,
		policy:      o.Policy,
		escrow:      jvescrow.NewEscrow(),
		wake:        make(chan struct{}, 1),
		wakePublish: make(chan struct{}, 1),
		publishing:  make(chan struct{}, 1),
		round:       make(chan struct{}, 1),
		fleet:       NewFleetView(),
		lost:        map[string]int64{},
		demands:     map[string]*demand{},
		waiters:     map[*waiter]bool{},
		takeover:    takeover{held: map[string]int64{}, charged: map[string]int64{}},
		startedAt:   o.ReadClocks(),
		roundDone:   make(chan struct{}),
		issued:      map[string]int64{},
		takings:     map[string][]*taking{},
		witnessed:   make(chan struct{}, 1),
		process:     1 + int64(o.Random()*(1<<53)),
	}
	follow := func(name string, topic jvkeyed.Topic, apply func([]jvkeyed.Record, bool), renew func(uint64, []jvkeyed.Record)) *jvkeyed.Follower {
		return jvkeyed.NewFollower(jvkeyed.Options{
			Name: name, Topic: topic, Timer: o.Timer, Logger: o.Logger, Random: o.Random, Apply: apply, Renew: renew,
		})
	}
	for n, t := range o.Grants {
		p := &partition{topic: t}
		p.follower = follow("grants "+strconv.Itoa(n), t, func(records []jvkeyed.Record, complete bool) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.applyHoldings(p, records, complete)
		}, func(era uint64, records []jvkeyed.Record) { a.renewGrants(p, era, records) })
		a.partitions = append(a.partitions, p)
	}
	a.statements = follow("statements", o.Statements, a.applyStatements, a.renewStatements)
	return a
}

// applyHoldings applies records of a partition; complete is true if they are all that it has. a.mu must be held.
func (a *Allocator) applyHoldings(p *partition, records []jvkeyed.Record, complete bool) {
	listed := map[string]Holding{}
	if complete {
		p.completeEra = 0
	}
	for _, r := range records {
		router, workspace, h, err := decodeHolding(r)
		if err != nil {
			a.options.Logger.Error(err, "skipping a holding that can't be decoded", "key", r.Key, "offset", r.Offset)
			continue
		}
		if router == eraRouter {
			p.completeEra = uint64(h.Granted)
			continue
		}
		listed[r.Key] = h
		a.fleet.RaiseHolding(workspace, router, h)
		p.settleLacking(r.Key, h)
		if router == a.options.Router && a.restored {
			a.credit(workspace, h)
		}
	}
	if complete {
		a.findLacking(p, listed)
	}
}

// credit raises this router's account to its recorded holding, once others know of it. What this process has not asked for
// goes back: an append of an earlier process took effect late, or one before the log was set back took effect after it.
// a.mu must be held.
func (a *Allocator) credit(workspace string, h Holding) {
	account := a.escrow.Account(workspace)
	if excess := h.Granted - max(account.Granted, a.issued[workspace]); excess > 0 {
		h.Returned = max(h.Returned, account.Returned) + excess
	}
	a.take(workspace, h)
}

func (a *Allocator) applyStatements(records []jvkeyed.Record, _ bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Timer.Now()
	for _, r := range records {
		s, err := decodeStatement(r)
		if err != nil {
			a.options.Logger.Error(err, "skipping a statement that can't be decoded", "key", r.Key, "offset", r.Offset)
			continue
		}
		a.applyStatement(r.Key, s, now)
	}
	a.refineTakeover(records)
}

// Leave prepares the end of the process: the router holds only what its callers need for a time, and returns
// the rest, now and as requests end. It may be called again with another time.
func (a *Allocator) Leave(serving time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.policy = a.options.Policy.Leaving(serving)
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Retire makes the router return what it holds, now and as requests end, until Resume is called.
func (a *Allocator) Retire() { a.Leave(0) }

// Resume makes the router hold tokens, also after Retire. pooled is true if it serves requests of other routers.
func (a *Allocator) Resume(pooled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pooled = pooled
	a.leaving = false
	a.policy = a.options.Policy
}

// Retired reports whether the router has retired, holds no tokens any more, and has published that.
func (a *Allocator) Retired() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.leaving || !a.restored || a.publisher.inDoubt || a.publisher.published == nil {
		return false
	}
	for _, w := range a.budgets() {
		account := a.escrow.Account(w)
		h, _ := a.fleet.Holding(w, a.options.Router)
		r, _ := a.publisher.published.row(w)
		if account.Available() > 0 || account.Reserved > 0 || account.Returned != h.Returned || r.Used+r.Lost < h.Net() {
			return false
		}
	}
	return true
}

// HeldBefore reports whether an earlier process of this router may still hold tokens: it has published a statement, and has
// taken more than that has as used or lost.
func (a *Allocator) HeldBefore(ctx context.Context) (bool, error) {
	if !a.startRound(ctx) {
		return false, ctx.Err()
	}
	defer a.releaseRound()
	if err := a.callTopic(ctx, func(ctx context.Context) error { return a.statements.Poll(ctx, 0) }); err != nil {
		return false, err
	}
	a.mu.Lock()
	last, found := a.fleet.statements[a.options.Router]
	a.mu.Unlock()
	if !found {
		return false, nil
	}
	unread := a.eachPartition(ctx, a.allPartitions(), func(ctx context.Context, number int) bool {
		return a.callTopic(ctx, func(ctx context.Context) error { return a.partitions[number].follower.Poll(ctx, 0) }) != nil
	})
	if unread {
		return false, jvfault.Newf("read holdings", KindUnready, "a partition does not respond")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for w, holdings := range a.fleet.holdings {
		if r, _ := last.row(w); holdings[a.options.Router].Net() > r.Used+r.Lost {
			return true, nil
		}
	}
	return false, nil
}

// Close returns all unreserved tokens to the budgets, until ctx ends at the latest. No more tokens are taken
// afterwards.
func (a *Allocator) Close(ctx context.Context) {
	a.mu.Lock()
	a.closed = true
	a.abandonTakings()
	a.mu.Unlock()
	if !a.ready() || !a.startRound(ctx) {
		return
	}
	defer a.releaseRound()
	defer a.endRound()
	a.rebalance(ctx)
	a.publishIfDue(ctx)
}

// Escrow returns the accounts, for the dump.
func (a *Allocator) Escrow() *jvescrow.Escrow { return a.escrow }

// Reachable reports whether the last read of the topic of statements succeeded, and did so recently.
func (a *Allocator) Reachable() bool {
	at, ok := a.statements.LastSeen()
	return ok && a.options.Timer.Since(at) < max(a.options.UnreachableAfter, 2*a.fleetSize().readInterval(a.options.ReadInterval, false))
}

func (a *Allocator) ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.restored
}

// Ready reports whether the router knows what it holds.
func (a *Allocator) Ready() bool { return a.ready() }

// LastSeen returns when the topic of statements last responded to a read.
func (a *Allocator) LastSeen() time.Time {
	at, _ := a.statements.LastSeen()
	return at
}
