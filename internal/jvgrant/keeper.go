package jvgrant

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// Keeper is a router's part of all budgets. It is safe for concurrent use.
type Keeper struct {
	options Options
	escrow  *jvescrow.Escrow
	// grants and statements follow the two topics; rounds alone use them.
	grants     *jvkeyed.Follower
	statements *jvkeyed.Follower
	wake       chan struct{}

	// mu guards the fields below; the escrow's lock is taken after it.
	mu       sync.Mutex
	book     *Book
	speaker  speaker
	lost     map[string]int64
	demands  map[string]*demand
	wants    map[*want]bool
	stepped  time.Time
	read     time.Time
	takeover takeover
	// born is when this process started.
	born Moment
	// round is closed and renewed after each round.
	round chan struct{}
	// started is true once what an earlier start held is known.
	started bool
	closed  bool
}

// NewKeeper returns a keeper that holds nothing until it runs.
func NewKeeper(o Options) *Keeper {
	k := &Keeper{
		options:  o,
		escrow:   jvescrow.NewEscrow(),
		wake:     make(chan struct{}, 1),
		book:     NewBook(),
		lost:     map[string]int64{},
		demands:  map[string]*demand{},
		wants:    map[*want]bool{},
		takeover: takeover{held: map[string]int64{}, charged: map[string]int64{}},
		born:     o.Moment(),
		round:    make(chan struct{}),
	}
	follow := func(name string, topic jvkeyed.Topic, apply func([]jvkeyed.Item, bool)) *jvkeyed.Follower {
		return jvkeyed.NewFollower(jvkeyed.Options{Name: name, Topic: topic, Timer: o.Timer, Logger: o.Logger, Random: o.Random, Apply: apply})
	}
	k.grants = follow("grants", o.Grants, k.applyGrants)
	k.statements = follow("statements", o.Statements, k.applyStatements)
	return k
}

// Run makes rounds until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	idle := 0 // Rounds in a row that requests asked for and that changed nothing.
	for ctx.Err() == nil {
		changed := k.makeRound(ctx)
		select {
		case <-ctx.Done():
		case <-k.wake:
			if changed {
				idle = 0
			}
			k.rest(ctx, idle)
			idle++
		case <-k.options.Timer.After(k.pause()):
			idle = 0
		}
	}
}

// Pauses between two rounds that requests ask for; they grow while rounds change nothing.
const (
	leastPause = 10 * time.Millisecond
	mostPause  = 160 * time.Millisecond
)

func (k *Keeper) rest(ctx context.Context, idle int) {
	if idle == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-k.options.Timer.After(min(leastPause<<min(idle, 8), mostPause)):
	}
}

// pause spreads the rounds of routers that started together.
func (k *Keeper) pause() time.Duration {
	round := k.options.Round
	if k.takingOver() {
		round /= takeoverPace
	}
	return time.Duration(float64(round) * (0.75 + 0.5*k.options.Random()))
}

func (k *Keeper) applyGrants(items []jvkeyed.Item, _ bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, i := range items {
		origin, workspace, h, err := decodeHolding(i)
		if err != nil {
			k.options.Logger.Error(err, "holding passed over", "key", i.Key, "offset", i.Offset)
			continue
		}
		k.book.Hold(workspace, origin, h)
		if origin == k.options.Origin && k.started {
			// Also a record that an earlier start made and that is added late.
			k.escrow.Adopt(workspace, h.Granted, h.Returned)
		}
	}
}

func (k *Keeper) applyStatements(items []jvkeyed.Item, whole bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Timer.Now()
	for _, i := range items {
		s, err := decodeStatement(i)
		if err != nil {
			k.options.Logger.Error(err, "statement passed over", "key", i.Key, "offset", i.Offset)
			continue
		}
		k.book.State(i.Key, s, now)
	}
	if !whole {
		k.learn(items)
	}
}

// makeRound reads what others wrote and writes what changes here. It returns whether anything
// was written.
func (k *Keeper) makeRound(ctx context.Context) bool {
	defer k.endRound()
	if !k.ready() {
		return k.begin(ctx)
	}
	k.stepDemand()
	stated := k.say(ctx)
	if !k.readDue() {
		return stated
	}
	_ = k.call(ctx, func(ctx context.Context) error { return k.statements.Poll(ctx, 0) }) // The follower reports it.
	taken := k.settled() && k.trade(ctx)
	if taken {
		stated = k.say(ctx) || stated
	}
	return stated || taken
}

