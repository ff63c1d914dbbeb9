package jvlink

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportInterval is the least time between two reports without a change, reportAge how long a report counts: a few may
	// be lost on a saturated link.
	reportInterval = 400 * time.Millisecond
	reportAge      = 3 * time.Second
	// maxReports limits the routers whose reports are kept.
	maxReports = 1024
	// minHeavyRate and heavyShare say from which rate on a workspace is heavy: bytes per second, and a share of the smallest
	// known link of the zone. assumedSmallest is the capacity of a link of 10 Mbit/s, which a zone is assumed to have.
	minHeavyRate    = 100e3
	heavyShare      = 0.1
	assumedSmallest = 10e6 / 8
	// calmTime is how long the use that is to be expected must have been low before the router becomes ready: a workspace's
	// demand rises and falls within some ten seconds, and each return costs its callers about 3 s. calmJitter is the largest
	// random time beyond it: routers that wait for the same workspace must not return at once.
	calmTime   = 20 * time.Second
	calmJitter = 2 * time.Second
	// firstRequests and firstShare say when a workspace counts as sent here by the load balancer: from so many requests in a
	// measureInterval on, if they have that share of the bytes that its reported rate brings. Retries of its callers reach
	// every router of the zone, each with a few percent of the rate.
	firstRequests = 5
	firstShare    = 0.5
	// maxUnreadyShare is the largest share of a zone's routers that are unready for their links. The load balancer uses all
	// routers once fewer than half are in rotation.
	maxUnreadyShare = 0.4
	// drainShare is the share of the capacity at which the virtual queues drain; the rest is for responses and control
	// messages. heavyQueue and otherQueue are the lengths of the queues at which requests of the workspaces that crowd the
	// link, and of all others, are refused.
	drainShare = 0.8
	heavyQueue = 25 * time.Millisecond
	otherQueue = 150 * time.Millisecond
)

// policy decides whether a router is ready as far as its link is concerned, and which requests it refuses while it is not.
//
// Oscillation is bounded. A router that was crowded by workspaces stays unready for MinHold at least, and until their
// reported rates have been under CarryShare of its capacity for calmTime. It does so again only from EnterShare on, and a
// link that is crowded again within the time of its last hold is held twice as long, up to MaxHold. A heavy workspace
// thus crowds each router of its zone once, however often it moves, as long as reports arrive; without them each router at
// most once in MaxHold.
//
// Its methods must not be called at the same time.
type policy struct {
	Options

	// routers is the number of routers of the zone, name that of this one.
	routers int
	name    string

	measuredAt time.Time
	// rates are mean rates, last those of the last measurement, recent the means of the last two.
	rates  rates
	last   rates
	recent rates
	offers map[string]*offer

	reports         map[string]received
	reportedAt      time.Time
	reportedUnready bool
	// smallest is the capacity of the smallest known link of the zone.
	smallest float64

	// crowded is true while the link is congested or would be if its callers returned, since changedAt if so; hold is the
	// minimum time of that.
	crowded   bool
	changedAt time.Time
	hold      time.Duration
	// capped is true if the router is ready although its link is crowded, since too many other routers are not.
	capped bool
	reason string
	// held are the workspaces that crowd the link, rest is true if the others together do as well. other is the use
	// without those that are held, when the link became crowded.
	held  map[string]bool
	rest  bool
	other float64
	// overAt is when the workspaces that are held were last too heavy, calm how long they must not have been.
	overAt time.Time
	calm   time.Duration

	// inQueue and outQueue are the bytes in the virtual queues at drainedAt.
	inQueue   float64
	outQueue  float64
	drainedAt time.Time
	refused   int64
}

// offer is what the callers of a workspace offer.
type offer struct {
	// bytes and requests are those since the last measurement.
	bytes    int64
	requests int
	// rate is the mean rate, last that of the last measurement, recent the mean of the last two.
	rate   float64
	last   float64
	recent float64
}

func newPolicy(o Options, now time.Time) *policy {
	return &policy{
		Options: o, measuredAt: now, changedAt: now, offers: map[string]*offer{}, reports: map[string]received{}, held: map[string]bool{},
		smallest: assumedSmallest,
	}
}

// unready reports whether callers are better served by another machine.
func (p *policy) unready() bool { return p.crowded && !p.capped }

