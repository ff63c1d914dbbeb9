package jvgrant

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Options are what a Keeper is built from.
type Options struct {
	// Origin is the router's name, the same at each start; Start is never the same again.
	Origin string
	Start  string
	Topic  jvkeyed.Topic
	Timer  *jvtimer.Service
	Logger logr.Logger
	Random func() float64
	Policy Policy
	// Moment tells the machine's clocks, by which a start knows what the one before can have
	// spent.
	Moment func() Moment
	// Prepaid returns the total of a workspace's budget in force, and false where none bounds it.
	Prepaid func(workspace string) (int64, bool)
	// Workspaces lists all workspaces with a budget.
	Workspaces func() []string
	// Round is the pause between rounds, Report the most that the topic lags behind spending.
	Round  time.Duration
	Report time.Duration
	// CallTimeout bounds one call of the topic, Away is the silence after which it counts as away.
	CallTimeout time.Duration
	Away        time.Duration
}

// DefaultOptions returns options with all numbers set.
func DefaultOptions() Options {
	return Options{
		Logger:      logr.Discard(),
		Policy:      DefaultPolicy(),
		Round:       500 * time.Millisecond,
		Report:      time.Second,
		CallTimeout: time.Second,
		Away:        time.Second,
	}
}

// liveFor is how long a router counts as sharing budgets after its last record.
const liveFor = 15 * time.Second

// Keeper is a router's part of all budgets. It is safe for concurrent use.
type Keeper struct {
	options  Options
	escrow   *jvescrow.Escrow
	follower *jvkeyed.Follower
	wake     chan struct{}

	// mu guards the fields below; the escrow's lock is taken after it.
	mu      sync.Mutex
	book    *Book
	seen    map[string]time.Time
	lost    map[string]int64
	demands map[string]*demand
	wants   map[*want]bool
	stepped time.Time
	// told are the bounds on spending that the topic has, pending those that it may get.
	told    map[string]Envelope
	pending map[string]Envelope
	// pendingAt is where the pending records would stand.
	pendingAt uint64
	// born is when this process started.
	born     Moment
	takeover takeover
	// latest is the latest time of day that a record names.
	latest time.Time
	// round is closed and renewed after each round.
	round chan struct{}
	// started is true once what an earlier start held is known.
	started bool
	closed  bool
}

// NewKeeper returns a keeper that holds nothing until it runs.
func NewKeeper(o Options) *Keeper {
	k := &Keeper{
		options: o,
		escrow:  jvescrow.NewEscrow(),
		wake:    make(chan struct{}, 1),
		book:    NewBook(),
		seen:    map[string]time.Time{},
		lost:    map[string]int64{},
		demands: map[string]*demand{},
		wants:   map[*want]bool{},
		told:    map[string]Envelope{},
		pending: map[string]Envelope{},
		round:   make(chan struct{}),
	}
	k.born = k.options.Moment()
	k.takeover = newTakeover()
	k.follower = jvkeyed.NewFollower(jvkeyed.Options{
		Name:   "budgets",
		Topic:  o.Topic,
		Timer:  o.Timer,
		Logger: o.Logger,
		Random: o.Random,
		Apply:  k.apply,
	})
	return k
}