// readDue tells whether this round reads what others stated: each Read, and whenever a request
// waits, somebody's request waited or a takeover goes on.
func (k *Keeper) readDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Timer.Now()
	due := len(k.wants) > 0 || k.closed || k.takeover.last != nil || now.Sub(k.read) >= k.options.Read
	if due {
		k.read = now
	}
	return due
}

// call bounds one use of a topic.
func (k *Keeper) call(ctx context.Context, use func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, k.options.CallTimeout)
	defer cancel()
	return use(ctx)
}

// begin reads both topics whole and takes over what an earlier start held.
func (k *Keeper) begin(ctx context.Context) bool {
	err := k.call(ctx, func(ctx context.Context) error { return k.statements.Poll(ctx, 0) })
	if err != nil || len(k.options.Workspaces()) == 0 {
		return false // The follower reports what it can't reach.
	}
	if err := k.fence(ctx); err != nil {
		k.options.Logger.Info("budgets not taken over yet", "cause", err.Error())
		return false
	}
	k.mu.Lock()
	k.takeOver()
	k.started = true
	k.options.Logger.Info("budgets read", "epoch", k.speaker.epoch, "grants", k.grants.Next(), "statements", k.statements.Next())
	k.mu.Unlock()
	_ = k.call(ctx, func(ctx context.Context) error { k.readHistory(ctx); return nil })
	return k.say(ctx)
}

// fence reads the grants and moves the end of their topic, so that no append of an earlier
// start of this router can still be carried out: a late one that gives tokens back would let
// others take what this start spends.
func (k *Keeper) fence(ctx context.Context) error {
	const tries = 8
	var err error
	for range tries {
		if err = k.call(ctx, func(ctx context.Context) error { return k.grants.Poll(ctx, 0) }); err != nil {
			return err
		}
		at := k.grants.Next()
		mark := []jvkeyed.Item{Holding{}.Encode(k.options.Origin, fenceKey)}
		var end uint64
		err = k.call(ctx, func(ctx context.Context) error {
			var err error
			end, err = k.options.Grants.AppendAt(ctx, at, mark)
			return err
		})
		if err == nil {
			k.grants.Advance(at, end, mark)
			return nil
		}
	}
	return err
}

// fenceKey stands in place of a workspace in the record that a start writes first.
const fenceKey = ""

// settled tells whether the other routers have had the time to say that they are there; a
// router that takes before takes too much.
func (k *Keeper) settled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.wants) > 0 || k.closed || k.options.Moment().Uptime-k.born.Uptime > settleTime
}

// settleTime is a few rounds of every router.
const settleTime = 1500 * time.Millisecond

// say makes a statement where one is due.
func (k *Keeper) say(ctx context.Context) bool {
	k.mu.Lock()
	before := k.speaker.sequence
	k.mu.Unlock()
	_ = k.call(ctx, k.speak) // It has been logged; the next round tries again.
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.speaker.sequence != before
}

// trade takes and gives back what the policy says; a router that wrote in between makes it
// start over. It returns whether anything was written.
func (k *Keeper) trade(ctx context.Context) bool {
	const tries = 8
	for range tries {
		if !k.tradeDue() {
			return false
		}
		err := k.call(ctx, func(ctx context.Context) error { return k.grants.Poll(ctx, 0) })
		if err != nil {
			return false // The follower reports it.
		}
		at := k.grants.Next()
		items := k.plan()
		if len(items) == 0 {
			return false
		}
		var end uint64
		err = k.call(ctx, func(ctx context.Context) error {
			var err error
			end, err = k.options.Grants.AppendAt(ctx, at, items)
			return err
		})
		if err == nil {
			k.grants.Advance(at, end, items)
			return true
		}
		if jvfault.KindOf[jvkeyed.Kind](err) != jvkeyed.KindMoved {
			k.options.Logger.Info("holdings not confirmed", "at", at, "records", len(items), "cause", err.Error())
			return false
		}
	}
	return false
}

