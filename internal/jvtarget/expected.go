package jvtarget

import (
	"math"
	"time"
)

// Figures of the cost model. Speeds that targets show at first events correct them, so only their proportions matter.
const (
	// readRate is the number of prompt tokens that a target reads in a millisecond. Engines read 92 to 157.
	readRate = 120
	// stepTime is the time in which each request that runs gets one more token. Engines take 3 to 3.6 ms and more.
	stepTime = 3300 * time.Microsecond
	// minWork is added to each expected time: the round trip and the first step. It bounds what learned speeds multiply.
	minWork = 5 * time.Millisecond
	// remainingShare is the part of the work of other routers' requests that is left on average.
	remainingShare = 0.5
)

const (
	// maxFigureAge is the age from which a report says nothing about a target's present work.
	maxFigureAge = time.Second
	// usualFigure is the work figure of a target that works at its own usual speed.
	usualFigure = 100
	// minFigure bounds the work figure: a target that names 0 must not attract all requests.
	minFigure = 25
	// slowFigure is the work figure from which a target is counted as slow.
	slowFigure = 150
	// figureTime is how long a pool is selected from by expected time after a target has last reported a work figure.
	figureTime = time.Minute
	// memoryShare is the part of a target's KV memory up to which it gets requests. Targets crash above their capacity,
	// and other routers send requests at the same time.
	memoryShare = 0.95
)

const (
	// speedDecay and poolSpeedDecay are what remains of earlier samples of a speed with each new one.
	speedDecay     = 0.95
	poolSpeedDecay = 0.99
	// priorSamples is the number of samples at the pool's speed that each target's speed begins with. With 3, single samples
	// moved 16% of the requests away from their preferred targets, without a lower p99.
	priorSamples = 20
	// maxSlowness bounds a learned speed. Targets differ by a factor of 2.2; more is likely another cause.
	maxSlowness = 4
)

// cost is what a request costs a target of the usual speed.
type cost struct {
	// read is the work until the first event, write the request's part of the steps after that.
	read  time.Duration
	write time.Duration
	// own is the time until the request's own first event on an idle target, shared the part of it that a target saves
	// which has kept the shared parts of the prompt.
	own    time.Duration
	shared time.Duration
	tokens int64
}

func (c cost) work() time.Duration { return c.read + c.write }

// withKept returns the cost at a target that has kept the shared parts of the prompt.
func (c cost) withKept() cost {
	c.read = max(c.read-c.shared, 0)
	c.own = max(c.own-c.shared, 0)
	c.shared = 0
	return c
}

// maxTokens bounds the tokens that a request counts for, so that sums of work can't overflow. Callers may claim any number.
const maxTokens = 1 << 24

func readTime(tokens int64) time.Duration {
	return time.Duration(min(tokens, maxTokens)) * time.Millisecond / readRate
}

