package jvlink

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	modelStep  = 50 * time.Millisecond
	modelTime  = 90 * time.Second
	modelSteps = modelTime / modelStep
	wideLink   = 20 * slowLink
	bodyBytes  = 4800
	// responseBytes pass each direction as well, and wireShare is the part of a packet that headers leave.
	responseBytes = 1000
	wireShare     = 0.85
	// maxWait is how long a caller of the model waits for its response.
	maxWait = 500 * time.Millisecond
)

// modelRouter is a router of the model, with queues of bytes at both directions of its link.
type modelRouter struct {
	policy   *policy
	in, out  float64
	moved    [2]float64
	misses   int
	rotation bool
	entered  int
	unready  int
}

// modelCase is a zone and its heavy workspaces.
type modelCase struct {
	name string
	// wide is the number of routers with links of 200 Mbit/s, of 18.
	wide int
	// rates are the requests per second of the heavy workspaces at a time.
	rates []func(at time.Duration) float64
	// cut is true if no reports arrive, restart when all routers restart.
	cut     bool
	restart time.Duration
	// calm is true if all routers must be ready at the end.
	calm bool
	// least is the smallest share of requests that must be served, entered how often a router may become unready.
	least   float64
	entered int
}

// modelResult is what a run of the model shows.
type modelResult struct {
	served float64
	// mostUnready is the largest number of unready routers, entered how often a router became unready at most, unready the
	// share of the routers' time.
	mostUnready int
	entered     int
	unready     float64
	last        int
}

// model is a zone of 18 routers. A workspace's connections go to the first router of its own order that is in rotation.
type model struct {
	modelCase

	baseline bool
	at       time.Duration
	random   *rand.Rand
	routers  []*modelRouter
	orders   map[string][]int
}

func newModel(c modelCase, baseline bool) *model {
	m := &model{modelCase: c, baseline: baseline, random: rand.New(rand.NewPCG(1, 2)), orders: map[string][]int{}}
	for range 18 {
		m.routers = append(m.routers, &modelRouter{rotation: true})
	}
	for n := range m.routers {
		m.start(n)
	}
	return m
}

func (m *model) now() time.Time { return time.Unix(1_000_000, 0).Add(m.at) }

// start starts the process of a router, without what an earlier one knew.
func (m *model) start(n int) {
	o := DefaultOptions()
	o.Capacity = slowLink
	if n < m.wide {
		o.Capacity = wideLink
	}
	o.Random = m.random.Float64
	if m.baseline { // A policy that knows no workspaces.
		o.SaturatedShare = 0
	}
	m.routers[n].policy = newPolicy(o, m.now())
	m.routers[n].policy.name = fmt.Sprint("r", n)
	m.routers[n].policy.routers = len(m.routers)
}

// pick returns the router for a new connection, other than one that refused.
func (m *model) pick(workspace string, not int) int {
	order := m.orders[workspace]
	if order == nil {
		order = m.random.Perm(len(m.routers))
		if workspace[0] == 'W' { // Its wide links, if any, come after five narrow ones.
			order = order[:0]
			for n := range len(m.routers) {
				order = append(order, (len(m.routers)-5+n+3*int(workspace[1]-'0'))%len(m.routers))
			}
		}
		m.orders[workspace] = order
	}
	inRotation := 0
	for _, r := range m.routers {
		if r.rotation {
			inRotation++
		}
	}
	usable := func(n int) bool { return n != not && (m.routers[n].rotation || 2*inRotation < len(m.routers)) }
	if not >= 0 {
		for {
			if n := m.random.IntN(len(m.routers)); usable(n) {
				return n
			}
		}
	}
	for _, n := range order {
		if usable(n) {
			return n
		}
	}
	return 0
}

// send sends a request to a router. It reports whether it is answered in time, and whether it may be sent again if not: a
// request that is late may have run.
func (m *model) send(n int, workspace string) (answered, repeatable bool) {
	r := m.routers[n]
	capacity := r.policy.Capacity
	if r.in/capacity > 1 { // The connection is not opened in time.
		return false, true
	}
	r.in += bodyBytes / wireShare
	if !m.baseline && !r.policy.admit(m.now(), workspace, bodyBytes) {
		return false, true
	}
	r.in += responseBytes / wireShare
	r.out += (bodyBytes + responseBytes) / wireShare
	return (r.in+r.out)/capacity < maxWait.Seconds(), false
}

// request sends a request, and once more to another router if it was not run.
func (m *model) request(workspace string) bool {
	n := m.pick(workspace, -1)
	answered, repeatable := m.send(n, workspace)
	if repeatable {
		answered, _ = m.send(m.pick(workspace, n), workspace)
	}
	return answered
}

