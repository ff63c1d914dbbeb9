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
	// lastReport is when the report loop last reported; nextPoll counts the targets polled so far,
	// which gives the position of the next one.
	lastReport time.Time
	nextPoll   int

	// pendingOutcomes is the number of outcomes that are being appended to the log.
	pendingOutcomes atomic.Int64

	stopping atomic.Bool
	// stopEnds is when a planned stop must be over, or nil.
	stopEnds atomic.Pointer[time.Time]
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
	rt := &Router{
		options:     o,
		targets:     jvtarget.NewTable(o.Zone, o.Timer, o.Random.Float),
		flights:     jvflight.NewTable(o.FlightLimits, o.Timer),
		trace:       jvtrace.NewRing(o.MaxDecisions, o.Timer),
		meter:       jvmeter.NewMeter(),
		retries:     jvretry.NewBudget(o.RetryShare, o.MaxSavedRetries),
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
	rt.catalog.Store(jvconfig.NewCatalog())
	rt.session.Store(newSession(rt.newOrigin()))
	j := o.Journal
	j.Log = o.Log
	j.Timer = o.Timer
	j.Logger = o.Logger.WithName("journal")
	j.Random = o.Random.Float
	j.OnApply = rt.refresh
	j.FetchPeerState = rt.fetchState
	j.ReadWait = min(j.ReadWait, o.Timing.UnreachableAfter/2) // An idle log must not count as unreachable.
	rt.journal = jvjournal.NewJournal(j)
	rt.startWorkers()
	rt.startLoops()
	return rt
}

func (rt *Router) newOrigin() string { return rt.options.VM + "-" + rt.options.Random.ID() }

// startWorkers starts the goroutines that run requests.
func (rt *Router) startWorkers() {
	for range rt.options.Workers {
		rt.running.Add(1)
		go func() {
			defer rt.running.Done()
			for {
				select {
				case <-rt.ctx.Done():
					return
				case run := <-rt.workers:
					run()
				}
			}
		}()
	}
}

// startLoops starts the router's maintenance. Each loop has its own subscription to the timer
// service, so that one that waits for the log does not delay the others.
func (rt *Router) startLoops() {
	t := rt.options.Timing
	rt.spawn(rt.join)
	rt.runEvery(t.MembersInterval, rt.updateMembers)
	rt.runEvery(t.LoadInterval, rt.pollLoads)
	rt.runEvery(t.ReportInterval, rt.report)
	rt.runEvery(t.BudgetInterval, rt.maintainBudgets)
	rt.runEvery(t.DecayInterval, func() { rt.current().escrow.Decay() })
	rt.runEvery(t.WitnessInterval, rt.maintainWitnesses)
	rt.runEvery(t.WitnessInterval, rt.promiseForMissing)
	rt.runEvery(t.WitnessInterval, rt.maintainSnapshots)
	rt.spawn(rt.replicateBills)
}

// runEvery runs a function at an interval until Close; ticks during a run are merged into one.
func (rt *Router) runEvery(d time.Duration, run func()) {
	rt.spawn(func() {
		tick := make(chan struct{}, 1)
		u := rt.options.Timer.Every(d, func() {
			select {
			case tick <- struct{}{}:
			default:
			}
		})
		defer u.Close()
		for {
			select {
			case <-rt.ctx.Done():
				return
			case <-tick:
				run()
			}
		}
	})
}

// spawn runs a function in a goroutine that Close waits for.
func (rt *Router) spawn(run func()) {
	rt.running.Add(1)
	go func() {
		defer rt.running.Done()
		run()
	}()
}

func (rt *Router) current() *session { return rt.session.Load() }

// Catalog returns the configuration in force on this VM.
func (rt *Router) Catalog() *jvconfig.Catalog { return rt.catalog.Load() }

// Meter returns the router's metrics.
func (rt *Router) Meter() *jvmeter.Meter { return rt.meter }

// Zone returns the router's availability zone.
func (rt *Router) Zone() string { return rt.options.Zone }

// refresh updates the router after an entry of the log has been applied: bills, grants and the
// configuration. An empty a.Origin means that a snapshot was restored instead.
func (rt *Router) refresh(j *jvjournal.Journal, a jvledger.ApplyResult) {
	rt.refreshMu.Lock()
	defer rt.refreshMu.Unlock()
	rt.bills.removeLogged(a.Bills)
	rt.holders.removeLogged(a.Bills)
	rt.applyCleared(a.Cleared)
	s := rt.current()
	own := a.Origin == s.origin || a.Origin == ""
	if !own && a.Version == rt.Catalog().Version() {
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
	if catalog.Version() != rt.Catalog().Version() {
		rt.catalog.Store(catalog)
		rt.targets.Configure(catalog)
		rt.trace.Add(jvtrace.Decision{Step: jvtrace.StepConfig, Why: fmt.Sprintf("configuration in force at version %d", catalog.Version())})
		rt.options.Logger.Info("configuration in force", "version", catalog.Version())
	}
}

// join appends the hello record of the current session.
func (rt *Router) join() {
	s := rt.current()
	hello := jvrecord.Record{Hello: &jvrecord.Hello{VM: rt.options.VM, Zone: rt.options.Zone}}
	verdicts, err := rt.journal.Submit(rt.ctx, s.origin, hello)
	if err != nil || !verdicts[0].Accepted() {
		return
	}
	s.mu.Lock()
	s.joined = true
	s.mu.Unlock()
	rt.options.Logger.Info("joined the fleet", "origin", s.origin, "zone", rt.options.Zone)
}

// renew starts a new session after the log has closed the current one, because its witnesses
// found this VM missing. Open reservations of the old session stay valid and are settled there.
func (rt *Router) renew(old *session) {
	s := newSession(rt.newOrigin())
	if !rt.session.CompareAndSwap(old, s) {
		return
	}
	old.escrow.Close()
	rt.trace.Add(jvtrace.Decision{Step: jvtrace.StepMember, Why: "origin " + old.origin + " was reclaimed, continuing as " + s.origin})
	rt.options.Logger.Info("grants were reclaimed, starting a new origin", "old", old.origin, "new", s.origin)
	rt.spawn(rt.join)
}

// maintainSnapshots writes a snapshot when one is due. It first waits for a random time and checks
// again, so that usually only one VM writes it.
func (rt *Router) maintainSnapshots() {
	if !rt.journal.CheckpointDue() || rt.stopping.Load() {
		return
	}
	pause := time.Duration(rt.options.Random.Float() * float64(2*rt.options.Timing.WitnessInterval))
	select {
	case <-rt.ctx.Done():
		return
	case <-rt.options.Timer.After(pause):
	}
	if !rt.journal.CheckpointDue() {
		return
	}
	if err := rt.journal.Checkpoint(rt.ctx, rt.current().origin); err != nil && rt.ctx.Err() == nil {
		rt.options.Logger.Info("snapshot not written", "cause", err.Error())
	}
}

// Now returns the time of the router's timer service.
func (rt *Router) Now() time.Time { return rt.options.Timer.Now() }
