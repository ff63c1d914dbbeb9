package jvtarget

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// target is what the table knows of one target.
type target struct {
	config  jvconfig.Target
	load    Load
	traffic traffic
	health  health
	// leaving is true while the VM list or an operator takes the target out.
	leaving bool
	// missed counts the polls in a row that the target has not answered.
	missed int
	// flights are the digests of the requests under way here, by attempt.
	flights map[string][]byte
	crashed string
}

// pool is the targets that can stand in for each other, with the requests that wait for them.
type pool struct {
	targets map[string]*target
	waiting waitList
	// service is a moving mean of how long a request holds a slot, in seconds.
	service float64
}

// Table holds all pools. It is safe for concurrent use; its lock is a leaf.
type Table struct {
	mu     sync.Mutex
	zone   string
	timer  *jvtimer.Service
	random func() float64
	// weights hold for all pools.
	weights Weights
	pools   map[string]*pool
	// gone are the targets that the VM list shows as leaving.
	gone map[string]bool
}

// NewTable returns an empty table with the default weights for a router in a zone.
func NewTable(zone string, timer *jvtimer.Service, random func() float64) *Table {
	return NewTableWithWeights(zone, timer, random, DefaultWeights())
}

// NewTableWithWeights returns an empty table for a router in a zone.
func NewTableWithWeights(zone string, timer *jvtimer.Service, random func() float64, w Weights) *Table {
	t := &Table{zone: zone, timer: timer, random: random, weights: w, pools: map[string]*pool{}, gone: map[string]bool{}}
	timer.Every(wakeEvery, t.wakeAll)
	return t
}

// wakeEvery is how often waiting requests try targets whose pause may be over.
const wakeEvery = 100 * time.Millisecond

func (t *Table) wakeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		p.wake(t)
	}
}

// Configure takes over the pools and drains of a catalog. Targets that it no longer has get
// no new work; their streams finish.
func (t *Table) Configure(c *jvconfig.Catalog) {
	pools := map[string][]jvconfig.Target{}
	for name, config := range c.Pools() {
		pools[name] = config.Targets
	}
	t.SetPools(pools, c.Drained)
}

