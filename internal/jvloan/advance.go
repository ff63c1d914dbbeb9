package jvloan

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// replaceShare is the share of an advance's size below which what is left is replaced. With the default span of 350 ms,
	// about half a second of demand is out of reach.
	replaceShare = 0.4
	// minDraws is the number of mean requests that an advance covers at least, also after refusals.
	minDraws = 2
	// maxIdle and maxOpen are how long an advance is kept without a draw, and altogether. Closing advances earlier when much
	// is left withholds more: what running requests return to a closed advance can't be drawn.
	maxIdle = time.Second
	maxOpen = 3 * time.Second
	// advanceResend and advanceWait are when a request for an advance is sent again, and given up. They exceed the delay of
	// a saturated link, on which responses take some hundred milliseconds.
	advanceResend = 100 * time.Millisecond
	advanceWait   = 500 * time.Millisecond
	// silencePause and refusalPause are how long no advance is requested after one without a response, and after the first
	// refusal. The latter doubles up to maxRefusalPause.
	silencePause    = 500 * time.Millisecond
	refusalPause    = 2 * time.Second
	maxRefusalPause = 16 * time.Second
	maxHalvings     = 3
	// moveInterval is the pause between attempts to reduce a closed advance, minMoveShare the part of it that must become free.
	moveInterval = time.Second
	minMoveShare = 0.25
)

// advancePort is what advances need from the messages to holders.
type advancePort interface {
	// request asks for a reservation and returns its number, or false if there is no holder to ask.
	request(workspace string, tokens int64) (uint64, bool)
	// repeat sends a request again, abandon gives it up, settle ends a granted one.
	repeat(number uint64)
	abandon(number uint64)
	settle(number uint64, used int64)
}

// advances decides which workspaces get advances, how large, and when they end. The time is an argument, and port is the
// only effect. It is safe for concurrent use; port is called with mu held.
type advances struct {
	span        time.Duration
	minRequests int
	port        advancePort

	mu         sync.Mutex
	workspaces map[string]*workspaceAdvances
	requests   map[uint64]*advanceRequest
	// draws are the running requests that drew on an advance.
	draws   map[uint64]*advance
	last    uint64
	stopped bool
	counts  AdvanceCounts
}

// AdvanceCounts are the counts of advances since the start of the process.
type AdvanceCounts struct {
	// Draws are requests that drew on an advance, Asked those that asked a holder.
	Draws int64 `json:"draws"`
	Asked int64 `json:"asked"`
	// Granted, Refused, Unanswered are advances by their response; Unused those that were settled without a draw.
	Granted    int64 `json:"granted"`
	Refused    int64 `json:"refused"`
	Unanswered int64 `json:"unanswered"`
	Unused     int64 `json:"unused"`
	// Moved are closed advances that were replaced by one for their running requests alone.
	Moved int64 `json:"moved"`
}

// workspaceAdvances are the advances of one workspace, oldest first.
type workspaceAdvances struct {
	recent recentDemand
	list   []*advance
	// request is the number of the request for the next advance, 0 if there is none.
	request     uint64
	halvings    int
	pause       time.Duration
	pausedUntil time.Time
}

// advance is a reservation on which requests draw. Its tokens are rest, running and used.
type advance struct {
	workspace                   string
	number                      uint64
	tokens, rest, running, used int64
	draws                       map[uint64]int64
	drawn                       bool
	grantedAt, drawnAt          time.Time
	closed                      bool
	// moving is the request for a smaller reservation, 0 if there is none; moveAt is when the next one may be made.
	moving uint64
	moveAt time.Time
}

// advanceRequest is a request for an advance without a response.
type advanceRequest struct {
	workspace string
	tokens    int64
	// from is the closed advance that it replaces, nil for one on which requests may draw.
	from       *advance
	at, sentAt time.Time
}

func newAdvances(o Options, port advancePort) *advances {
	return &advances{
		span: o.AdvanceSpan, minRequests: o.AdvanceRequests, port: port,
		workspaces: map[string]*workspaceAdvances{}, requests: map[uint64]*advanceRequest{}, draws: map[uint64]*advance{},
	}
}

// begin counts a request's worst case as demand, draws it if an advance has enough left, and requests the next advance
// if needed. It returns the number of the draw, or 0.
func (a *advances) begin(now time.Time, workspace string, tokens int64) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.workspaces[workspace]
	if w == nil {
		w = &workspaceAdvances{}
		a.workspaces[workspace] = w
	}
	w.recent.add(now, tokens)
	number := a.take(now, w, tokens)
	if number == 0 {
		a.counts.Asked++
	}
	a.extend(now, workspace, w)
	return number
}

// draw draws a request that is counted already, and returns the number of the draw, or 0.
func (a *advances) draw(now time.Time, workspace string, tokens int64) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.workspaces[workspace]
	if w == nil {
		return 0
	}
	return a.take(now, w, tokens)
}

