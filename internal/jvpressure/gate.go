package jvpressure

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

const (
	// updateInterval is the interval at which shares and memory are updated, reportInterval that of log lines.
	updateInterval = 100 * time.Millisecond
	reportInterval = time.Second
	// lowDelayShare is the share of MaxDelay from which on requests are refused.
	lowDelayShare = 0.25
	// maxQueueExcess is the largest part of the requests that is refused since connections wait to be accepted. As refusing
	// takes about a third of serving (BenchmarkRefusal), half of the processor is left for requests, however many callers
	// there are.
	maxQueueExcess = 0.75
	// dropDelay is the delay, as a multiple of MaxDelay, from which on connections are closed unread: refusing their
	// requests takes more than the process has.
	dropDelay = 4
	// fullTime is how long a process that had no place for a connection counts as full.
	fullTime = time.Second
	// minRetryAfter and maxRetryAfter are the mean delays after which callers of a process that refuses few, or all,
	// requests should try again.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = time.Second
	// maxRefusalLines is the number of refusals a second with a log line of their own.
	maxRefusalLines = 20
)

// GateOptions configure a Gate.
type GateOptions struct {
	Limits Limits
	// MaxDelay is the delay of events from which on no request is admitted.
	MaxDelay time.Duration
	Timer    *jvtimer.Service
	Logger   logr.Logger
	// Random returns a number in [0, 1).
	Random func() float64
	// Delay returns the delay of events, Memory the bytes of memory in use.
	Delay  func() time.Duration
	Memory func() int64
	// Config and Targets are the fences of the configuration and of the list of targets.
	Config  *Fence
	Targets *Fence
}

// DefaultGateOptions returns options of a gate without limits.
func DefaultGateOptions() GateOptions {
	unbounded := NewFence(FenceOptions{Uptime: func() time.Duration { return 0 }})
	return GateOptions{
		MaxDelay: 120 * time.Millisecond, // As much as events of a stream may be late.
		Logger:   logr.Discard(),
		Random:   func() float64 { return 0 },
		Delay:    func() time.Duration { return 0 },
		Memory:   func() int64 { return 0 },
		Config:   unbounded,
		Targets:  unbounded,
	}
}

// Gate admits connections and requests by what the process has left of each resource. It is safe for concurrent use.
type Gate struct {
	options GateOptions
	// callers and routers count connections, requests those in progress.
	callers  *Room
	routers  *Room
	requests *Room
	// memoryFull is true while too little memory is left.
	memoryFull atomic.Bool
	// closed counts the connections that were closed unread, fullAt is when the last one of a caller was, in nanoseconds
	// since startedAt.
	closed    atomic.Int64
	fullAt    atomic.Int64
	startedAt time.Time
	// queues return how long connections wait to be accepted.
	queues atomic.Pointer[func() time.Duration]

	mu     sync.Mutex
	shares *shares
	// part is the part of the requests that could be admitted at the last update.
	part      float64
	updatedAt time.Time
	// refused counts refusals, since the start and since the last report.
	refused  map[Kind]int64
	reported map[Kind]int64
	// lines is the number of refusals with a log line since the last report, closedBefore the number of closed
	// connections then.
	lines        int
	closedBefore int64
}

// Request is what is known of a request before it is read.
type Request struct {
	Flow

	// Wait is how long its caller waits, or 0 if that isn't known.
	Wait time.Duration
}

// Refusal is why a request is not admitted.
type Refusal struct {
	Kind Kind
	// RetryAfter is the delay after which the caller should try again.
	RetryAfter time.Duration
	// Logged is true if the refusal gets a log line of its own; the others are counted in a line a second.
	Logged bool
}

// NewGate returns a gate whose numbers are updated until the timer service ends.
func NewGate(o GateOptions) *Gate {
	g := &Gate{
		options: o, callers: NewRoom(o.Limits.Callers), routers: NewRoom(o.Limits.Routers), requests: NewRoom(o.Limits.Requests),
		shares: newShares(), part: 1, refused: map[Kind]int64{}, reported: map[Kind]int64{}, startedAt: o.Timer.Now(), updatedAt: o.Timer.Now(),
	}
	o.Timer.Every(updateInterval, g.update)
	o.Timer.Every(reportInterval, g.report)
	return g
}

