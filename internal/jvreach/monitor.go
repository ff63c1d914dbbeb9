package jvreach

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
)

// Monitor knows which targets this router does not reach although others do. It is safe for concurrent use.
type Monitor struct {
	options Options

	mu sync.Mutex
	// unreachable are the targets that answer others and not this router. cut is true while it reaches no target.
	// mute is true while it does although something on the way accepts its connections.
	cut         bool
	mute        bool
	unreachable map[string]bool
	// attempts is the number of attempts in progress, contactAt when a target last responded to one, or the
	// first one of those in progress began. answers are the times at which targets last responded, or answered a
	// check.
	attempts  int
	contactAt time.Time
	answers   map[string]time.Time
	// respondedAt is when a target last responded to an attempt. muteChecks is the number of checks since then in which
	// targets answered others and none this router, muteSince the beginning of the first one, or 0.
	respondedAt time.Time
	muteSince   time.Time
	muteChecks  int
	// failures are the times of the latest failed connections, by target.
	failures map[string]time.Time
	// checking is true while a check runs, beganAt is when the last one began, checkedAt when the last one that
	// found nothing ended.
	checking  bool
	beganAt   time.Time
	checkedAt time.Time
	// retrying is true while unreachable targets are tried, retriedAt is when the last try began, downAskedAt
	// when the others were last asked whether they reach those, and askedAt when they were asked for their states.
	retrying    bool
	retriedAt   time.Time
	downAskedAt time.Time
	askedAt     time.Time
	// turn counts the targets that were tried by turns. It is used by one retry at a time.
	turn int
	// peers are the states of other routers by name.
	peers map[string]peer
	// servedAt is when a router that takes requests was last known, while this one is cut off.
	servedAt   time.Time
	questions  map[uint64]chan answer
	lastNumber uint64
}

// peer is what is known of another router.
type peer struct {
	cut     bool
	room    int64
	heardAt time.Time
	// pausedUntil is the end of its pause after a failure, active the number of this router's requests that
	// go through it.
	pausedUntil time.Time
	active      int64
}

// New returns a monitor for which all targets are reachable.
func New(o Options) *Monitor {
	m := &Monitor{
		options: o, unreachable: map[string]bool{}, failures: map[string]time.Time{}, answers: map[string]time.Time{},
		peers: map[string]peer{}, questions: map[uint64]chan answer{},
		// An answer to a question of this router's previous process matches none of this one's.
		lastNumber: uint64(o.Random() * (1 << 53)),
	}
	o.Timer.Every(checkInterval, m.tick)
	return m
}

// Begin records that an attempt at a target begins, End that it has ended.
func (m *Monitor) Begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.attempts == 0 {
		m.contactAt = m.options.Timer.Now()
	}
	m.attempts++
}

// End records that an attempt has ended.
func (m *Monitor) End() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts--
}

// Contact records that a target has responded.
func (m *Monitor) Contact(target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contactAt = m.options.Timer.Now()
	m.respondedAt = m.contactAt
	m.answers[target] = m.contactAt
}

// recordAnswer records that a target has answered a check.
func (m *Monitor) recordAnswer(target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers[target] = m.options.Timer.Now()
}

// Answered reports whether a target has answered within a time.
func (m *Monitor) Answered(target string, within time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.answers[target]
	return ok && m.options.Timer.Since(at) < within
}

// answered returns the names of up to n targets that have answered within a time.
func (m *Monitor) answered(within time.Duration, n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, at := range m.answers {
		if len(names) < n && m.options.Timer.Since(at) < within {
			names = append(names, name)
		}
	}
	return names
}

// Unreachable reports whether this router does not reach a target that others reach.
func (m *Monitor) Unreachable(target string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut || m.unreachable[target]
}

// Cut reports whether this router reaches no target.
func (m *Monitor) Cut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

// Count returns the number of targets that are known to be unreachable from here.
func (m *Monitor) Count() int {
	all := len(m.options.Targets())
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut {
		return all
	}
	return len(m.unreachable)
}

// Stranded reports whether this router has reached neither targets nor a router that takes its requests for a while.
func (m *Monitor) Stranded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut && m.options.Timer.Since(m.servedAt) > strandedTime
}

// Failed records that a target refused a connection, did not respond to it, or broke it off without a response.
func (m *Monitor) Failed(target string) {
	m.mu.Lock()
	m.failures[target] = m.options.Timer.Now()
	m.mu.Unlock()
	m.checkFailures()
}

// checkFailures starts a check if connections to enough targets have failed lately. While some are known to be
// unreachable, one other that fails is enough: the same cause is likely.
func (m *Monitor) checkFailures() {
	enough := min(minFailures, len(m.options.Targets()))
	m.mu.Lock()
	now := m.options.Timer.Now()
	maps.DeleteFunc(m.failures, func(_ string, at time.Time) bool { return !m.checking && now.Sub(at) > failureAge })
	if len(m.unreachable) > 0 && len(m.unknownFailures()) > 0 {
		enough = 1
	}
	start := len(m.failures) > 0 && len(m.failures) >= enough && m.startCheck(now)
	suspects := slices.Collect(maps.Keys(m.failures))
	m.mu.Unlock()
	if start {
		go m.check(suspects)
	}
}