// measure updates the rates with the bytes since the last measurement, and decides.
func (p *policy) measure(now time.Time, in, out int64) {
	elapsed := now.Sub(p.measuredAt).Seconds()
	if elapsed <= 0 {
		return
	}
	p.measuredAt = now
	weight := min(1, elapsed/averagingTime.Seconds())
	current := rates{in: float64(in) / elapsed, out: float64(out) / elapsed}
	p.rates.in += weight * (current.in - p.rates.in)
	p.rates.out += weight * (current.out - p.rates.out)
	p.recent = rates{in: (current.in + p.last.in) / 2, out: (current.out + p.last.out) / 2}
	p.last = current
	for name, o := range p.offers {
		rate := float64(o.bytes) / elapsed
		o.rate += weight * (rate - o.rate)
		o.recent = (rate + o.last) / 2
		o.last, o.bytes, o.requests = rate, 0, 0
		if o.rate < 1 {
			delete(p.offers, name)
		}
	}
	p.expireReports(now)
	if p.Capacity > 0 {
		p.decide(now)
	}
}

// decide decides whether the link is crowded.
func (p *policy) decide(now time.Time) {
	crowding := p.rates.max() >= p.EnterShare*p.Capacity || p.SaturatedShare > 0 && p.recent.max() >= p.SaturatedShare*p.Capacity
	switch {
	case crowding && !p.crowded:
		names, rest := p.causes()
		p.enter(now, "use", names, rest)
	case p.crowded:
		if crowding {
			names, _ := p.causes()
			p.add(names)
		}
		if p.expected() > p.CarryShare*p.Capacity {
			p.overAt = now
		}
		if p.mayLeave(now) {
			p.leave(now)
		}
	}
	p.limitUnready()
}

// mayLeave reports whether the callers that crowded the link may return.
func (p *policy) mayLeave(now time.Time) bool {
	switch {
	case now.Sub(p.changedAt) < p.hold:
		return false
	case len(p.held) > 0 && now.Sub(p.overAt) < p.calm:
		return false
	case p.rest:
		return p.rates.max() <= p.LeaveShare*p.Capacity
	}
	return true
}

// causes returns the heavy workspaces without which the use would be low, and whether it would be high without any heavy one.
func (p *policy) causes() (names []string, rest bool) {
	left := max(p.rates.max(), p.recent.max())
	type cause struct {
		name string
		rate float64
	}
	var all []cause
	for name, o := range p.offers {
		if o.recent >= p.heavyRate() {
			all = append(all, cause{name: name, rate: o.recent})
		}
	}
	slices.SortFunc(all, func(a, b cause) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.name, b.name))
	})
	for _, c := range all {
		if left < p.LeaveShare*p.Capacity {
			break
		}
		names = append(names, c.name)
		left -= c.rate
	}
	return names, left >= p.LeaveShare*p.Capacity
}

// heavyRate returns the rate from which on a workspace is heavy.
func (p *policy) heavyRate() float64 {
	smallest := p.smallest
	if p.Capacity > 0 {
		smallest = min(smallest, p.Capacity)
	}
	return max(minHeavyRate, heavyShare*smallest)
}

// heavy returns the heavy workspaces whose callers reach this router, the heaviest first.
func (p *policy) heavy() []WorkspaceRate {
	var all []WorkspaceRate
	for name, o := range p.offers {
		// The recent rate shows the begin of a burst before retries reach the other routers.
		if rate := max(o.rate, o.recent); rate >= p.heavyRate() && name != "" && len(name) <= maxNameBytes {
			all = append(all, WorkspaceRate{Workspace: name, Rate: rate})
		}
	}
	slices.SortFunc(all, func(a, b WorkspaceRate) int { return cmp.Compare(b.Rate, a.Rate) })
	return all[:min(len(all), maxHeavy)]
}

// own returns the mean rate of a workspace at this router.
func (p *policy) own(workspace string) float64 {
	if o := p.offers[workspace]; o != nil {
		return o.rate
	}
	return 0
}

// expected returns the use that the link would have if the workspaces that are held came back.
func (p *policy) expected() float64 {
	back, here := 0.0, 0.0
	for name := range p.held {
		back += max(p.own(name), p.reported(name))
		here += p.own(name)
	}
	return back + max(p.other, p.rates.max()-here)
}