// Callers returns the places of callers' connections.
func (g *Gate) Callers() *Room { return g.callers }

// Routers returns the places of connections with other routers.
func (g *Gate) Routers() *Room { return g.routers }

// Requests returns the places of requests in progress.
func (g *Gate) Requests() *Room { return g.requests }

// Delay returns the delay with which the process handles events.
func (g *Gate) Delay() time.Duration { return g.options.Delay() }

// ConfigAge returns the age of the configuration, and false if none was read.
func (g *Gate) ConfigAge() (time.Duration, bool) { return g.options.Config.Age() }

// WithQueue makes the gate count the time for which callers' connections wait to be accepted, and returns it.
func (g *Gate) WithQueue(wait func() time.Duration) *Gate {
	g.queues.Store(&wait)
	return g
}

// Waited returns how long a request that is read now has waited: to be accepted, and for the process.
func (g *Gate) Waited() time.Duration { return g.Delay() + g.queueWait() }

func (g *Gate) queueWait() time.Duration {
	if wait := g.queues.Load(); wait != nil {
		return (*wait)()
	}
	return 0
}

// pressure returns the part of the requests that is refused: none up to a low delay, all from MaxDelay on.
func (g *Gate) pressure() float64 {
	return max(g.excess(g.Delay()), min(maxQueueExcess, g.excess(g.queueWait())))
}

// excess returns how far a delay lies between the delay from which on requests are refused (0) and MaxDelay (1).
func (g *Gate) excess(delay time.Duration) float64 {
	low := lowDelayShare * float64(g.options.MaxDelay)
	return min(1, max(0, (float64(delay)-low)/(float64(g.options.MaxDelay)-low)))
}

// Pressed reports whether requests are refused for want of the processor.
func (g *Gate) Pressed() bool { return g.pressure() > 0 }

// Accept takes a place of a room for a new connection, or returns false if the connection must be closed.
func (g *Gate) Accept(r *Room) bool {
	if g == nil {
		return r.Take()
	}
	over := float64(g.Delay())/float64(g.options.MaxDelay) - dropDelay
	if over > 0 && g.options.Random() < over/dropDelay || g.memoryFull.Load() || !r.Take() {
		g.closed.Add(1)
		if r == g.callers {
			g.fullAt.Store(int64(g.options.Timer.Since(g.startedAt)))
		}
		return false
	}
	return true
}

