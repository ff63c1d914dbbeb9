package jvflight

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Limits bound the table.
type Limits struct {
	// MaxFlights is the number of flights under way, Kept how long a finished one is held for
	// repeats, Bytes the size of all finished answers.
	MaxFlights int
	Retention    time.Duration
	MaxBytes   int
}

// DefaultLimits returns the limits of this release.
func DefaultLimits() Limits {
	return Limits{MaxFlights: 4096, Retention: 2 * time.Minute, MaxBytes: 64 << 20}
}

// sweepEvery is how often finished flights are dropped.
const sweepEvery = 5 * time.Second

// Table holds flights by key. Its lock comes before that of a Flight.
type Table struct {
	limits Limits
	timer  *jvtimer.Service

	mu      sync.Mutex
	flights map[string]*Flight
	// order lists flights by start, oldest first.
	order  []*Flight
	active atomic.Int64
}

// NewTable returns an empty table that drops old answers by the timer.
func NewTable(limits Limits, timer *jvtimer.Service) *Table {
	t := &Table{limits: limits, timer: timer, flights: map[string]*Flight{}}
	timer.Every(sweepEvery, t.sweep)
	return t
}

// Join returns the flight of a key, or a new one; fresh tells which. The key of a request
// without a caller's key is its request id.
func (t *Table) Join(key, request string, digest []byte) (f *Flight, fresh bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f, ok := t.flights[key]; ok {
		if !f.Matches(digest) {
			return nil, false, jvfault.Newf("join flight", KindMismatch, "the key belongs to a request with another body")
		}
		return f, false, nil
	}
	if t.Active() >= t.limits.MaxFlights {
		return nil, false, jvfault.Newf("join flight", KindFull, "%d requests are under way on this VM", t.limits.MaxFlights)
	}
	f = newFlight(key, request, digest, t.timer.Now(), &t.active)
	t.flights[key] = f
	t.order = append(t.order, f)
	return f, true, nil
}

// Find returns the flight of a key, or nil.
func (t *Table) Find(key string) *Flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.flights[key]
}

// Drop forgets a flight, so that the next request with its key starts anew.
func (t *Table) Drop(f *Flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.flights[f.Key] == f {
		delete(t.flights, f.Key)
	}
}

// Active returns the number of flights under way.
func (t *Table) Active() int { return int(t.active.Load()) }

// sweep drops finished flights that are old, and the oldest ones while their answers are
// too large in sum.
func (t *Table) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	bytes := 0
	for _, f := range t.flights {
		size, _, over := f.held()
		if over {
			bytes += size
		}
	}
	now := t.timer.Now()
	kept := t.order[:0]
	for _, f := range t.order {
		if t.flights[f.Key] != f {
			continue
		}
		size, ended, over := f.held()
		if over && (now.Sub(ended) > t.limits.Retention || bytes > t.limits.MaxBytes) {
			bytes -= size
			delete(t.flights, f.Key)
			continue
		}
		kept = append(kept, f)
	}
	clear(t.order[len(kept):])
	t.order = kept
}
