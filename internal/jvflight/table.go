package jvflight

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Limits are the bounds of a table.
type Limits struct {
	// MaxFlights bounds the flights in progress.
	MaxFlights int
	// Retention is how long a finished flight is kept for repeated requests.
	Retention time.Duration
	// MaxBytes bounds the total size of the finished answers that are kept.
	MaxBytes int
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{MaxFlights: 4096, Retention: 2 * time.Minute, MaxBytes: 64 << 20}
}

// evictInterval is the time between two evictions of finished flights.
const evictInterval = 5 * time.Second

// Table holds flights by key. Its lock is acquired before that of a Flight.
type Table struct {
	limits Limits
	timer  *jvtimer.Service

	mu      sync.Mutex
	flights map[string]*Flight
	// order lists flights by start, oldest first.
	order  []*Flight
	active atomic.Int64
}

// NewTable returns an empty table that evicts old flights periodically.
func NewTable(limits Limits, timer *jvtimer.Service) *Table {
	t := &Table{limits: limits, timer: timer, flights: map[string]*Flight{}}
	timer.Every(evictInterval, t.evict)
	return t
}

// Join returns the flight of a key, or creates it; isNew reports which. The key of a request
// without a caller's key is its request ID.
func (t *Table) Join(key, requestID string, digest []byte) (f *Flight, isNew bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f, ok := t.flights[key]; ok {
		if !f.Matches(digest) {
			return nil, false, jvfault.Newf("join flight", KindMismatch, "the key belongs to a request with another body")
		}
		return f, false, nil
	}
	if t.Active() >= t.limits.MaxFlights {
		return nil, false, jvfault.Newf("join flight", KindFull, "%d requests are in progress on this VM", t.limits.MaxFlights)
	}
	f = newFlight(key, requestID, digest, t.timer.Now(), &t.active)
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

// Drop removes a flight, so that the next request with its key starts a new one.
func (t *Table) Drop(f *Flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.flights[f.Key] == f {
		delete(t.flights, f.Key)
	}
}

// Active returns the number of flights in progress.
func (t *Table) Active() int { return int(t.active.Load()) }

// evict removes finished flights without readers that are past their retention, and the
// oldest ones while the total size of such flights is above its bound.
func (t *Table) evict() {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, f := range t.flights {
		size, _, evictable := f.retained()
		if evictable {
			total += size
		}
	}
	now := t.timer.Now()
	kept := t.order[:0]
	for _, f := range t.order {
		if t.flights[f.Key] != f {
			continue
		}
		size, endedAt, evictable := f.retained()
		if evictable && (now.Sub(endedAt) > t.limits.Retention || total > t.limits.MaxBytes) {
			total -= size
			delete(t.flights, f.Key)
			continue
		}
		kept = append(kept, f)
	}
	clear(t.order[len(kept):])
	t.order = kept
}