// take draws on the oldest advance that has enough left; a.mu must be held.
func (a *advances) take(now time.Time, w *workspaceAdvances, tokens int64) uint64 {
	for _, v := range w.list {
		if v.closed || v.rest < tokens || now.Sub(v.grantedAt) >= maxOpen {
			continue
		}
		a.last++
		v.rest -= tokens
		v.running += tokens
		v.draws[a.last] = tokens
		v.drawn, v.drawnAt = true, now
		a.draws[a.last] = v
		a.counts.Draws++
		return a.last
	}
	return 0
}

// extend requests the next advance of a workspace if it needs one; a.mu must be held.
func (a *advances) extend(now time.Time, workspace string, w *workspaceAdvances) {
	requests, tokens := w.recent.sum(now)
	if a.stopped || a.span <= 0 || w.request != 0 || now.Before(w.pausedUntil) || requests < max(a.minRequests, 1) {
		return
	}
	size := max(int64(float64(tokens)*a.span.Seconds())>>w.halvings, minDraws*tokens/int64(requests))
	if size == 0 || float64(w.rest()) >= replaceShare*float64(size) {
		return
	}
	if number, ok := a.port.request(workspace, size); ok {
		w.request = number
		a.requests[number] = &advanceRequest{workspace: workspace, tokens: size, at: now, sentAt: now}
	}
}

// rest returns what requests can draw.
func (w *workspaceAdvances) rest() (sum int64) {
	for _, v := range w.list {
		if !v.closed {
			sum += v.rest
		}
	}
	return sum
}

// end ends a draw with the tokens that were used. A draw that has ended already changes nothing.
func (a *advances) end(number uint64, used int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.draws[number]
	if v == nil {
		return
	}
	tokens := v.draws[number]
	delete(a.draws, number)
	delete(v.draws, number)
	used = min(max(used, 0), tokens)
	v.running -= tokens
	v.used += used
	v.rest += tokens - used
	a.finish(v)
}

// finish settles a closed advance whose requests have ended; a.mu must be held.
func (a *advances) finish(v *advance) {
	if !v.closed || v.running > 0 || len(v.draws) > 0 {
		return
	}
	a.cancel(v.moving)
	v.moving = 0
	if !v.drawn {
		a.counts.Unused++
	}
	a.remove(v)
	a.port.settle(v.number, v.used)
}

// remove removes an advance from its workspace; a.mu must be held.
func (a *advances) remove(v *advance) {
	w := a.workspaces[v.workspace]
	w.list = slices.DeleteFunc(w.list, func(o *advance) bool { return o == v })
}

// cancel gives up a request, if it is open; a.mu must be held.
func (a *advances) cancel(number uint64) {
	r := a.requests[number]
	if r == nil {
		return
	}
	delete(a.requests, number)
	a.port.abandon(number)
	a.answered(r)
}

// answered clears the mark of an open request; a.mu must be held.
func (a *advances) answered(r *advanceRequest) {
	if r.from != nil {
		r.from.moving = 0
		return
	}
	a.workspaces[r.workspace].request = 0
}

// granted handles a granted request, and returns false if it was given up.
func (a *advances) granted(now time.Time, number uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.requests[number]
	if r == nil {
		return false
	}
	delete(a.requests, number)
	a.answered(r)
	w := a.workspaces[r.workspace]
	v := &advance{
		workspace: r.workspace, number: number, tokens: r.tokens, rest: r.tokens, draws: map[uint64]int64{},
		grantedAt: now, drawnAt: now,
	}
	w.list = append(w.list, v)
	if r.from == nil {
		a.counts.Granted++
		w.pause, w.halvings = 0, max(w.halvings-1, 0)
		return true
	}
	// A closed advance gets no draws, so that its running requests need at most what was asked for them.
	a.counts.Moved++
	v.closed, v.drawn, v.moveAt = true, true, now.Add(moveInterval)
	v.draws, v.running = r.from.draws, r.from.running
	v.rest -= v.running
	for d := range v.draws {
		a.draws[d] = v
	}
	r.from.rest, r.from.running, r.from.draws = r.from.rest+r.from.running, 0, nil
	a.finish(r.from)
	return true
}

// refused handles a refused request for an advance.
func (a *advances) refused(now time.Time, number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.requests[number]
	if r == nil {
		return
	}
	delete(a.requests, number)
	a.answered(r)
	if r.from == nil {
		a.counts.Refused++
	}
	a.reduce(now, a.workspaces[r.workspace])
}

// scarce notes that a holder has refused a request of a workspace: an advance would withhold tokens from other routers.
func (a *advances) scarce(now time.Time, workspace string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w := a.workspaces[workspace]; w != nil {
		a.cancel(w.request)
		a.reduce(now, w)
	}
}

// reduce makes the next advance smaller and later; a.mu must be held.
func (a *advances) reduce(now time.Time, w *workspaceAdvances) {
	if now.Before(w.pausedUntil) {
		return // Requests that are refused together count once.
	}
	w.halvings = min(w.halvings+1, maxHalvings)
	w.pause = min(max(2*w.pause, refusalPause), maxRefusalPause)
	w.pausedUntil = now.Add(w.pause)
}