// unknownFailures returns the names of the targets that have failed lately and are not known to be unreachable; m.mu
// must be held.
func (m *Monitor) unknownFailures() map[string]bool {
	names := map[string]bool{}
	for name := range m.failures {
		if !m.unreachable[name] {
			names[name] = true
		}
	}
	return names
}

// startCheck reports whether a check may begin now, and records that it does; m.mu must be held.
func (m *Monitor) startCheck(now time.Time) bool {
	if m.checking || m.cut || now.Sub(m.checkedAt) < checkPause {
		return false
	}
	m.checking = true
	m.beganAt = now
	return true
}

// tick starts a check if all targets are silent or connections have failed, and tries unreachable targets and asks routers for their state
// while there are any.
func (m *Monitor) tick() {
	m.mu.Lock()
	now := m.options.Timer.Now()
	maps.DeleteFunc(m.answers, func(_ string, at time.Time) bool { return now.Sub(at) > answerAge })
	silent := (m.attempts > 0 && now.Sub(m.contactAt) > silenceTime || !m.muteSince.IsZero()) && m.startCheck(now)
	unreachable := m.cut || len(m.unreachable) > 0
	retry := unreachable && !m.retrying && now.Sub(m.retriedAt) >= retryInterval
	if retry {
		m.retrying, m.retriedAt = true, now
	}
	ask := unreachable && now.Sub(m.askedAt) >= statusInterval
	if ask {
		m.askedAt = now
	}
	failed := len(m.failures) > 0
	m.mu.Unlock()
	if failed {
		m.checkFailures() // Those during the last check, or the pause after it.
	}
	if silent {
		go m.check(nil)
	}
	if ask {
		m.askStates()
	}
	if retry {
		go m.retryUnreachable()
	}
}

// askStates asks all other routers for their state, also by connections if none has answered for a while.
func (m *Monitor) askStates() {
	m.mu.Lock()
	unanswered := m.cut && m.options.Timer.Since(m.servedAt) >= statusInterval
	m.mu.Unlock()
	data := jvcodec.Encode(message{Question: &question{From: m.options.Self.Name, Cut: m.Cut()}})
	for _, other := range m.options.Others() {
		m.options.Send(other, data)
		if unanswered {
			m.options.Post(other, data)
		}
	}
}

// Down reports whether a target that accepts no connections from here is down for other routers too. Without their
// answer it is down if this router reaches any other target.
func (m *Monitor) Down(t Target) bool {
	if m.Unreachable(t.Name) {
		return false
	}
	others := m.ask([]Target{t})
	switch {
	case others.reached[t.Name]:
		if len(m.connect([]Target{t}).accepted) > 0 { // It is back.
			return false
		}
		m.mu.Lock()
		m.unreachable[t.Name] = true
		m.mu.Unlock()
		m.Failed(t.Name)
		m.options.Changed(nil)
		return false
	case others.mute[t.Name]:
		return false
	case others.answers > 0:
		return true
	}
	rest := slices.DeleteFunc(m.options.Targets(), func(other Target) bool { return other.Name == t.Name })
	return len(rest) == 0 || len(m.connect(m.sampleRecent(rest)).accepted) > 0
}

// Receive handles a message of another router; reply sends one back to it.
func (m *Monitor) Receive(data []byte, reply func([]byte)) error {
	decoded, err := decodeMessage(data)
	if err != nil {
		return err
	}
	if q := decoded.Question; q != nil {
		m.hearCut(q.From, q.Cut)
		if len(q.Targets) == 0 {
			reply(m.answerTo(*q, contacts{}))
		} else {
			go func() { reply(m.answerTo(*q, m.connectNamed(q.Targets))) }()
		}
	}
	if a := decoded.Answer; a != nil {
		m.hear(*a)
	}
	return nil
}

func (m *Monitor) answerTo(q question, c contacts) []byte {
	a := answer{
		Number: q.Number, From: m.options.Self.Name, Cut: m.Cut(), Responded: m.answered(q.Contact, maxResponded),
		Exchanged: m.options.Exchange != nil, Reached: slices.Sorted(maps.Keys(c.answered)),
	}
	for name := range c.accepted {
		if !c.answered[name] {
			a.Mute = append(a.Mute, name)
		}
	}
	slices.Sort(a.Mute)
	a.Contact = len(a.Responded) > 0
	if !a.Cut {
		a.Room = max(m.options.Room(), 0)
	}
	return jvcodec.Encode(message{Answer: &a})
}

// connectNamed connects to some targets, by name.
func (m *Monitor) connectNamed(names []string) contacts {
	return m.connect(slices.DeleteFunc(m.options.Targets(), func(t Target) bool { return !slices.Contains(names, t.Name) }))
}

// hearCut records whether another router reaches targets.
func (m *Monitor) hearCut(from string, cut bool) {
	if from == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[from]
	if cut {
		p.heardAt = m.options.Timer.Now()
	}
	p.cut = cut
	m.peers[from] = p
}

// hear records the state of another router, and passes its answer on.
func (m *Monitor) hear(a answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Timer.Now()
	p := m.peers[a.From]
	p.cut, p.room, p.heardAt = a.Cut, a.Room, now
	m.peers[a.From] = p
	if !a.Cut && a.Room > 0 {
		m.servedAt = now
	}
	if waiting := m.questions[a.Number]; waiting != nil {
		select {
		case waiting <- a:
		default: // More answers than routers were asked.
		}
	}
}
