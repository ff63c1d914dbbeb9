package jvfleet

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvflight"
	"github.com/jasminevale/jasminevale/internal/jvjournal"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvmeter"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvretry"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

// Fleet is one router of the fleet.
type Fleet struct {
	options Options
	journal *jvjournal.Journal
	targets *jvtarget.Table
	flights *jvflight.Table
	trace   *jvtrace.Ring
	meter   *jvmeter.Meter
	retries *jvretry.Budget
	members *members
	homes   *homes
	bills   *billBook
	guard   *guard
	claims  *claims
	crashes *crashes
	workers chan func()

	session atomic.Pointer[session]
	catalog atomic.Pointer[jvconfig.Catalog]
	// refreshing lets one entry's effects on this router be taken over at a time.
	refreshing sync.Mutex
	// reported is when the report loop last reported, polled where the load loop goes on.
	reported time.Time
	polled   int

	// recording counts outcomes that the log does not have yet.
	recording atomic.Int64

	stopping atomic.Bool
	stopped  chan struct{}
	stopOnce sync.Once
	ctx      context.Context //nolint:containedctx // It ends the router's own goroutines, not a call.
	cancel   context.CancelFunc
	running  sync.WaitGroup
	warm     atomic.Bool
}

// NewFleet returns a router that joins the fleet and serves until it is stopped.
func NewFleet(o Options) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		options: o,
		targets: jvtarget.NewTable(o.Zone, o.Timer, o.Chance.Float),
		flights: jvflight.NewTable(o.Flights, o.Timer),
		trace:   jvtrace.NewRing(o.Decisions, o.Timer),
		meter:   jvmeter.NewMeter(),
		retries: jvretry.NewBudget(o.RetryShare, o.RetrySaved),
		members: newMembers(),
		homes:   newHomes(),
		bills:   newBillBook(),
		guard:   newGuard(),
		claims:  newClaims(),
		crashes: newCrashes(o.Journal.Rules),
		workers: make(chan func()),
		stopped: make(chan struct{}),
		ctx:     ctx,
		cancel:  cancel,
	}
	f.catalog.Store(jvconfig.NewCatalog())
	f.session.Store(newSession(f.newOrigin()))
	j := o.Journal
	j.Log = o.Log
	j.Timer = o.Timer
	j.Logger = o.Logger.WithName("journal")
	j.Random = o.Chance.Float
	j.OnApply = f.refresh
	j.FetchPeerState = f.fetchState
	j.ReadWait = min(j.ReadWait, o.Pace.Unreachable/2) // An idle log must not look like one that is away.
	f.journal = jvjournal.NewJournal(j)
	f.startWorkers()
	f.startLoops()
	return f
}

func (f *Fleet) newOrigin() string { return f.options.VM + "-" + f.options.Chance.ID() }

// startWorkers makes the pool that runs requests; what it shares are the tables above.
func (f *Fleet) startWorkers() {
	for range f.options.Workers {
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			for {
				select {
				case <-f.ctx.Done():
					return
				case run := <-f.workers:
					run()
				}
			}
		}()
	}
}

// startLoops subscribes the router's own work to the timer service. Each loop has its own
// subscription, so that one that waits for the log holds up none of the others.
func (f *Fleet) startLoops() {
	p := f.options.Pace
	f.spawn(f.join)
	f.every(p.Members, f.updateMembers)
	f.every(p.Load, f.pollLoads)
	f.every(p.Report, f.report)
	f.every(p.Budget, f.tendBudgets)
	f.every(p.Decay, func() { f.current().escrow.Decay() })
	f.every(p.Witness, f.tendWitnesses)
	f.every(p.Witness, f.suspectHolders)
	f.every(p.Witness, f.tendSnapshots)
	f.spawn(f.replicateBills)
}