// cost returns what a request costs a target with a number of slots. Requests without tokens cost as much as the pool's
// mean, or by their service time if none has tokens.
func (p *pool) cost(q Request, slots int64) cost {
	slots = max(slots, 1)
	if q.PromptTokens > 0 || q.OutputTokens > 0 {
		read := readTime(q.PromptTokens)
		return cost{
			read: read, write: time.Duration(min(q.OutputTokens, maxTokens)) * stepTime / time.Duration(slots),
			own: read, shared: min(readTime(q.SharedTokens), read), tokens: min(q.PromptTokens, maxTokens) + min(q.OutputTokens, maxTokens),
		}
	}
	if p.meanTokens > 0 {
		return cost{read: seconds(p.meanWorkSeconds), own: seconds(p.meanWorkSeconds), tokens: int64(p.meanTokens)}
	}
	service := p.meanServiceSeconds
	if s := p.classSeconds[q.Class]; s > 0 {
		service = s
	}
	return cost{write: seconds(service) / time.Duration(slots), own: seconds(service)}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// freshness returns the influence of a report: 1 when it is made, 0 from maxFigureAge on.
func freshness(age time.Duration) float64 {
	return min(max(1-float64(age)/float64(maxFigureAge), 0), 1)
}

// outlook is what a router knows about the work ahead on a target.
type outlook struct {
	// own is the work left of this router's own requests.
	own time.Duration
	// others is the number of other routers' requests, from a report of an age; usual is the mean of all targets.
	others    float64
	usual     float64
	reportAge time.Duration
	// work is the mean work of a request.
	work time.Duration
	// figure is the last work figure of the target, or 0 if there is none.
	figure    float64
	figureAge time.Duration
}

// estimatedOthers returns the number of other routers' requests. As the report ages, the mean of all targets replaces it:
// a target with an old report must neither attract nor lose requests for that.
func (o outlook) estimatedOthers() float64 {
	f := freshness(o.reportAge)
	return f*o.others + (1-f)*o.usual
}

// factor returns how many times the usual time work takes now.
func (o outlook) factor() float64 {
	if o.figure == 0 {
		return 1
	}
	return 1 + freshness(o.figureAge)*(max(o.figure, minFigure)/usualFigure-1)
}

// expected returns the time until the first event of a request that takes own on an idle target, at the pool's mean speed.
func (o outlook) expected(own time.Duration) time.Duration {
	ahead := o.own + time.Duration(o.estimatedOthers()*remainingShare*float64(o.work))
	return time.Duration(float64(ahead+own+minWork) * o.factor())
}

// speed compares the times that were observed with those that were expected. Both are decaying sums, so that long times
// count more than short ones, which have relatively larger errors.
type speed struct {
	observed float64
	expected float64
	// weight is the decaying number of samples.
	weight float64
}

// with returns the speed after one more sample.
func (s speed) with(observed, expected time.Duration, decay float64) speed {
	return speed{observed: s.observed*decay + observed.Seconds(), expected: s.expected*decay + expected.Seconds(), weight: s.weight*decay + 1}
}

// slowness returns how many times longer a target takes than the mean of its pool.
func (s speed) slowness(pool speed) float64 {
	if pool.observed <= 0 || pool.expected <= 0 {
		return 1
	}
	prior := priorSamples * pool.expected / pool.weight
	observed := s.observed * pool.expected / pool.observed
	return min(max((observed+prior)/(s.expected+prior), 1.0/maxSlowness), maxSlowness)
}

// SelectExpected returns the index of the candidate with the lowest expected time out of at most three with a free slot:
// the one that the prefix hashes to, if there is a prefix, and two random ones. It returns -1 if no candidate has a
// free slot. Routers that read the same reports select different random candidates, so that they don't all select the best.
func (w Weights) SelectExpected(candidates []Candidate, prefix string, random func() float64, expected func(i int, preferred bool) time.Duration) (selected int, preferred bool) {
	free := freeCandidates(candidates)
	if len(free) == 0 {
		return -1, false
	}
	first, lowest := -1, time.Duration(math.MaxInt64)
	if prefix != "" {
		first = rendezvous(candidates, free, prefix, !w.PrefixAnyZone)
		lowest = expected(first, true)
	}
	selected = first
	for range 2 {
		i := free[randomIndex(len(free), random)]
		if i == first {
			continue
		}
		if d := expected(i, false); d < lowest {
			selected, lowest = i, d
		}
	}
	return selected, selected == first
}

// fits reports whether a target's KV memory holds a request beside a number of tokens. A capacity of 0 is unknown.
func fits(capacity, held, tokens int64) bool {
	return capacity <= 0 || float64(held+tokens) <= memoryShare*float64(capacity)
}

// byExpectedTime reports whether a pool's targets report how long work takes there.
func (p *pool) byExpectedTime(now time.Time) bool { return now.Before(p.figureUntil) }

// outlookOf returns what is known about the work ahead on a target.
func (p *pool) outlookOf(g *target, others int64, now time.Time) outlook {
	return outlook{
		own: g.ownWork, others: float64(others), usual: p.meanOthers, reportAge: now.Sub(g.load.ReportedAt),
		work: seconds(p.meanWorkSeconds), figure: g.figure, figureAge: now.Sub(g.figureAt),
	}
}

// held returns the estimated number of tokens of the requests on a target.
func (p *pool) held(g *target, others int64, now time.Time) int64 {
	return g.ownTokens + int64(p.outlookOf(g, others, now).estimatedOthers()*p.meanTokens)
}

// selection is the target that a request is sent to.
type selection struct {
	index int
	cost  cost
	// expected is the time until the first event at the pool's mean speed.
	expected time.Duration
}

// selectTarget selects one of the candidates. Its index is -1 if none has a free slot.
func (p *pool) selectTarget(t *Table, list []Candidate, q Request) selection {
	now := t.timer.Now()
	costAt := func(i int, preferred bool) (cost, time.Duration) {
		g := p.targets[list[i].Name]
		c := p.cost(q, g.config.Slots)
		if preferred {
			c = c.withKept()
		}
		return c, p.outlookOf(g, list[i].others, now).expected(c.own)
	}
	var i int
	preferred := false
	if !p.byExpectedTime(now) {
		i = t.weights.Select(list, q.Prefix, t.random)
	} else {
		i, preferred = t.weights.SelectExpected(list, q.Prefix, t.random, func(i int, preferred bool) time.Duration {
			g := p.targets[list[i].Name]
			_, expected := costAt(i, preferred)
			expected = time.Duration(float64(expected) * g.speed.slowness(p.speed))
			if !preferred {
				expected += p.cost(q, g.config.Slots).shared // Reading the parts again delays the target's other requests as well.
			}
			if !list[i].SameZone && (q.Prefix == "" || !t.weights.PrefixAnyZone) {
				expected += time.Duration(t.weights.CrossZone * float64(g.config.Slots) * p.meanWorkSeconds * float64(time.Second))
			}
			return expected
		})
	}
	if i < 0 {
		return selection{index: i}
	}
	c, expected := costAt(i, preferred)
	return selection{index: i, cost: c, expected: expected}
}

// begin counts the work of an attempt on its target.
func (g *target) begin(id string, a *runningAttempt) {
	g.end(id)
	g.running[id] = a
	g.ownWork += a.cost.work()
	g.ownTokens += a.cost.tokens
}

// end no longer counts an attempt.
func (g *target) end(id string) {
	a := g.running[id]
	if a == nil {
		return
	}
	delete(g.running, id)
	g.ownTokens -= a.cost.tokens
	g.ownWork -= a.cost.write
	if !a.began {
		g.ownWork -= a.cost.read
	}
}

// recordBegan records that an attempt's response has begun at a target: its prompt is read. What that took shows the speed.
func (p *pool) recordBegan(g *target, a *runningAttempt, took time.Duration) {
	if a == nil || a.began {
		return
	}
	a.began = true
	g.ownWork -= a.cost.read
	g.speed = g.speed.with(took, a.expected, speedDecay)
	p.speed = p.speed.with(took, a.expected, poolSpeedDecay)
}

// recordCost records what a request of this router costs, by which the requests of other routers are estimated.
func (p *pool) recordCost(q Request, c cost) {
	p.meanWorkSeconds = movingMean(p.meanWorkSeconds, c.work().Seconds())
	if q.PromptTokens > 0 || q.OutputTokens > 0 {
		p.meanTokens = movingMean(p.meanTokens, float64(c.tokens))
	}
}

// recordFigure records the work figure of a report, if it has one; else the last one holds.
func (p *pool) recordFigure(g *target, l Load, others int64) {
	p.meanOthers = movingMean(p.meanOthers, float64(others))
	if l.Figure > 0 {
		g.figure, g.figureAt = l.Figure, l.ReportedAt
		p.figureUntil = l.ReportedAt.Add(figureTime)
	}
}

// CountByExpectedTime returns the number of pools from which targets are selected by expected time, and the number of
// targets that report that work takes long there at present.
func (t *Table) CountByExpectedTime() (pools, slow int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	for _, p := range t.pools {
		if !p.byExpectedTime(now) {
			continue
		}
		pools++
		for _, g := range p.targets {
			if g.figure >= slowFigure && now.Sub(g.figureAt) < maxFigureAge {
				slow++
			}
		}
	}
	return pools, slow
}
