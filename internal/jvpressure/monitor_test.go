package jvpressure

import (
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// fakeQueue handles each event after a delay, in order.
type fakeQueue struct {
	mu    sync.Mutex
	delay time.Duration
	last  time.Time
}

func (q *fakeQueue) Pass(done func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	at := time.Now().Add(q.delay)
	if at.Before(q.last) {
		at = q.last
	}
	q.last = at
	time.AfterFunc(time.Until(at), done)
}

func (q *fakeQueue) Close() {}

// silentQueue leaves the calls to the test.
type silentQueue struct{}

func (silentQueue) Pass(func()) {}

func (silentQueue) Close() {}

func (q *fakeQueue) set(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.delay = d
}

// withMonitor runs a test with a monitor of a queue without delay, in a synctest bubble.
func withMonitor(t *testing.T, run func(m *Monitor, q *fakeQueue, uptime func() time.Duration)) {
	synctest.Test(t, func(*testing.T) {
		timer := jvtimer.NewService()
		defer timer.Close()
		bootedAt := time.Now()
		uptime := func() time.Duration { return time.Since(bootedAt) }
		q := &fakeQueue{}
		m := NewMonitor(MonitorOptions{Timer: timer, Uptime: uptime, Queue: q})
		defer m.Close()
		run(m, q, uptime)
	})
}

// TestStandingDelay checks that a delay counts once all events have it, that one late event among prompt ones does not,
// and that the delay grows while no event is handled.
func TestStandingDelay(t *testing.T) {
	withMonitor(t, func(m *Monitor, q *fakeQueue, uptime func() time.Duration) {
		time.Sleep(time.Second)
		require.Zero(t, m.Delay())
		q.set(60 * time.Millisecond)
		time.Sleep(30 * time.Millisecond)
		q.set(0)
		time.Sleep(standingTime)
		require.Zero(t, m.Delay(), "a burst")
		q.set(60 * time.Millisecond)
		time.Sleep(4 * standingTime)
		require.Equal(t, 60*time.Millisecond, m.Delay())
		require.Zero(t, m.Stalled(0), "shorter than a stall")
		began := uptime()
		q.set(3 * time.Second)
		time.Sleep(2 * time.Second)
		require.InDelta(t, 2*time.Second, m.Delay(), float64(standingTime))
		require.InDelta(t, 2*time.Second, m.Stalled(began), float64(standingTime), "a stall that goes on counts")
		q.set(0)
		time.Sleep(4 * time.Second)
		require.Zero(t, m.Delay())
		require.InDelta(t, 5*time.Second, m.Stalled(began), float64(standingTime), "until the last late event is handled")
		require.Zero(t, m.Stalled(uptime()-500*time.Millisecond))
	})
}

// TestPause guards against a pause of the process, or a suspension of its machine, that does not count as a stall
// since no probe was on its way.
func TestPause(t *testing.T) {
	timer := jvtimer.NewService()
	now := time.Minute
	m := &Monitor{options: MonitorOptions{Timer: timer, Uptime: func() time.Duration { return now }, Queue: silentQueue{}}, tickedAt: now}
	m.tick()
	m.passed()
	now += probeInterval
	m.tick()
	m.passed()
	require.Zero(t, m.Stalled(0))
	now += 4 * time.Second
	require.InDelta(t, 4*time.Second, m.Stalled(0), float64(standingTime), "before the first tick after the pause")
	m.tick()
	m.passed()
	require.InDelta(t, 4*time.Second, m.Stalled(0), float64(standingTime))
	now += stallMemory + time.Second
	m.tick()
	require.InDelta(t, stallMemory, m.Stalled(0), float64(2*time.Second), "old stalls are forgotten")
}

// TestPoller checks that a probe returns once the goroutine of the poller runs, in order, and that a closed poller
// does not lose calls.
func TestPoller(t *testing.T) {
	p, err := NewPoller()
	require.NoError(t, err)
	order := make(chan int, 100)
	for n := range 100 {
		p.Pass(func() { order <- n })
	}
	for n := range 100 {
		require.Equal(t, n, <-order)
	}
	p.Close()
	p.Pass(func() { order <- -1 })
	require.Equal(t, -1, <-order)
}

// TestRoom checks that no more places are taken than there are, and that a room without a limit has all.
func TestRoom(t *testing.T) {
	r := NewRoom(2)
	require.True(t, r.Take())
	require.True(t, r.Take())
	require.False(t, r.Take())
	require.InDelta(t, 1, r.Share(), 0)
	r.Return()
	require.True(t, r.Take())
	unlimited := NewRoom(0)
	for range 1000 {
		require.True(t, unlimited.Take())
	}
	require.EqualValues(t, 1000, unlimited.Taken())
	require.Zero(t, unlimited.Share())
	require.True(t, (*Room)(nil).Take())
}

// TestMemory checks that the runtime has the metrics.
func TestMemory(t *testing.T) { require.Positive(t, Memory()) }

// TestClassify checks which failures of a call are this process's own.
func TestClassify(t *testing.T) {
	for _, c := range []struct {
		name          string
		err           error
		took, stalled time.Duration
		want          Kind
		own           bool
	}{
		{"no descriptor", errors.Wrap(syscall.EMFILE, "dial"), 0, 0, KindDescriptors, true},
		{"no port", errors.Wrap(syscall.EADDRNOTAVAIL, "dial"), 0, 0, KindDescriptors, true},
		{"time-out", errors.Wrap(syscall.ETIMEDOUT, "read"), 1500 * time.Millisecond, 0, KindSilent, false},
		{"time-out in a stall", errors.Wrap(syscall.ETIMEDOUT, "read"), 1500 * time.Millisecond, time.Second, KindDelay, true},
		{"time-out after a short stall", errors.Wrap(syscall.ETIMEDOUT, "read"), 1500 * time.Millisecond, 100 * time.Millisecond, KindSilent, false},
		{"reset", errors.Wrap(syscall.ECONNRESET, "read"), time.Millisecond, 0, KindRefused, false},
	} {
		kind := Classify(c.err, c.took, c.stalled)
		require.Equal(t, c.want, kind, c.name)
		require.Equal(t, c.own, kind.Own(), c.name)
	}
}
