package jvtarget

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// target is the state of one target.
type target struct {
	config  jvconfig.Target
	load    Load
	traffic traffic
	health  health
	// respondedAt is when the target last responded to an attempt.
	respondedAt time.Time
	// leaving is true while the VM list or an operator takes the target out of service.
	leaving bool
	// leavingSince is when leaving became true, or the zero time if it was true from the start.
	leavingSince time.Time
	// missedPolls counts the polls in a row to which the target did not respond.
	missedPolls int
	// running are this router's attempts in progress on the target, by attempt ID.
	running map[string]*runningAttempt
	// ownWork is the work left of these attempts, ownTokens the number of their tokens.
	ownWork   time.Duration
	ownTokens int64
	// figure is the work figure that the target reported last, at figureAt, or 0.
	figure   float64
	figureAt time.Time
	speed    speed
}

// runningAttempt is an attempt in progress.
type runningAttempt struct {
	// digest identifies the caller's request, parts are those of its prompt.
	digest []byte
	parts  []Part
	// progress is true once the target has sent part of the response.
	progress bool
	// crashed is true once the crash that ended the attempt was recorded.
	crashed bool
	// cost and expected are what the attempt was expected to cost and to take until its response begins.
	cost     cost
	expected time.Duration
	// began is true once the response has begun.
	began bool
}

// CrashedRequest is a request that was running on a target when it crashed.
type CrashedRequest struct {
	Digest []byte
	Parts  []Part
	// Progress is true if the target had sent part of the response.
	Progress bool
}

// pool is a set of interchangeable targets with the requests that wait for them.
type pool struct {
	targets map[string]*target
	waiting waitQueue
	turns   turns
	// meanServiceSeconds is the moving mean of how long a request holds a slot.
	meanServiceSeconds float64
	// classSeconds is the same mean for each class of requests.
	classSeconds map[string]float64
	// brittleUntil is when the pool's targets stop being brittle, unless they say again that they are.
	brittleUntil time.Time
	// figureUntil is until when targets are selected by expected time, unless one reports a work figure again.
	figureUntil time.Time
	// meanWorkSeconds and meanTokens are the moving means of the cost of a request, meanOthers that of the number of
	// other routers' requests in a report.
	meanWorkSeconds float64
	meanTokens      float64
	meanOthers      float64
	speed           speed
}

// Limiter tells how many requests this router may send to targets that limit what all routers together send.
type Limiter interface {
	// Wait returns how long this router has to wait until it may send the next request to a target, and
	// whether the target has a limit.
	Wait(target string) (wait time.Duration, limited bool)
	// Take counts a request that is sent to a target now.
	Take(target string)
}

// unlimited is the Limiter of targets without limits.
type unlimited struct{}

func (unlimited) Wait(string) (time.Duration, bool) { return 0, false }

func (unlimited) Take(string) {}

// Table holds the state of all pools. It is safe for concurrent use; no other lock than its limiter's is
// acquired while its lock is held.
type Table struct {
	mu     sync.Mutex
	zone   string
	timer  *jvtimer.Service
	random func() float64
	// weights apply to all pools.
	weights Weights
	limiter Limiter
	// lateDrain is how long a leaving target gets requests that are bound to its version.
	lateDrain time.Duration
	// unreachable reports whether this router does not reach a target that other routers reach. Such a target
	// gets no requests, and its failures don't count.
	unreachable func(name string) bool
	sharers     Sharers
	pools       map[string]*pool
	// leavingTargets are the names of the targets that the VM list shows as leaving.
	leavingTargets map[string]bool
	signs          signs
	// evacuated are the availability zones whose targets get no requests.
	evacuated map[string]bool
}

// NewTable returns an empty table with the default weights for a router in a zone.
func NewTable(zone string, timer *jvtimer.Service, random func() float64) *Table {
	return NewTableWith(zone, timer, random, DefaultWeights(), unlimited{})
}

// NewTableWith returns an empty table with weights and a limiter for a router in a zone.
func NewTableWith(zone string, timer *jvtimer.Service, random func() float64, w Weights, l Limiter) *Table {
	t := &Table{zone: zone, timer: timer, random: random, weights: w, limiter: l, unreachable: func(string) bool { return false }, sharers: func() (int, int) { return 0, 1 }, pools: map[string]*pool{}, leavingTargets: map[string]bool{}, signs: newSigns()}
	timer.Every(wakeInterval, t.wakeAll)
	return t
}