// step moves the bytes of a step, and measures, reports and polls when that is due.
func (m *model) step() {
	m.at += modelStep
	for n, r := range m.routers {
		carried := r.policy.Capacity * modelStep.Seconds()
		for i, queue := range []*float64{&r.in, &r.out} {
			moved := min(*queue, carried)
			*queue -= moved
			r.moved[i] += moved
		}
		was := r.policy.unready()
		if m.at%measureInterval == 0 {
			r.policy.measure(m.now(), int64(wireShare*r.moved[0]), int64(wireShare*r.moved[1]))
			r.moved = [2]float64{}
			m.report(r)
		}
		if !was && r.policy.unready() {
			r.entered++
		}
		if m.at%time.Second == time.Duration(n)*modelStep {
			r.misses++
			if !r.policy.unready() {
				r.misses = 0
			}
			r.rotation = r.misses < 2
		}
		if r.policy.unready() {
			r.unready++
		}
	}
}

// report sends the report of a router that is due. It is lost on a full link.
func (m *model) report(r *modelRouter) {
	report, due := r.policy.report(m.now(), r.policy.name, "z")
	if !due || m.cut || m.baseline || r.out/r.policy.Capacity > maxWait.Seconds() {
		return
	}
	for _, other := range m.routers {
		if other != r && other.in/other.policy.Capacity < maxWait.Seconds() {
			other.policy.receive(m.now(), report)
		}
	}
}

// run runs the model.
func (m *model) run() modelResult {
	var result modelResult
	sent, served := 0, 0
	due := map[string]float64{}
	for m.at < modelTime {
		rates := map[string]float64{}
		for n, rate := range m.rates {
			rates[fmt.Sprint("W", n)] = rate(m.at)
		}
		for n := range m.routers {
			rates[fmt.Sprint("small", n)] = 10
		}
		for n := range len(m.rates) + len(m.routers) { // In order, so that each run is the same.
			workspace := fmt.Sprint("small", n-len(m.rates))
			if n < len(m.rates) {
				workspace = fmt.Sprint("W", n)
			}
			for due[workspace] += rates[workspace] * modelStep.Seconds(); due[workspace] >= 1; due[workspace]-- {
				sent++
				if m.request(workspace) {
					served++
				}
			}
		}
		m.step()
		if m.restart > 0 && m.at == m.restart {
			for n := range m.routers {
				m.start(n)
			}
		}
		result.last = 0
		for _, r := range m.routers {
			if r.policy.unready() {
				result.last++
			}
		}
		result.mostUnready = max(result.mostUnready, result.last)
	}
	result.served = float64(served) / float64(sent)
	for _, r := range m.routers {
		result.entered = max(result.entered, r.entered)
		result.unready += float64(r.unready) / float64(modelSteps) / float64(len(m.routers))
	}
	return result
}

// TestHeavyWorkspace guards against a workspace that crowds one router with a slow link after the other, and comes back to
// each as soon as that is ready: more is served than by a policy that knows no workspaces, and few routers are unready.
func TestHeavyWorkspace(t *testing.T) {
	steady := func(rate float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return rate }
	}
	bursts := func(at time.Duration) float64 {
		if at%(4*time.Second) < time.Second {
			return 550
		}
		return 200
	}
	const half = 45 * time.Second
	for _, c := range []modelCase{
		{name: "one", wide: 2, rates: []func(time.Duration) float64{steady(250)}, least: 0.98, entered: 1},
		{name: "bursts", wide: 2, rates: []func(time.Duration) float64{bursts}, least: 0.96, entered: 1},
		{name: "two", wide: 2, rates: []func(time.Duration) float64{steady(250), steady(300)}, least: 0.97, entered: 1},
		{name: "routers cut off from each other", wide: 2, rates: []func(time.Duration) float64{steady(250)}, cut: true, least: 0.93, entered: 5},
		{name: "narrow links only", rates: []func(time.Duration) float64{steady(250)}, least: 0.7, entered: 1},
		{name: "all restarted", wide: 2, rates: []func(time.Duration) float64{steady(250)}, restart: half, least: 0.97, entered: 2},
		{name: "all restarted without the store", wide: 2, rates: []func(time.Duration) float64{steady(250)}, restart: half, cut: true, least: 0.93, entered: 8}, // 5, 10, 20 and 40 s, twice.
		{name: "small again", wide: 2, rates: []func(time.Duration) float64{func(at time.Duration) float64 {
			if at < half {
				return 250
			}
			return 15
		}}, calm: true, least: 0.98, entered: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			before, after := newModel(c, true).run(), newModel(c, false).run()
			t.Logf("before %+v, after %+v", before, after)
			require.Greater(t, after.served, max(before.served, c.least))
			require.LessOrEqual(t, after.mostUnready, 7, "40% of 18 routers")
			require.LessOrEqual(t, after.entered, c.entered, "no oscillation")
			require.True(t, !c.calm || after.last == 0)
		})
	}
}