// enter makes the link crowded by workspaces, and by the rest if that is true.
func (p *policy) enter(now time.Time, reason string, names []string, rest bool) {
	if now.Sub(p.changedAt) < p.hold {
		p.hold = min(2*p.hold, p.MaxHold)
	} else {
		p.hold = p.MinHold
	}
	p.crowded, p.changedAt, p.reason, p.rest, p.overAt = true, now, reason, rest, now
	p.calm = calmTime + time.Duration(p.Random()*float64(calmJitter))
	clear(p.held)
	p.add(names)
	here := 0.0
	for _, name := range names {
		here += p.own(name)
	}
	p.other = min(max(0, p.rates.max()-here), p.LeaveShare*p.Capacity)
	p.inQueue, p.outQueue, p.drainedAt = 0, 0, now
	p.updateCapped()
	p.log()
}

// add adds workspaces to those that crowd the link.
func (p *policy) add(names []string) {
	for _, name := range names {
		p.held[name] = true
	}
}

// leave ends the crowding.
func (p *policy) leave(now time.Time) {
	p.crowded, p.changedAt = false, now
	p.log()
}

func (p *policy) log() {
	p.Logger.Info("link", "crowded", p.crowded, "in", int64(p.rates.in), "out", int64(p.rates.out), "capacity", int64(p.Capacity),
		"reason", p.reason, "workspaces", p.heldNames(), "rest", p.rest, "hold", p.hold.Milliseconds(), "capped", p.capped)
}

// heldNames returns the workspaces that crowd the link, in order.
func (p *policy) heldNames() []string {
	names := make([]string, 0, len(p.held))
	for name := range p.held {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// limitUnready updates capped, and logs a change.
func (p *policy) limitUnready() {
	before := p.capped
	p.updateCapped()
	if p.crowded && p.capped != before {
		p.log()
	}
}

// updateCapped decides whether the router is ready although its link is crowded. Of the routers of the zone whose links are
// crowded, the smallest links stay out of rotation, and of equal ones those that have been out the longest.
func (p *policy) updateCapped() {
	first := 0
	for _, r := range p.reports {
		if r.Unready && cmp.Or(cmp.Compare(r.Capacity, p.Capacity), r.unreadySince().Compare(p.changedAt), cmp.Compare(r.Router, p.name)) < 0 {
			first++
		}
	}
	// A zone of one or two routers may have one unready: otherwise it would have none.
	p.capped = p.crowded && first >= max(1, int(maxUnreadyShare*float64(p.routers)))
}

// admit counts a request of so many bytes, and reports whether the link can carry it in time.
func (p *policy) admit(now time.Time, workspace string, bytes int64) bool {
	if p.Capacity <= 0 {
		return true
	}
	p.count(now, workspace, bytes)
	if !p.crowded {
		return true
	}
	drain := drainShare * p.Capacity
	drained := drain * now.Sub(p.drainedAt).Seconds()
	p.inQueue, p.outQueue, p.drainedAt = max(0, p.inQueue-drained), max(0, p.outQueue-drained), now
	heavyRoom, room := drain*heavyQueue.Seconds(), drain*otherQueue.Seconds()
	if p.held[workspace] {
		room = heavyRoom
	}
	size := float64(bytes)
	if max(p.inQueue, p.outQueue) > room {
		// The body of a refused request arrives all the same, but must not keep out other workspaces.
		p.inQueue = max(p.inQueue, min(p.inQueue+size, heavyRoom))
		p.refused++
		return false
	}
	p.inQueue += size
	p.outQueue += size
	return true
}

// count counts a request's bytes. The first requests of a workspace that other routers report as too heavy for this link
// make it crowded at once.
func (p *policy) count(now time.Time, workspace string, bytes int64) {
	o := p.offers[workspace]
	if o == nil {
		o = &offer{}
		p.offers[workspace] = o
	}
	o.bytes += bytes
	o.requests++
	rate := float64(o.bytes) / measureInterval.Seconds()
	if o.requests < firstRequests || len(p.reports) == 0 || rate < firstShare*p.heavyRate() || p.crowded && p.held[workspace] {
		return
	}
	reported := p.reported(workspace)
	switch {
	case reported < p.heavyRate(), rate < firstShare*reported,
		reported+max(0, p.rates.max()-o.rate) < p.EnterShare*p.Capacity:
	case p.crowded:
		p.add([]string{workspace})
	default:
		p.enter(now, "reported", []string{workspace}, false)
	}
}