func (f *Fleet) every(d time.Duration, run func()) {
	f.spawn(func() {
		tick := make(chan struct{}, 1)
		u := f.options.Timer.Every(d, func() {
			select {
			case tick <- struct{}{}:
			default:
			}
		})
		defer u.Close()
		for {
			select {
			case <-f.ctx.Done():
				return
			case <-tick:
				run()
			}
		}
	})
}

func (f *Fleet) spawn(run func()) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		run()
	}()
}

func (f *Fleet) current() *session { return f.session.Load() }

// Catalog returns the configuration in force on this VM.
func (f *Fleet) Catalog() *jvconfig.Catalog { return f.catalog.Load() }

// Meter returns the router's metrics.
func (f *Fleet) Meter() *jvmeter.Meter { return f.meter }

// Zone returns the router's availability zone.
func (f *Fleet) Zone() string { return f.options.Zone }

// refresh takes over what an entry of the log changes for this router.
func (f *Fleet) refresh(j *jvjournal.Journal, a jvledger.ApplyResult) {
	f.refreshing.Lock()
	defer f.refreshing.Unlock()
	f.bills.settle(a.Bills)
	f.guard.settle(a.Bills)
	s := f.current()
	own := a.Origin == s.origin || a.Origin == ""
	if !own && a.Version == f.Catalog().Version() {
		return
	}
	var catalog *jvconfig.Catalog
	j.View(func(state *jvledger.State) {
		catalog = state.Catalog()
		if !own {
			return
		}
		for profile := range state.Budgets {
			if account, ok := state.Account(profile, s.origin); ok {
				s.escrow.Granted(profile, account.Granted, account.Borrowed)
			}
		}
	})
	if catalog.Version() != f.Catalog().Version() {
		f.catalog.Store(catalog)
		f.targets.Configure(catalog)
		f.trace.Note(jvtrace.Decision{Step: jvtrace.StepConfig, Why: fmt.Sprintf("configuration in force at version %d", catalog.Version())})
		f.options.Logger.Info("configuration in force", "version", catalog.Version())
	}
}

// join says hello under the present origin, and again whenever the session is renewed.
func (f *Fleet) join() {
	s := f.current()
	hello := jvrecord.Record{Hello: &jvrecord.Hello{VM: f.options.VM, Zone: f.options.Zone}}
	verdicts, err := f.journal.Submit(f.ctx, s.origin, hello)
	if err != nil || !verdicts[0].Accepted() {
		return
	}
	s.mu.Lock()
	s.joined = true
	s.mu.Unlock()
	f.options.Logger.Info("joined the fleet", "origin", s.origin, "zone", f.options.Zone)
}

// renew starts a new session after the log has closed the present one: witnesses took this
// VM for dead. What the old session has open is still paid for, and is settled there.
func (f *Fleet) renew(old *session) {
	s := newSession(f.newOrigin())
	if !f.session.CompareAndSwap(old, s) {
		return
	}
	old.escrow.Close()
	f.trace.Note(jvtrace.Decision{Step: jvtrace.StepMember, Why: "origin " + old.origin + " was reclaimed, going on as " + s.origin})
	f.options.Logger.Info("grants were reclaimed, starting a new origin", "old", old.origin, "new", s.origin)
	f.spawn(f.join)
}

// tendSnapshots writes a snapshot when one is due. Each VM waits a random part of the
// interval first and looks again, so that mostly one of them writes.
func (f *Fleet) tendSnapshots() {
	if !f.journal.CheckpointDue() || f.stopping.Load() {
		return
	}
	pause := time.Duration(f.options.Chance.Float() * float64(2*f.options.Pace.Witness))
	select {
	case <-f.ctx.Done():
		return
	case <-f.options.Timer.After(pause):
	}
	if !f.journal.CheckpointDue() {
		return
	}
	if err := f.journal.Checkpoint(f.ctx, f.current().origin); err != nil && f.ctx.Err() == nil {
		f.options.Logger.Info("snapshot not written", "cause", err.Error())
	}
}

// Now returns the time of the router's timer service.
func (f *Fleet) Now() time.Time { return f.options.Timer.Now() }