// Run makes rounds until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	idle := 0 // Rounds in a row that requests asked for and that changed nothing.
	for ctx.Err() == nil {
		wrote := k.makeRound(ctx)
		select {
		case <-ctx.Done():
		case <-k.wake:
			if wrote {
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

// apply takes over what the topic says.
func (k *Keeper) apply(items []jvkeyed.Item, whole bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if whole {
		k.book = NewBook()
	}
	now := k.options.Timer.Now()
	own := map[string]Holding{}
	offsets := map[string]uint64{}
	for _, i := range items {
		origin, workspace, h, err := decode(i)
		if err != nil {
			k.options.Logger.Error(err, "holding passed over", "key", i.Key, "offset", i.Offset)
			continue
		}
		k.book.Put(workspace, origin, h)
		if clock := time.UnixMilli(h.Envelope.Clock); clock.After(k.latest) {
			k.latest = clock
		}
		if !whole {
			k.seen[origin] = now
		}
		if origin != k.options.Origin {
			continue
		}
		if k.started {
			k.escrow.Adopt(workspace, h.Granted, h.Returned)
			if h.Start == k.options.Start {
				k.told[workspace] = h.Envelope
				delete(k.pending, workspace)
			}
			continue
		}
		own[workspace] = h
		offsets[workspace] = i.Offset
	}
	if k.started && !whole {
		k.learn(items)
	}
	if !k.started {
		for workspace, h := range own {
			k.restore(workspace, offsets[workspace], h)
		}
		k.started = true
		k.options.Logger.Info("budgets read", "records", len(items), "lost", k.lost)
	}
}

// makeRound reads what others wrote and writes what changes here; a router that wrote in
// between makes it start over. It returns whether anything was written.
func (k *Keeper) makeRound(ctx context.Context) (wrote bool) {
	defer k.endRound()
	const tries = 8
	for range tries {
		call, cancel := context.WithTimeout(ctx, k.options.CallTimeout)
		first := !k.follower.Loaded()
		err := k.follower.Poll(call, 0)
		if err == nil {
			if first {
				k.readHistory(call)
			}
			k.resolve()
			wrote, err = k.write(call)
		}
		cancel()
		if jvfault.KindOf[jvkeyed.Kind](err) != jvkeyed.KindMoved {
			break
		}
	}
	return wrote
}

// resolve forgets pending records that can no longer be added: the topic has gone on without
// them from where they had to stand.
func (k *Keeper) resolve() {
	next := k.follower.Next()
	k.mu.Lock()
	defer k.mu.Unlock()
	if next > k.pendingAt {
		clear(k.pending)
	}
}

func (k *Keeper) write(ctx context.Context) (bool, error) {
	at := k.follower.Next()
	items := k.plan(at)
	if len(items) == 0 {
		return false, nil
	}
	end, err := k.options.Topic.AppendAt(ctx, at, items)
	if err != nil {
		if jvfault.KindOf[jvkeyed.Kind](err) != jvkeyed.KindMoved {
			k.options.Logger.Info("holdings not confirmed", "at", at, "records", len(items), "cause", err.Error())
		}
		return false, err
	}
	k.follower.Advance(at, end, items)
	return true, nil
}

// plan decides what to take and give back, and returns the records that say so.
func (k *Keeper) plan(at uint64) []jvkeyed.Item {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Timer.Now()
	if !k.stepped.IsZero() {
		for _, d := range k.demands {
			d.step(now.Sub(k.stepped))
		}
	}
	k.stepped = now
	routers := k.routers(now)
	var items []jvkeyed.Item
	for _, w := range k.options.Workspaces() {
		if h, changed := k.decide(w, routers); changed {
			items = append(items, h.Encode(k.options.Origin, w))
			k.pending[w] = h.Envelope
		}
	}
	k.pendingAt = at
	return items
}

// decide returns the holding that a workspace's record should show; k.mu must be held.
func (k *Keeper) decide(workspace string, routers int) (Holding, bool) {
	prepaid, bound := k.options.Prepaid(workspace)
	if !bound {
		return Holding{}, false
	}
	old, known := k.book.Holding(workspace, k.options.Origin)
	s := k.situation(workspace, prepaid, routers)
	if give := k.options.Policy.Give(s); give > 0 || k.closed {
		k.escrow.Return(workspace, max(give, 0))
		if k.closed {
			k.escrow.Return(workspace, s.Available)
		}
	}
	a := k.escrow.Account(workspace)
	h := Holding{
		Granted:  max(a.Granted, old.Granted),
		Returned: a.Returned,
		Used:     max(0, a.Spent-k.lost[workspace]),
		Lost:     k.lost[workspace],
		Rate:     s.Rate,
		Want:     s.Want,
	}
	take := int64(0)
	if !k.closed {
		s.Available = a.Available()
		take = k.options.Policy.Take(s)
	}
	h.Granted += take
	if take > 0 {
		h.Want = 0
	}
	if take > 0 || h.Returned != old.Returned {
		k.options.Logger.Info("budget moved", "workspace", workspace, "take", take, "give", h.Returned-old.Returned,
			"available", s.Available, "target", k.options.Policy.Target(s), "prepaid", prepaid, "net", s.Totals.Net,
			"used", s.Totals.Used, "lost", s.Totals.Lost, "rate", s.Rate, "rates", s.Totals.Rate, "want", s.Want, "offset", k.follower.Next())
	}
	s.Available += take
	h.Boot = k.born.Boot
	h.Start = k.options.Start
	moment := k.options.Moment()
	h.Envelope = k.options.Policy.Envelope(s, a.Use(), moment)
	if pending, ok := k.pending[workspace]; ok {
		h.Envelope = pending // It may be added yet, so a second bound would only tie the router down.
	}
	moved := h.Granted != old.Granted || h.Returned != old.Returned || h.Want != old.Want || h.Start != old.Start
	return h, moved || !known || k.drifted(old.Envelope, h.Envelope, moment.Uptime)
}

// drifted tells whether the bound that the topic has should be stated anew: it leaves too
// little room, or so much that a restart would lose more than it has to, or is old.
func (k *Keeper) drifted(told, now Envelope, uptime time.Duration) bool {
	room := told.Limit(uptime) - now.Base
	age := uptime - time.Duration(told.Stamp)
	used := now.Base != told.Base
	return room < now.Size || (used && (room > 3*now.Size || age > k.options.Report))
}

func (k *Keeper) situation(workspace string, prepaid int64, routers int) Situation {
	s := Situation{
		Prepaid:   prepaid,
		Totals:    k.book.Totals(workspace, k.options.Origin),
		Available: k.escrow.Account(workspace).Available(),
		Want:      k.wanted(workspace),
		Routers:   routers,
	}
	if d := k.demands[workspace]; d != nil {
		s.Rate = d.rate()
		s.Typical = d.typical()
	}
	return s
}

// routers counts those whose records changed lately, this one included; k.mu must be held.
func (k *Keeper) routers(now time.Time) int {
	n := 1
	for origin, at := range k.seen {
		if origin != k.options.Origin && now.Sub(at) < liveFor {
			n++
		}
	}
	return n
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

// InTouch tells whether the topic answered a moment ago.
func (k *Keeper) InTouch() bool {
	at, ok := k.follower.Contact()
	return ok && k.options.Timer.Since(at) < k.options.Away
}

// Ready tells whether the router knows what it holds.
func (k *Keeper) Ready() bool { return k.follower.Loaded() }

// Contact returns when the topic last answered.
func (k *Keeper) Contact() time.Time {
	at, _ := k.follower.Contact()
	return at
}
