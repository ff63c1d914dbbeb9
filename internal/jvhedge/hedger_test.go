package jvhedge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	testShare = 0.1
	quickTime = 10 * time.Millisecond
)

var idle = Pool{Name: "p", Slots: 100}

// answerAll answers a number of attempts on each of some targets, each after a time.
func answerAll(h *Hedger, now time.Time, n, targets int, took time.Duration) {
	for range n {
		for i := range targets {
			h.End(h.Begin("r", fmt.Sprint("t", i), now), now.Add(took), true)
		}
	}
}

// TestDecide guards against extra attempts that load a pool which is slow as a whole, and against a slow target that raises the
// delay for its own requests.
func TestDecide(t *testing.T) {
	start := time.Unix(0, 0)
	for _, c := range []struct {
		name   string
		load   func(h *Hedger)
		pool   Pool
		stop   bool
		others int
		took   time.Duration
		want   Reason
		delay  time.Duration
	}{
		{name: "one slow target", pool: idle, others: 7, took: quickTime, delay: 50 * time.Millisecond},
		{name: "one of two targets is slow", pool: idle, others: 1, took: quickTime, delay: 50 * time.Millisecond},
		{name: "nothing has been answered since", pool: idle, others: 7, took: time.Hour, want: ReasonSlow, delay: 50 * time.Millisecond},
		{name: "the quantile has risen", pool: idle, others: 7, took: quickTime, want: ReasonSlow, delay: 300 * time.Millisecond, load: func(h *Hedger) {
			answerAll(h, start, 8, 8, 300*time.Millisecond)
		}},
		{name: "one target has been slow for long", pool: idle, others: 7, took: quickTime, delay: 50 * time.Millisecond, load: func(h *Hedger) {
			answerAll(h, start, 100, 1, 300*time.Millisecond)
			answerAll(h, start, 40, 8, quickTime)
		}},
		{name: "stop", pool: idle, stop: true, others: 7, took: quickTime, want: ReasonStopping, delay: 50 * time.Millisecond},
		{name: "requests wait", pool: Pool{Name: "p", Waiting: 1, Slots: 100}, others: 7, took: quickTime, want: ReasonLoaded, delay: 50 * time.Millisecond},
		{name: "few free slots", pool: Pool{Name: "p", Busy: 71, Slots: 100}, others: 7, took: quickTime, want: ReasonLoaded, delay: 50 * time.Millisecond},
		{name: "no requests", pool: Pool{Name: "q", Slots: 1}, others: 7, took: quickTime, want: ReasonLimit, delay: 50 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := New(Options{Share: testShare, MinDelay: 50 * time.Millisecond})
			answerAll(h, start, 40, 8, quickTime)
			if c.load != nil {
				c.load(h)
			}
			for range 11 {
				h.Earn("p")
			}
			now := start.Add(time.Minute)
			a := h.Begin("r", "t0", now)
			require.Equal(t, c.delay, a.Delay())
			for i := range c.others {
				b := h.Begin("r", fmt.Sprint("t", 1+i), now)
				if c.took < a.Delay() {
					h.End(b, now.Add(c.took), true)
				}
			}
			reason, ok := h.Decide(a, now.Add(a.Delay()), c.pool, c.stop)
			require.Equal(t, c.want, reason)
			require.Equal(t, c.want == "", ok)
		})
	}
	h := New(Options{Share: testShare})
	_, ok := h.Decide(h.Begin("r", "t0", start), start.Add(time.Hour), idle, false)
	require.False(t, ok, "no answer times are known")
}

// event is one step of a history: some requests of the pool, after a time.
type event struct {
	gap      time.Duration
	requests int
	slow     int
}

// checkHistory runs a history of requests, some of whose targets are slow, and returns the promise that it breaks, or "".
// sent is called for each extra attempt.
func checkHistory(events []event, sent func(h *Hedger)) string {
	const targets = 6
	h := New(Options{Share: testShare, MinDelay: 20 * time.Millisecond})
	now := time.Unix(0, 0)
	answerAll(h, now, 60, targets, quickTime)
	type count struct{ requests, extra int }
	var counts []count
	for _, e := range events {
		now = now.Add(e.gap)
		var c count
		var open []*Attempt
		for i := range e.requests {
			h.Earn("p")
			c.requests++
			a := h.Begin("r", fmt.Sprint("t", i%targets), now)
			if i%targets >= e.slow {
				h.End(a, now.Add(quickTime), true)
				continue
			}
			open = append(open, a)
		}
		for _, a := range open {
			at := now.Add(a.Delay())
			if _, ok := h.Decide(a, at, idle, false); ok {
				sent(h)
				c.extra++
				if e.slow == targets {
					return "an extra attempt was sent although all targets are slow"
				}
			}
		}
		for _, a := range open {
			h.End(a, now.Add(100*time.Millisecond), true)
		}
		counts = append(counts, c)
		for first := range counts { // Each window that ends now.
			var sum count
			for _, w := range counts[first:] {
				sum.requests += w.requests
				sum.extra += w.extra
			}
			if float64(sum.extra) > 1+testShare*float64(sum.requests)+1e-6 {
				return fmt.Sprintf("%d extra attempts for %d requests", sum.extra, sum.requests)
			}
		}
	}
	return ""
}

func histories() *rapid.Generator[[]event] {
	return rapid.SliceOfN(rapid.Custom(func(r *rapid.T) event {
		return event{
			gap:      time.Duration(rapid.IntRange(1, 3000).Draw(r, "gap")) * time.Millisecond,
			requests: rapid.IntRange(0, 60).Draw(r, "requests"),
			slow:     rapid.SampledFrom([]int{0, 1, 1, 1, 1, 1, 2, 6}).Draw(r, "slow"),
		}
	}), 1, 30)
}

// TestLimit guards against more extra attempts than the limit in any window of any history, and against some while all
// targets are slow. A router that takes back extra attempts which it has sent must be found.
func TestLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		require.Empty(r, checkHistory(histories().Draw(r, "events"), func(*Hedger) {}))
	})
	found := false
	for seed := range 20 {
		found = found || checkHistory(histories().Example(seed), func(h *Hedger) { h.Refund("p") }) != ""
	}
	require.True(t, found)
}