// SetPools takes over all pools with their targets, and which of these are drained.
func (t *Table) SetPools(pools map[string][]jvconfig.Target, drained func(name string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, targets := range pools {
		p := t.pools[name]
		if p == nil {
			p = &pool{targets: map[string]*target{}}
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

func (t *Table) configurePool(p *pool, targets []jvconfig.Target, drained func(name string) bool) {
	named := map[string]bool{}
	for _, g := range targets {
		named[g.Name] = true
		held := p.targets[g.Name]
		if held == nil || held.config.Address != g.Address {
			held = &target{flights: map[string][]byte{}}
			p.targets[g.Name] = held
		}
		held.config = g
		held.leaving = drained(g.Name) || t.gone[g.Name]
	}
	for name := range p.targets {
		if !named[name] {
			delete(p.targets, name)
		}
	}
}

// SetLeaving takes over which targets the VM list shows as leaving.
func (t *Table) SetLeaving(names []string, c *jvconfig.Catalog) {
	t.mu.Lock()
	t.gone = map[string]bool{}
	for _, n := range names {
		t.gone[n] = true
	}
	t.mu.Unlock()
	t.Configure(c)
}

// RecordLoad takes over a target's load report.
func (t *Table) RecordLoad(poolName, name string, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[poolName]
	if p == nil || p.targets[name] == nil || l.At.Before(p.targets[name].load.At) {
		return
	}
	g := p.targets[name]
	g.load = l
	g.traffic.forget(l.At)
	if g.missed >= missedMost {
		g.health.worked()
	}
	g.missed = 0
	p.wake(t)
}

// missedMost is the number of unanswered polls in a row after which a target is left alone,
// so that one that is frozen or cut off does not have to cost requests to be noticed.
const missedMost = 2

// RecordMissedPoll notes that a target did not answer a poll.
func (t *Table) RecordMissedPoll(poolName, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[poolName]
	if p == nil || p.targets[name] == nil {
		return
	}
	g := p.targets[name]
	g.missed++
	if g.missed >= missedMost {
		g.health.failed(t.timer.Now())
	}
}

// candidates lists the targets that take work now, in order of name.
func (p *pool) candidates(t *Table, avoid []string) []Candidate {
	now := t.timer.Now()
	list := make([]Candidate, 0, len(p.targets))
	for name, g := range p.targets {
		if g.leaving || !g.health.usable(now) || slices.Contains(avoid, name) {
			continue
		}
		list = append(list, Candidate{
			Name:  name,
			Slots: g.config.Slots,
			Busy:  g.traffic.estimate(g.load, p.fade(t.weights.MaxReportAge), now),
			SameZone:  g.config.Zone == t.zone,
		})
	}
	slices.SortFunc(list, func(a, b Candidate) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// hopeful tells whether a target that is not usable now is worth waiting for.
func (p *pool) hopeful(avoid []string) bool {
	for name, g := range p.targets {
		if !g.leaving && g.health.soon() && !slices.Contains(avoid, name) {
			return true
		}
	}
	return false
}

// take gives an ask a slot, or says why there is none.
func (p *pool) take(t *Table, a Request) (Lease, Kind) {
	list := p.candidates(t, a.Avoid)
	if len(list) == 0 && !p.hopeful(a.Avoid) {
		return Lease{}, KindNoTarget
	}
	if len(list) == 0 {
		return Lease{}, KindOverloaded
	}
	i := t.weights.Select(list, a.Prefix, t.random)
	if i < 0 {
		return Lease{}, KindOverloaded
	}
	c := list[i]
	g := p.targets[c.Name]
	g.traffic.start(a.Attempt, t.timer.Now())
	g.flights[a.Attempt] = a.Digest
	g.health.chosen()
	why := fmt.Sprintf("%s has %d of %d slots busy, %d candidates, near=%t", c.Name, c.Busy, c.Slots, len(list), c.SameZone)
	return Lease{Target: g.config, Attempt: a.Attempt, Reason: why, table: t, pool: a.Pool}, ""
}

func (t *Table) release(l Lease, e Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[l.pool]
	if p == nil || p.targets[l.Target.Name] == nil {
		return
	}
	g := p.targets[l.Target.Name]
	now := t.timer.Now()
	if started, ok := g.traffic.starts[l.Attempt]; ok && e == ResultSucceeded {
		p.learn(now.Sub(started))
	}
	g.traffic.finish(l.Attempt, now)
	delete(g.flights, l.Attempt)
	switch e {
	case ResultSucceeded:
		g.health.worked()
	case ResultFailed:
		g.health.failed(now)
	case ResultInconclusive:
		g.health.probing = false
	}
	p.wake(t)
}

// fadeServices is how many mean service times a report of others' requests says something for.
const fadeServices = 3

// fade returns the age at which a report says nothing more, at most the one given: requests
// that take 60 ms have ended long before a second is over.
func (p *pool) fade(most time.Duration) time.Duration {
	if p.service == 0 {
		return most
	}
	return min(most, time.Duration(fadeServices*p.service*float64(time.Second)))
}

// serviceWeight is the share of the newest request in the mean service time.
const serviceWeight = 0.1

func (p *pool) learn(d time.Duration) {
	if p.service == 0 {
		p.service = d.Seconds()
		return
	}
	p.service += serviceWeight * (d.Seconds() - p.service)
}

// Instance returns the instance that a lease's target last reported, or "".
func (t *Table) Instance(l Lease) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[l.pool]
	if p == nil || p.targets[l.Target.Name] == nil {
		return ""
	}
	return p.targets[l.Target.Name].load.Instance
}

// RecordCrash notes that an instance of a target has died and returns the digests of the requests
// that were under way on it, once per instance.
func (t *Table) RecordCrash(l Lease, instance string) [][]byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[l.pool]
	if p == nil || p.targets[l.Target.Name] == nil {
		return nil
	}
	g := p.targets[l.Target.Name]
	if g.crashed == instance {
		return nil
	}
	g.crashed = instance
	digests := make([][]byte, 0, len(g.flights))
	for _, d := range g.flights {
		digests = append(digests, d)
	}
	return digests
}