// WithLateDrain makes leaving targets accept requests that are bound to their version and that no other target
// accepts, for a time after they were seen to leave. It returns the table.
func (t *Table) WithLateDrain(d time.Duration) *Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lateDrain = d
	return t
}

// WithUnreachable makes the table leave out the targets of which a function reports that only other routers reach
// them. It returns the table.
func (t *Table) WithUnreachable(unreachable func(name string) bool) *Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachable = unreachable
	return t
}

// ReachChanged applies what WithUnreachable's function reports now. The earlier failures of the targets that have
// recovered were those of this router's own link, so they no longer count.
func (t *Table) ReachChanged(recovered []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		for _, name := range recovered {
			if g := p.targets[name]; g != nil {
				g.health = health{}
			}
		}
		p.wake(t)
	}
}

// wakeInterval is the interval at which waiting requests try targets whose pause may have ended.
const wakeInterval = 100 * time.Millisecond

func (t *Table) wakeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		p.wake(t)
	}
}

// Configure applies the pools and drains of a catalog. Targets that are not in the catalog get no
// new requests; their streams finish.
func (t *Table) Configure(c *jvconfig.Catalog) {
	pools := map[string][]jvconfig.Target{}
	for name, config := range c.Pools() {
		pools[name] = config.Targets
	}
	t.SetPools(pools, c.Drained)
}