// Enter admits a request, or returns why not. Leave must be called at the end of a request that was admitted, with its
// flow.
func (g *Gate) Enter(q Request) *Refusal {
	excess := g.pressure()
	g.mu.Lock()
	state := g.shares.count(q.Flow)
	share, part := state.share, g.part
	g.mu.Unlock()
	if refusal := g.Stale(); refusal != nil {
		return refusal
	}
	switch {
	case q.Wait > 0 && g.Waited() >= q.Wait:
		return g.refuse(KindLate, excess)
	case excess == 1, excess > 0 && g.options.Random() >= admitted(share, part, excess):
		return g.refuse(KindProcessor, excess)
	case g.memoryFull.Load():
		return g.refuse(KindMemory, excess)
	case !g.requests.Take():
		return g.refuse(KindRequests, excess)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	state.entered++
	return nil
}

// late reports whether the configuration or the list of targets is too old for a reason of this process.
func (g *Gate) late() bool { return g.options.Config.Late() || g.options.Targets.Late() }

// MissedTargets reports whether this process has stalled since the list of targets was known to be current.
func (g *Gate) MissedTargets() bool { return g.options.Targets.Missed() }

// Stale returns a refusal if the configuration or the list of targets is too old for a reason of this process.
func (g *Gate) Stale() *Refusal {
	if !g.late() {
		return nil
	}
	return g.refuse(KindStale, 0)
}

// admitted returns the share of a flow's requests that is admitted. Before the first update under pressure all flows
// have the same.
func admitted(share, part, excess float64) float64 {
	if part == 1 {
		return 1 - excess
	}
	return share
}

// EnterOther admits a request of another router, which has admitted it, unless this process has too little left for its
// own.
func (g *Gate) EnterOther() bool {
	return !g.Pressed() && !g.memoryFull.Load() && g.requests.Take()
}

// Leave ends a request that was admitted. useless is true if it was refused for want of something else.
func (g *Gate) Leave(f Flow, useless bool) {
	g.requests.Return()
	if !useless {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if state := g.shares.flows[f]; state != nil {
		state.useless++
	}
}

// LeaveOther ends a request that EnterOther admitted.
func (g *Gate) LeaveOther() { g.requests.Return() }

// RefuseLeft returns the refusal of a request whose caller has left before it was read.
func (g *Gate) RefuseLeft() *Refusal { return g.refuse(KindLate, 0) }

// RefuseLink returns the refusal of a request that the machine's link can't carry, with the delay for its caller.
func (g *Gate) RefuseLink(retryAfter time.Duration) *Refusal {
	refusal := g.refuse(KindLink, 0)
	refusal.RetryAfter = retryAfter
	return refusal
}

// RefuseBody returns the refusal of a request that was admitted, whose body is not read to its end.
func (g *Gate) RefuseBody(k Kind) *Refusal { return g.refuse(k, g.pressure()) }

// refuse counts a refusal and returns it. Callers are spread over a time, the longer the more are refused.
func (g *Gate) refuse(k Kind, excess float64) *Refusal {
	mean := float64(minRetryAfter) + excess*float64(maxRetryAfter-minRetryAfter)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused[k]++
	g.lines++
	return &Refusal{Kind: k, RetryAfter: time.Duration(mean * (0.5 + g.options.Random())), Logged: g.lines <= maxRefusalLines}
}

// Ready reports whether the process takes new callers, and why not if it doesn't.
func (g *Gate) Ready() (bool, string) {
	fullAt := g.fullAt.Load()
	switch {
	case g.late():
		return false, "configuration or targets out of date"
	case fullAt > 0 && g.options.Timer.Since(g.startedAt)-time.Duration(fullAt) < fullTime:
		return false, "no place for connections"
	}
	return true, ""
}

// update updates the shares of flows and the use of memory.
func (g *Gate) update() {
	if limit := g.options.Limits.MemoryBytes; limit > 0 {
		g.memoryFull.Store(g.options.Memory() > limit)
	}
	now := g.options.Timer.Now()
	excess := g.pressure()
	g.mu.Lock()
	defer g.mu.Unlock()
	elapsed := now.Sub(g.updatedAt)
	if elapsed <= 0 {
		return
	}
	g.updatedAt = now
	g.part = 1 - excess
	g.shares.update(elapsed, g.part)
}

// report writes a log line if something was refused, or what is known is out of date.
func (g *Gate) report() {
	late := g.late()
	age, _ := g.ConfigAge()
	g.mu.Lock()
	defer g.mu.Unlock()
	closed := g.closed.Load()
	refused := map[string]int64{}
	for k, n := range g.refused {
		if n > g.reported[k] {
			refused[string(k)] = n - g.reported[k]
			g.reported[k] = n
		}
	}
	g.lines = 0
	if len(refused) == 0 && closed == g.closedBefore && !late {
		return
	}
	g.options.Logger.Info("pressure", "delay", g.Delay().Milliseconds(), "queue", g.queueWait().Milliseconds(), "refused", refused, "closed", closed-g.closedBefore,
		"callers", g.callers.Taken(), "routers", g.routers.Taken(), "requests", g.requests.Taken(),
		"memory", g.options.Memory()>>20, "age", age.Milliseconds(), "late", late)
	g.closedBefore = closed
}

// Counts are what a gate has refused since the start.
type Counts struct {
	// Refused are requests by reason, Closed is the number of connections that were closed unread.
	Refused map[Kind]int64 `json:"refused"`
	Closed  int64          `json:"closed"`
}

// Counts returns what was refused since the start.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := Counts{Refused: map[Kind]int64{}, Closed: g.closed.Load()}
	for k, n := range g.refused {
		c.Refused[k] = n
	}
	return c
}