// tick repeats and gives up requests, and closes, reduces and settles advances.
func (a *advances) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, number := range slices.Sorted(maps.Keys(a.requests)) {
		r := a.requests[number]
		switch {
		case r == nil: // An earlier one of the loop has ended it.
		case now.Sub(r.at) >= advanceWait:
			a.cancel(number)
			if w := a.workspaces[r.workspace]; r.from == nil {
				a.counts.Unanswered++
				w.halvings, w.pausedUntil = min(w.halvings+1, maxHalvings), now.Add(silencePause)
			}
		case now.Sub(r.sentAt) >= advanceResend:
			r.sentAt = now
			a.port.repeat(number)
		}
	}
	for _, workspace := range slices.Sorted(maps.Keys(a.workspaces)) {
		w := a.workspaces[workspace]
		for _, v := range slices.Clone(w.list) {
			a.review(now, v)
		}
		if requests, _ := w.recent.sum(now); requests == 0 && len(w.list) == 0 && w.request == 0 && !now.Before(w.pausedUntil) {
			delete(a.workspaces, workspace)
		}
	}
}

// review closes an advance that is used up, idle or old, and requests a smaller one for its running requests if they
// keep the rest of it from other routers; a.mu must be held.
func (a *advances) review(now time.Time, v *advance) {
	usedUp := v.rest == 0 && v.running == 0
	if usedUp || now.Sub(v.drawnAt) >= maxIdle || now.Sub(v.grantedAt) >= maxOpen {
		v.closed = true
	}
	a.finish(v)
	free := float64(v.rest) >= minMoveShare*float64(v.tokens-v.used)
	if !v.closed || v.running == 0 || v.moving != 0 || a.stopped || !free || now.Before(v.moveAt) {
		return
	}
	v.moveAt = now.Add(moveInterval)
	if number, ok := a.port.request(v.workspace, v.running); ok {
		v.moving = number
		a.requests[number] = &advanceRequest{workspace: v.workspace, tokens: v.running, from: v, at: now, sentAt: now}
	}
}

// stop gives up all requests and closes all advances; requests ask holders from now on.
func (a *advances) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	for _, number := range slices.Sorted(maps.Keys(a.requests)) {
		a.cancel(number)
	}
	for _, v := range a.all() {
		v.closed = true
		a.finish(v)
	}
}

// settleAll settles all advances at the end of the process; requests that still run count with their worst case.
func (a *advances) settleAll() {
	a.stop()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range a.all() {
		for d := range v.draws {
			delete(a.draws, d)
		}
		v.used, v.running, v.draws = v.used+v.running, 0, nil
		a.finish(v)
	}
}

// all returns all advances; a.mu must be held.
func (a *advances) all() (list []*advance) {
	for _, workspace := range slices.Sorted(maps.Keys(a.workspaces)) {
		list = append(list, a.workspaces[workspace].list...)
	}
	return list
}

// AdvanceDump is the state of one advance.
type AdvanceDump struct {
	Workspace string `json:"workspace"`
	Tokens    int64  `json:"tokens"`
	// Rest, Running and Used are the parts of Tokens.
	Rest      int64 `json:"rest"`
	Running   int64 `json:"running"`
	Used      int64 `json:"used"`
	AgeMillis int64 `json:"ageMs"`
	// Closed is true if no request draws on it any more.
	Closed bool `json:"closed"`
}

// dump returns the state of all advances.
func (a *advances) dump(now time.Time) []AdvanceDump {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := []AdvanceDump{}
	for _, v := range a.all() {
		list = append(list, AdvanceDump{
			Workspace: v.workspace, Tokens: v.tokens, Rest: v.rest, Running: v.running, Used: v.used,
			AgeMillis: now.Sub(v.grantedAt).Milliseconds(), Closed: v.closed,
		})
	}
	return list
}

// snapshot returns the counts, and the tokens that no running request needs.
func (a *advances) snapshot() (c AdvanceCounts, rest int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range a.all() {
		rest += v.rest
	}
	return a.counts, rest
}

// recentDemand sums the worst cases of about the last second.
type recentDemand struct{ slots [demandSlots]demandSlot }

type demandSlot struct {
	index    int64
	requests int
	tokens   int64
}

const (
	demandSlots    = 4
	demandSlotTime = time.Second / demandSlots
)

// add adds a request.
func (d *recentDemand) add(now time.Time, tokens int64) {
	index := now.UnixNano() / int64(demandSlotTime)
	s := &d.slots[index%demandSlots]
	if s.index != index {
		*s = demandSlot{index: index}
	}
	s.requests++
	s.tokens += tokens
}

// sum returns the requests and their worst cases.
func (d *recentDemand) sum(now time.Time) (requests int, tokens int64) {
	index := now.UnixNano() / int64(demandSlotTime)
	for _, s := range d.slots {
		if s.index > index-demandSlots && s.index <= index {
			requests += s.requests
			tokens += s.tokens
		}
	}
	return requests, tokens
}
