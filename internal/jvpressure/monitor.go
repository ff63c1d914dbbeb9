package jvpressure

import (
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

const (
	// probeInterval is the interval at which the delay of events is measured.
	probeInterval = 25 * time.Millisecond
	// standingTime is the time over which the shortest delay counts: a queue that empties within it is a burst. It is
	// as long as the period of a processor quota, after which a process that has used up its share runs again.
	standingTime = 100 * time.Millisecond
	// minStall is the shortest delay that counts as a stall.
	minStall = 250 * time.Millisecond
	// maxPending limits the probes in progress.
	maxPending = 256
	// stallMemory is how long stalls are kept.
	stallMemory = 30 * time.Second
)

// MonitorOptions configure a Monitor.
type MonitorOptions struct {
	Timer *jvtimer.Service
	// Uptime returns the time since the machine booted, including suspensions, which the process's own clock leaves out.
	Uptime func() time.Duration
	Queue  Queue
}

// Monitor measures how late the process handles events, since it waits for the processor, was paused, or has other
// events to handle first. It is safe for concurrent use.
type Monitor struct {
	options      MonitorOptions
	subscription *jvtimer.Subscription

	mu sync.Mutex
	// tickedAt is the uptime of the latest tick.
	tickedAt time.Duration
	// pending are the times at which the probes in progress were sent, in order.
	pending []time.Duration
	// samples are the results of standingTime, and at least the latest one.
	samples []sample
	stalls  []stall
}

// sample is a measured delay.
type sample struct {
	at    time.Duration
	delay time.Duration
}

// stall is a time, by uptime, in which the process handled no event.
type stall struct {
	from time.Duration
	to   time.Duration
}

// NewMonitor returns a monitor that measures until it is closed.
func NewMonitor(o MonitorOptions) *Monitor {
	m := &Monitor{options: o, tickedAt: o.Uptime()}
	m.subscription = o.Timer.Every(probeInterval, m.tick)
	return m
}

// Close ends the measurements.
func (m *Monitor) Close() {
	m.subscription.Close()
	m.options.Queue.Close()
}

// tick records how late it is, and sends a probe.
func (m *Monitor) tick() {
	now := m.options.Uptime()
	m.mu.Lock()
	m.addStall(m.tickedAt+probeInterval, now)
	m.tickedAt = now
	send := len(m.pending) < maxPending
	if send {
		m.pending = append(m.pending, now)
	}
	m.mu.Unlock()
	if send {
		m.options.Queue.Pass(m.passed)
	}
}

// passed records the result of the oldest probe.
func (m *Monitor) passed() {
	now := m.options.Uptime()
	m.mu.Lock()
	defer m.mu.Unlock()
	sentAt := m.pending[0]
	m.pending = m.pending[1:]
	m.addStall(sentAt, now)
	m.samples = append(m.samples, sample{at: now, delay: now - sentAt})
	first := 0
	for first < len(m.samples)-1 && now-m.samples[first].at > standingTime {
		first++
	}
	m.samples = append(m.samples[:0], m.samples[first:]...)
}

// addStall records a stall if it is long enough; m.mu must be held. Stalls that overlap become one.
func (m *Monitor) addStall(from, to time.Duration) {
	if to-from < minStall {
		return
	}
	all := m.stalls
	m.stalls = all[:0]
	for _, s := range all {
		switch {
		case to-s.to > stallMemory:
		case s.to < from:
			m.stalls = append(m.stalls, s)
		default:
			from = min(from, s.from)
		}
	}
	m.stalls = append(m.stalls, stall{from: from, to: to})
}

// Delay returns the shortest delay with which events were handled in the last standingTime: what each event has to
// wait now.
func (m *Monitor) Delay() time.Duration {
	now := m.options.Uptime()
	m.mu.Lock()
	defer m.mu.Unlock()
	shortest := time.Duration(-1)
	for _, s := range m.samples {
		if now-s.at <= standingTime && (shortest < 0 || s.delay < shortest) {
			shortest = s.delay
		}
	}
	switch {
	case shortest >= 0:
		return shortest
	case len(m.pending) > 0:
		return now - m.pending[0]
	}
	return max(0, now-m.tickedAt-probeInterval)
}

// Stalled returns how long the process has handled no event since an uptime, in stalls of minStall and more.
func (m *Monitor) Stalled(since time.Duration) time.Duration {
	now := m.options.Uptime()
	m.mu.Lock()
	defer m.mu.Unlock()
	begin := m.tickedAt + probeInterval
	if len(m.pending) > 0 {
		begin = m.pending[0]
	}
	total := time.Duration(0)
	if now-begin >= minStall {
		total = now - max(begin, since)
	} else {
		begin = now
	}
	for _, s := range m.stalls {
		total += max(0, min(s.to, begin)-max(s.from, since))
	}
	return max(0, total)
}
