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

// Router is one router of the fleet. Its methods are safe for concurrent use.
type Router struct {
	options     Options
	journal     *jvjournal.Journal
	targets     *jvtarget.Table
	flights     *jvflight.Table
	trace       *jvtrace.Ring
	meter       *jvmeter.Meter
	retries     *jvretry.Budget
	members     *members
	coordinator *coordinator
	bills       *billTable
	holders     *holderTable
	claims      *claims
	crashes     *crashTable
	workers     chan func()

	session atomic.Pointer[session]
	catalog atomic.Pointer[jvconfig.Catalog]
	// refreshMu serializes refresh.
	refreshMu sync.Mutex
	// lastReport is when the report loop last lastReport; polled is the index of the target that the
	// load loop polls next.
	lastReport time.Time
	nextPoll   int

	// pendingOutcomes is the number of outcomes that are being appended to the log.
	pendingOutcomes atomic.Int64

	stopping atomic.Bool
	stopped  chan struct{}
	stopOnce sync.Once
	ctx      context.Context //nolint:containedctx // It ends the router's own goroutines, not a call.
	cancel   context.CancelFunc
	running  sync.WaitGroup
	// loadsPolled is true once targets have been polled for their load.
	loadsPolled atomic.Bool
}

// NewRouter returns a router that joins the fleet and serves until Stop or Close.
func NewRouter(o Options) *Router {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Router{
		options:     o,
		targets:     jvtarget.NewTable(o.Zone, o.Timer, o.Chance.Float),
		flights:     jvflight.NewTable(o.FlightLimits, o.Timer),
		trace:       jvtrace.NewRing(o.MaxDecisions, o.Timer),
		meter:       jvmeter.NewMeter(),
		retries:     jvretry.NewBudget(o.RetryShare, o.RetrySaved),
		members:     newMembers(),
		coordinator: newCoordinator(),
		bills:       newBillTable(),
		holders:     newHolderTable(),
		claims:      newClaims(),
		crashes:     newCrashTable(o.Journal.Rules),
		workers:     make(chan func()),
		stopped:     make(chan struct{}),
		ctx:         ctx,
		cancel:      cancel,
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
	j.ReadWait = min(j.ReadWait, o.Timing.UnreachableAfter/2) // An idle log must not count as unreachable.
	f.journal = jvjournal.NewJournal(j)
	f.startWorkers()
	f.startLoops()
	return f
}

func (f *Router) newOrigin() string { return f.options.VM + "-" + f.options.Chance.ID() }

// startWorkers starts the goroutines that run requests.
func (f *Router) startWorkers() {
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

// startLoops starts the router's maintenance. Each loop has its own subscription to the timer
// service, so that one that waits for the log does not delay the others.
func (f *Router) startLoops() {
	p := f.options.Timing
	f.spawn(f.join)
	f.runEvery(p.MembersInterval, f.updateMembers)
	f.runEvery(p.LoadInterval, f.pollLoads)
	f.runEvery(p.ReportInterval, f.report)
	f.runEvery(p.BudgetInterval, f.maintainBudgets)
	f.runEvery(p.DecayInterval, func() { f.current().escrow.Decay() })
	f.runEvery(p.WitnessInterval, f.maintainWitnesses)
	f.runEvery(p.WitnessInterval, f.promiseForMissing)
	f.runEvery(p.WitnessInterval, f.maintainSnapshots)
	f.spawn(f.replicateBills)
}

// runEvery runs a function at an interval until Close; ticks during a run are merged into one.
func (f *Router) runEvery(d time.Duration, run func()) {
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

// spawn runs a function in a goroutine that Close waits for.
func (f *Router) spawn(run func()) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		run()
	}()
}

func (f *Router) current() *session { return f.session.Load() }

// Catalog returns the configuration in force on this VM.
func (f *Router) Catalog() *jvconfig.Catalog { return f.catalog.Load() }

// Meter returns the router's metrics.
func (f *Router) Meter() *jvmeter.Meter { return f.meter }

// Zone returns the router's availability zone.
func (f *Router) Zone() string { return f.options.Zone }

// refresh updates the router after an entry of the log has been applied: bills, grants and the
// configuration.
func (f *Router) refresh(j *jvjournal.Journal, a jvledger.ApplyResult) {
	f.refreshMu.Lock()
	defer f.refreshMu.Unlock()
	f.bills.removeLogged(a.Bills)
	f.holders.removeLogged(a.Bills)
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
				s.escrow.RaiseGranted(profile, account.Granted, account.Borrowed)
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

// join appends the hello record of the current session.
func (f *Router) join() {
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

// renew starts a new session after the log has closed the current one, because its witnesses
// found this VM missing. Open reservations of the old session stay valid and are settled there.
func (f *Router) renew(old *session) {
	s := newSession(f.newOrigin())
	if !f.session.CompareAndSwap(old, s) {
		return
	}
	old.escrow.Close()
	f.trace.Note(jvtrace.Decision{Step: jvtrace.StepMember, Why: "origin " + old.origin + " was reclaimed, continuing as " + s.origin})
	f.options.Logger.Info("grants were reclaimed, starting a new origin", "old", old.origin, "new", s.origin)
	f.spawn(f.join)
}

// maintainSnapshots writes a snapshot when one is due. It first waits for a random time and checks
// again, so that usually only one VM writes it.
func (f *Router) maintainSnapshots() {
	if !f.journal.CheckpointDue() || f.stopping.Load() {
		return
	}
	pause := time.Duration(f.options.Chance.Float() * float64(2*f.options.Timing.WitnessInterval))
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
func (f *Router) Now() time.Time { return f.options.Timer.Now() }