// SetPools replaces all pools and their targets; drained reports whether a target is drained.
func (t *Table) SetPools(pools map[string][]jvconfig.Target, drained func(name string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, targets := range pools {
		p := t.pools[name]
		if p == nil {
			p = &pool{targets: map[string]*target{}, classSeconds: map[string]float64{}, turns: newTurns()}
			t.pools[name] = p
		}
		t.configurePool(p, targets, drained)
		p.wake(t)
	}
	for name, p := range t.pools {
		if _, ok := pools[name]; !ok {
			clear(p.targets)
			p.wake(t)
			delete(t.pools, name)
		}
	}
}

// configurePool replaces the targets of a pool; one whose address has changed loses its state. t.mu
// must be held.
func (t *Table) configurePool(p *pool, targets []jvconfig.Target, drained func(name string) bool) {
	named := map[string]bool{}
	for _, g := range targets {
		named[g.Name] = true
		state := p.targets[g.Name]
		wasInService := state != nil && !state.leaving
		if state == nil || state.config.Address != g.Address {
			state = &target{running: map[string]*runningAttempt{}}
			p.targets[g.Name] = state
		}
		state.config = g
		state.leaving = drained(g.Name) || t.leavingTargets[g.Name]
		if state.leaving && wasInService {
			state.leavingSince = t.timer.Now()
		}
	}
	for name := range p.targets {
		if !named[name] {
			delete(p.targets, name)
		}
	}
}

// SetLeaving replaces the names of the targets that the VM list shows as leaving.
func (t *Table) SetLeaving(names []string, c *jvconfig.Catalog) {
	t.mu.Lock()
	t.leavingTargets = map[string]bool{}
	for _, n := range names {
		t.leavingTargets[n] = true
	}
	t.mu.Unlock()
	t.Configure(c)
}

// RecordLoad records a target's load report unless a later one is known.
func (t *Table) RecordLoad(poolName, name string, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[poolName]
	if p == nil || p.targets[name] == nil || l.ReportedAt.Before(p.targets[name].load.ReportedAt) {
		return
	}
	g := p.targets[name]
	g.load = l
	g.respondedAt = t.timer.Now()
	g.traffic.expire(l.ReportedAt)
	p.recordFigure(g, l, g.traffic.others(l))
	if g.missedPolls >= missedPollLimit {
		g.health.succeeded()
	}
	g.missedPolls = 0
	p.wake(t)
}

// missedPollLimit is the number of missed polls in a row from which a target counts as failed, so
// that a frozen or unreachable target is noticed without requests that fail on it.
const missedPollLimit = 2

// RecordMissedPoll records that a target did not respond to a poll.
func (t *Table) RecordMissedPoll(poolName, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[poolName]
	if p == nil || p.targets[name] == nil {
		return
	}
	g := p.targets[name]
	g.missedPolls++
	if g.missedPolls >= missedPollLimit {
		g.health.failed(t.timer.Now())
	}
}

// inService reports whether a target accepts a request in view of its leaving and of evacuated zones. lateOnly is true if the target is
// leaving and accepts the request since that is bound to its version.
func (t *Table) inService(g *target, q Request) (accepted, lateOnly bool) {
	if t.isEvacuated(g) {
		return false, false
	}
	since, leaving := t.leavingSince(g)
	if !leaving {
		return true, false
	}
	late := q.Bound && !since.IsZero() && t.timer.Since(since) < t.lateDrain
	return late, late
}

// candidates returns the targets that accept a request now, in order of name. Those that are leaving are
// candidates only if there are no others.
func (p *pool) candidates(t *Table, q Request) []Candidate {
	if list := p.candidatesIn(t, q, false); len(list) > 0 || !q.Bound {
		return list
	}
	return p.candidatesIn(t, q, true)
}

// candidatesIn returns the targets that accept a request now, either those in service or those that are leaving.
func (p *pool) candidatesIn(t *Table, q Request, leaving bool) []Candidate {
	now := t.timer.Now()
	brittle, bounded := p.brittle(now), q.CapacityTokens > 0 && p.byExpectedTime(now)
	maxAge, tokens := p.maxReportAge(t.weights.MaxReportAge), p.cost(q, 1).tokens
	index, n := t.sharers()
	list := make([]Candidate, 0, len(p.targets))
	for name, g := range p.targets {
		if accepted, late := t.inService(g, q); !accepted || late != leaving || !g.health.usable(now) || !q.accepts(g.config) || t.unreachable(name) {
			continue
		}
		if wait, limited := t.limiter.Wait(name); limited && wait > 0 || !t.signs.backoffOf(name).allows(now, g) {
			continue
		}
		others := g.traffic.others(g.load)
		if bounded && !fits(q.CapacityTokens, p.held(g, others, now), tokens) {
			continue
		}
		busy := int64(len(g.traffic.starts)) + decayed(others, now.Sub(g.load.ReportedAt), maxAge)
		if brittle && !g.hasShare(shareOf(name, g.config.Slots, index, n), busy, now) {
			continue
		}
		answered := g.health.failures == 0 && !g.respondedAt.IsZero() && now.Sub(g.respondedAt) < answeredAge
		list = append(list, Candidate{Name: name, Slots: g.config.Slots, Busy: busy, SameZone: g.config.Zone == t.zone, Answered: answered, others: others})
	}
	list = t.signs.withoutDoubted(list, now)
	slices.SortFunc(list, func(a, b Candidate) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// worthWaiting reports whether requests should wait for a target of the pool.
func (p *pool) worthWaiting(t *Table, q Request) bool {
	now := t.timer.Now()
	for name, g := range p.targets {
		if accepted, _ := t.inService(g, q); accepted && !t.unreachable(name) && g.health.worthWaiting(now) && q.accepts(g.config) && t.signs.backoffOf(name).rest(now) == 0 {
			return true
		}
	}
	return false
}

// acquire returns a slot, or the kind of refusal if there is none.
func (p *pool) acquire(t *Table, q Request) (Lease, Kind) {
	list := p.candidates(t, q)
	if len(list) == 0 && !p.worthWaiting(t, q) {
		return Lease{}, KindNoTarget
	}
	if len(list) == 0 {
		return Lease{}, KindOverloaded
	}
	if q.PreferAnswered {
		list = preferAnswered(list)
	}
	s := p.selectTarget(t, list, q)
	if s.index < 0 {
		return Lease{}, KindOverloaded
	}
	c := list[s.index]
	g := p.targets[c.Name]
	t.limiter.Take(c.Name)
	g.traffic.start(q.Attempt, t.timer.Now())
	g.begin(q.Attempt, &runningAttempt{digest: q.Digest, parts: q.Parts, cost: s.cost, expected: s.expected})
	p.recordCost(q, s.cost)
	if q.Workspace != "" || p.waiting.hasWorkspaces() {
		p.turns.served(q, p.waiting, max(float64(s.cost.tokens), 1), p.meanTokens, t.timer.Now())
	}
	g.health.selected()
	reason := fmt.Sprintf("%s has %d of %d slots busy, %d candidates, near=%t", c.Name, c.Busy, c.Slots, len(list), c.SameZone)
	if p.byExpectedTime(t.timer.Now()) {
		reason += fmt.Sprintf(", expected=%s", s.expected.Round(time.Millisecond))
	}
	return Lease{Target: g.config, Attempt: q.Attempt, Reason: reason, table: t, pool: q.Pool, class: q.Class}, ""
}

func (t *Table) release(l Lease, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[l.pool]
	if p == nil || p.targets[l.Target.Name] == nil {
		return
	}
	g := p.targets[l.Target.Name]
	now := t.timer.Now()
	startedAt, started := g.traffic.starts[l.Attempt]
	if started && r == ResultSucceeded {
		p.recordService(l.class, now.Sub(startedAt))
		p.recordBegan(g, g.running[l.Attempt], now.Sub(startedAt))
	}
	if r == ResultTimedOut {
		r = ResultSilent
		if g.respondedAt.After(startedAt) {
			r = ResultInconclusive
		}
	}
	if (r == ResultFailed || r == ResultSilent) && t.unreachable(l.Target.Name) {
		r = ResultInconclusive
	}
	g.traffic.finish(l.Attempt, now)
	g.end(l.Attempt)
	switch r {
	case ResultSucceeded:
		g.respondedAt = now
		g.health.succeeded()
	case ResultFailed:
		g.health.failed(now)
	case ResultSilent:
		g.health.silent(startedAt, now)
	case ResultInconclusive:
		g.health.probing = false
	}
	p.wake(t)
}

// reportServiceTimes is the age, in mean service times, from which a load report no longer counts
// for other routers' requests.
const reportServiceTimes = 3

// maxReportAge returns the age from which a load report no longer counts, at most limit. It depends
// on the mean service time: requests that take 60 ms end long before a report is a second old.
func (p *pool) maxReportAge(limit time.Duration) time.Duration {
	if p.meanServiceSeconds == 0 {
		return limit
	}
	return min(limit, time.Duration(reportServiceTimes*p.meanServiceSeconds*float64(time.Second)))
}

// serviceTimeWeight is the weight of the newest request in the mean service time.
const serviceTimeWeight = 0.1

func (p *pool) recordService(class string, d time.Duration) {
	p.meanServiceSeconds = movingMean(p.meanServiceSeconds, d.Seconds())
	if class != "" {
		p.classSeconds[class] = movingMean(p.classSeconds[class], d.Seconds())
	}
}

func movingMean(mean, newest float64) float64 {
	if mean == 0 {
		return newest
	}
	return mean + serviceTimeWeight*(newest-mean)
}

// minTimeShare is the share of the mean service time of its class that a request needs to be worth sending.
const minTimeShare = 0.9

// minTime returns the time that has to be left of a request's deadline when it is sent: with less it would mostly run
// in vain.
func (p *pool) minTime(class string) time.Duration {
	return time.Duration(minTimeShare * p.classSeconds[class] * float64(time.Second))
}

// Instance returns the instance that a lease's target reported last, or "".
func (t *Table) Instance(l Lease) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[l.pool]
	if p == nil || p.targets[l.Target.Name] == nil {
		return ""
	}
	return p.targets[l.Target.Name].load.Instance
}

// RecordCrash records that a target crashed while it ran a lease's attempt, which broke off at a time. It
// returns this router's requests that were running on it, or nil if the crash that ended the attempt was
// recorded before. The target's instance is unknown until its next report.
func (t *Table) RecordCrash(l Lease, at time.Time) []CrashedRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[l.pool]
	if p == nil || p.targets[l.Target.Name] == nil {
		return nil
	}
	g := p.targets[l.Target.Name]
	if a := g.running[l.Attempt]; a == nil || a.crashed {
		return nil
	}
	g.load.Instance = ""
	requests := make([]CrashedRequest, 0, len(g.running))
	for id, a := range g.running {
		if !a.crashed && !g.traffic.starts[id].After(at) {
			a.crashed = true
			requests = append(requests, CrashedRequest{Digest: a.digest, Parts: a.parts, Progress: a.progress})
		}
	}
	return requests
}

// recordBegan records that the response to a lease's attempt has begun.
func (t *Table) recordBegan(l Lease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[l.pool]
	if p == nil || p.targets[l.Target.Name] == nil {
		return
	}
	g := p.targets[l.Target.Name]
	p.recordBegan(g, g.running[l.Attempt], t.timer.Since(g.traffic.starts[l.Attempt]))
}

// recordProgress records that a lease's target has sent part of the response.
func (t *Table) recordProgress(l Lease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[l.pool]; p != nil && p.targets[l.Target.Name] != nil {
		if a := p.targets[l.Target.Name].running[l.Attempt]; a != nil {
			a.progress = true
			p.targets[l.Target.Name].respondedAt = t.timer.Now()
		}
	}
}
