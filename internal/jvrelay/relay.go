package jvrelay

import (
	"sync/atomic"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvhedge"
	"github.com/jasminevale/jasminevale/internal/jvmeter"
	"github.com/jasminevale/jasminevale/internal/jvpressure"
	"github.com/jasminevale/jasminevale/internal/jvreach"
	"github.com/jasminevale/jasminevale/internal/jvroute"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// Relay forwards callers' requests to targets. It is safe for concurrent use.
type Relay struct {
	options  Options
	table    atomic.Pointer[jvroute.Table]
	targets  *jvtarget.Table
	registry *Registry
	crashes  *crashDetector
	// evacuations are the availability zones whose targets get no requests.
	evacuations *evacuations
	active      atomic.Int64
	// stop has the times of a planned stop, or nil.
	stop atomic.Pointer[stopTimes]
	// drained is true once the drain of a stop has ended.
	drained   atomic.Bool
	retries   *retryBudgets
	open      *openRequests
	durations *durations
	// hedger decides on extra attempts, or is nil if there are none.
	hedger *jvhedge.Hedger
}

// expireInterval is the interval at which entries are checked for expiry and the retry budgets adapted.
const expireInterval = 200 * time.Millisecond

// NewRelay returns a relay without configuration and targets.
func NewRelay(o Options) *Relay {
	if o.Gate == nil {
		unlimited := jvpressure.DefaultGateOptions()
		unlimited.Timer = o.Timer
		o.Gate = jvpressure.NewGate(unlimited)
	}
	r := &Relay{options: o, retries: newRetryBudgets(o), open: newOpenRequests(), durations: newDurations()}
	if o.Hedge.Share > 0 {
		r.hedger = jvhedge.New(o.Hedge)
	}
	r.targets = jvtarget.NewTableWith(o.Zone, o.Timer, o.Random.Float, o.Weights, o.Limits).
		WithLateDrain(o.LateDrain).WithUnreachable(o.Reach.Unreachable).WithSharers(o.Reach.Sharers)
	r.crashes = newCrashDetector(o)
	r.registry = newRegistry(o, r.targets, r.crashes, r.coldRate)
	r.evacuations = newEvacuations(o, r.targets, r.registry.hasTargets)
	o.Timer.Every(expireInterval, func() {
		r.registry.expireMissing()
		r.registry.verify()
		r.registry.expireCold()
		r.evacuations.expire()
		r.crashes.expire()
		r.retries.resize()
	})
	o.Timer.Every(probeInterval, r.probeRefusing)
	return r
}

// Registry returns the registry of targets.
func (r *Relay) Registry() *Registry { return r.registry }

// Meter returns the relay's metrics.
func (r *Relay) Meter() *jvmeter.Relay { return r.options.Meter }

// Gate returns the admission of connections and requests.
func (r *Relay) Gate() *jvpressure.Gate { return r.options.Gate }

// Table returns the configuration in force, or nil.
func (r *Relay) Table() *jvroute.Table { return r.table.Load() }

// Configure replaces the configuration in force unless that is as new or newer.
func (r *Relay) Configure(t *jvroute.Table) {
	for {
		old := r.table.Load()
		if old != nil && old.Version() >= t.Version() {
			return
		}
		if r.table.CompareAndSwap(old, t) {
			r.options.Logger.Info("configuration in force", "version", t.Version(), "routes", t.RouteCount(), "workspaces", len(t.Workspaces()))
			r.registry.ratesChanged()
			return
		}
	}
}

// Prepaid returns the total of a workspace's budget in tokens, and whether it has one.
func (r *Relay) Prepaid(workspace string) (int64, bool) {
	t := r.table.Load()
	if t == nil {
		return 0, false
	}
	w, ok := t.Workspace(workspace)
	return w.Prepaid, ok && w.Prepaid >= 0
}

// Workspaces returns the names of the workspaces in the configuration in force.
func (r *Relay) Workspaces() []string {
	t := r.table.Load()
	if t == nil {
		return nil
	}
	return t.Workspaces()
}

// Ready reports whether the router accepts new callers, and why not if it doesn't.
func (r *Relay) Ready() (bool, string) {
	switch {
	case r.Stopping():
		return false, "stopping"
	case r.table.Load() == nil:
		return false, "no configuration yet"
	case !r.registry.Loaded():
		return false, "no list of targets yet"
	case !r.options.Budgets.Ready():
		return false, "budgets not read yet"
	case !r.options.Quarantine.Loaded():
		return false, "crashes not read yet"
	case r.LinkCongested():
		return false, "link crowded"
	case r.options.Reach.Stranded():
		return false, "cut off from all targets and routers"
	}
	return r.options.Gate.Ready()
}

// ReachChanged applies that targets have become unreachable from here, or reachable again, which recovered lists.
func (r *Relay) ReachChanged(recovered []string) {
	r.registry.forgetEnded()
	r.targets.ReachChanged(recovered)
}

// ReachTargets returns all targets in service with their addresses.
func (r *Relay) ReachTargets() []jvreach.Target {
	var list []jvreach.Target
	for id, e := range r.registry.Entries() {
		if !e.Leaving && !r.targets.Leaves(id) {
			list = append(list, jvreach.Target{Name: id, Address: e.Target.Address})
		}
	}
	return list
}

// maxRoom is the number of requests that a router takes from others if its machine sets no limit.
const maxRoom = 1000

// Room returns how many more requests this router takes from others.
func (r *Relay) Room() int64 {
	requests := r.options.Gate.Requests()
	if ok, _ := r.Ready(); !ok || r.options.Gate.Pressed() {
		return 0
	}
	if requests.Limit() == 0 {
		return maxRoom
	}
	return max(requests.Limit()-requests.Taken(), 0)
}

// LinkCongested reports whether this machine's network link is congested.
func (r *Relay) LinkCongested() bool { return r.options.Congested() }

// SendsAway reports whether callers should open their next connection to another machine.
func (r *Relay) SendsAway() bool { return r.LinkCongested() || r.options.Reach.Stranded() }

// Stop makes Ready report false for a stop that began at a time: the connections close by the times of its plan, also if
// the process did not run in between. The relay still serves requests, unless they may not end before the plan's drain
// does. Attempts for other routers that wait are refused: those routers can choose another one at once.
func (r *Relay) Stop(startedAt time.Time, p StopPlan) {
	s := newStopTimes(startedAt, p)
	r.open.stop(startedAt)
	r.stop.Store(s)
	r.open.endUnsent(func(o *openRequest) bool { return o.from != "" && !s.endsInTime(o.endsAt) })
}

// Stopping reports whether Stop has been called.
func (r *Relay) Stopping() bool { return r.stop.Load() != nil }

// Head is what the head of a request shows to admission.
type Head struct {
	// Key is the key of the request's workspace.
	Key  string
	Host string
	Path string
	// Wait is how long the caller waits, or 0 if that isn't known.
	Wait time.Duration
	// Bytes is the length of the request with its body, as far as it is known.
	Bytes int64
}

// Enter admits a request whose body has not been read, or returns why not. Leave must be called at the end of a request that
// was admitted, with its flow.
func (r *Relay) Enter(h Head) (jvpressure.Flow, *jvpressure.Refusal) {
	q := jvpressure.Request{Wait: h.Wait}
	if t := r.table.Load(); t != nil {
		if route, ok := t.Match(h.Host, h.Path); ok {
			q.Priority = route.Priority
		}
		if w, ok := t.WorkspaceByKey(h.Key); ok {
			q.Workspace = w.Name
			if w.Priority >= 0 {
				q.Priority = w.Priority
			}
		}
	}
	if retryAfter, ok := r.options.AdmitLink(q.Workspace, h.Bytes); !ok {
		return q.Flow, r.options.Gate.RefuseLink(retryAfter)
	}
	return q.Flow, r.options.Gate.Enter(q)
}

// Leave ends a request that Enter admitted. refused is what Serve returned.
func (r *Relay) Leave(f jvpressure.Flow, refused bool) { r.options.Gate.Leave(f, refused) }

// refusalMessages are the messages to callers of requests that are refused unread.
var refusalMessages = map[jvpressure.Kind]string{
	jvpressure.KindStale:     "this router's configuration or list of targets is out of date",
	jvpressure.KindLate:      "the request has waited longer than its caller does",
	jvpressure.KindProcessor: "this router has more requests than it can serve",
	jvpressure.KindMemory:    "this router has too little memory left",
	jvpressure.KindLink:      "this router's network link can't carry the request in time",
	jvpressure.KindBodies:    "this router has too little memory left for the request's body",
	jvpressure.KindRequests:  "this router has as many requests in progress as its machine bears",
}

// unreadProblem returns the problem of a request that was not admitted.
func unreadProblem(refusal *jvpressure.Refusal) *Problem {
	name := "overloaded"
	if refusal.Kind == jvpressure.KindStale {
		name = "unready"
	}
	return notRun(name, refusalMessages[refusal.Kind], refusal.RetryAfter)
}

// RefuseUnread refuses a request that Enter did not admit and that has not been read.
func (r *Relay) RefuseUnread(id string, refusal *jvpressure.Refusal, c Caller) {
	c.Refuse(r.CountUnread(id, refusal))
}

// CountUnread counts a request that Enter did not admit and that has not been read, and returns its problem.
func (r *Relay) CountUnread(id string, refusal *jvpressure.Refusal) Problem {
	p := unreadProblem(refusal)
	r.options.Meter.CountOutcome("", p.Name, p.Status)
	r.open.countEnd(p.Name, p)
	if refusal.Logged {
		r.options.Logger.Info("request refused unread", "request", id, "reason", string(refusal.Kind), "delay", r.options.Gate.Delay().Milliseconds(),
			"active", r.Active(), "limit", r.options.Gate.Requests().Limit())
	}
	return *p
}

// Active returns the number of requests in progress.
func (r *Relay) Active() int64 { return r.active.Load() }