// tradeDue tells whether by what is known something is to be taken or given back.
func (k *Keeper) tradeDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range k.budgets() {
		s, bound := k.situation(w)
		a := k.escrow.Account(w)
		h, _ := k.book.Holding(w, k.options.Origin)
		if bound && (k.closed || a.Returned != h.Returned || k.options.Policy.Give(s) > 0 || k.options.Policy.Wishes(s)) {
			return true
		}
	}
	return false
}

// plan decides what to take and give back, and returns the records that say so.
func (k *Keeper) plan() []jvkeyed.Item {
	k.mu.Lock()
	defer k.mu.Unlock()
	var items []jvkeyed.Item
	for _, w := range k.budgets() {
		if h, changed := k.decide(w); changed {
			items = append(items, h.Encode(k.options.Origin, w))
		}
	}
	return items
}

// budgets lists the workspaces in force and those that something is held of; k.mu must be held.
func (k *Keeper) budgets() []string {
	names := map[string]bool{}
	for _, w := range k.options.Workspaces() {
		names[w] = true
	}
	for w, m := range k.book.holdings {
		if m[k.options.Origin].Net() != 0 {
			names[w] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// decide returns the holding that a workspace's record should show; k.mu must be held.
func (k *Keeper) decide(workspace string) (Holding, bool) {
	s, bound := k.situation(workspace)
	if !bound {
		return Holding{}, false
	}
	give := k.options.Policy.Give(s)
	if k.closed {
		give = s.Available
	}
	k.escrow.Return(workspace, give)
	a := k.escrow.Account(workspace)
	old, _ := k.book.Holding(workspace, k.options.Origin)
	h := Holding{Granted: max(a.Granted, old.Granted), Returned: a.Returned}
	take := int64(0)
	if !k.closed {
		s.Available = a.Available()
		take = k.options.Policy.Take(s)
	}
	h.Granted += take
	if h == old {
		return h, false
	}
	k.options.Logger.Info("budget moved", "workspace", workspace, "take", take, "give", h.Returned-old.Returned,
		"available", s.Available, "target", k.options.Policy.Target(s), "prepaid", s.Prepaid, "net", s.Totals.Net,
		"used", s.Totals.Used, "lost", s.Totals.Lost, "rate", s.Rate, "rates", s.Totals.Rate, "want", s.Want, "offset", k.grants.Next())
	return h, true
}

// situation returns what a decision on a budget is made from, and false where nothing bounds
// it; k.mu must be held.
func (k *Keeper) situation(workspace string) (Situation, bool) {
	prepaid, bound := k.options.Prepaid(workspace)
	s := Situation{
		Prepaid:   prepaid,
		Totals:    k.book.Totals(workspace, k.options.Origin),
		Available: k.escrow.Account(workspace).Available(),
		Want:      k.wanted(workspace),
		Routers:   max(1, k.book.Routers(k.options.Timer.Now().Add(-liveFor))),
	}
	if d := k.demands[workspace]; d != nil {
		s.Rate = d.rate()
		s.Typical = d.typical()
	}
	return s, bound
}

// stepDemand moves the means of demand on by the time since the last round.
func (k *Keeper) stepDemand() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Timer.Now()
	if !k.stepped.IsZero() {
		for _, d := range k.demands {
			d.step(now.Sub(k.stepped))
		}
	}
	k.stepped = now
}

// endRound wakes the requests that wait for it.
func (k *Keeper) endRound() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.round)
	k.round = make(chan struct{})
}

// Close gives back all that is not reserved and takes no more; it returns when the topic has
// that or ctx ends.
func (k *Keeper) Close(ctx context.Context) {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.makeRound(ctx)
}

// Escrow returns the accounts, for the dump.
func (k *Keeper) Escrow() *jvescrow.Escrow { return k.escrow }

// InTouch tells whether the topics answered a moment ago.
func (k *Keeper) InTouch() bool {
	at, ok := k.statements.Contact()
	return ok && k.options.Timer.Since(at) < k.options.Away
}

func (k *Keeper) ready() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.started
}

// Ready tells whether the router knows what it holds.
func (k *Keeper) Ready() bool { return k.ready() }

// Contact returns when the topics last answered.
func (k *Keeper) Contact() time.Time {
	at, _ := k.statements.Contact()
	return at
}
