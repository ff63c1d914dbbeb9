package jvflight

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Flight is one request under way or finished, with its answer so far.
type Flight struct {
	Key     string
	RequestID string
	Digest  []byte
	StartedAt time.Time

	mu     sync.Mutex
	events []Event
	size   int
	end    *End
	ended  time.Time
	// readers counts callers attached; abandoned is closed when the last has left a flight
	// that nobody can come back to.
	readers   int
	keyed     bool
	abandoned chan struct{}
	moved     chan struct{}
	// active is the table's count of flights under way.
	active *atomic.Int64
}

func newFlight(key, request string, digest []byte, now time.Time, active *atomic.Int64) *Flight {
	active.Add(1)
	return &Flight{
		Key:       key,
		RequestID:   request,
		Digest:    digest,
		StartedAt:   now,
		keyed:     key != request,
		abandoned: make(chan struct{}),
		moved:     make(chan struct{}),
		active:    active,
	}
}

// Matches tells whether a digest is that of the flight's request.
func (f *Flight) Matches(digest []byte) bool { return bytes.Equal(f.Digest, digest) }

// Push adds text to the answer and returns its index.
func (f *Flight) Push(text string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := int64(len(f.events))
	f.events = append(f.events, Event{Index: i, Text: text})
	f.size += len(text)
	f.wake()
	return i
}

// Finish ends the answer; the first end stands.
func (f *Flight) Finish(e End, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.end != nil {
		return
	}
	f.end = &e
	f.ended = now
	f.size += len(e.Body)
	f.active.Add(-1)
	f.wake()
}

// wake lets readers look again; the lock must be held.
func (f *Flight) wake() {
	close(f.moved)
	f.moved = make(chan struct{})
}

// Read returns the events from an index on, waiting for at least one or the end.
func (f *Flight) Read(ctx context.Context, from int64) ([]Event, *End, error) {
	for {
		f.mu.Lock()
		from = max(from, 0)
		if from < int64(len(f.events)) {
			events := f.events[from:len(f.events):len(f.events)]
			end := f.end
			f.mu.Unlock()
			return events, end, nil
		}
		if f.end != nil {
			end := f.end
			f.mu.Unlock()
			return nil, end, nil
		}
		moved := f.moved
		f.mu.Unlock()
		select {
		case <-moved:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// Text returns the answer so far.
func (f *Flight) Text() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b bytes.Buffer
	for _, e := range f.events {
		b.WriteString(e.Text)
	}
	return b.String()
}

// Len returns the number of tokens so far.
func (f *Flight) Len() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(len(f.events))
}

// End returns the end, or nil while the flight is under way.
func (f *Flight) End() *End {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.end
}

// Attach counts a caller in.
func (f *Flight) Attach() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers++
}

// Detach counts a caller out. A flight without a key that nobody reads is abandoned: no
// caller can come back for it.
func (f *Flight) Detach() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers--
	if f.readers > 0 || f.keyed || f.end != nil {
		return
	}
	select {
	case <-f.abandoned:
	default:
		close(f.abandoned)
	}
}

// Abandoned is closed when nobody can get the answer any more.
func (f *Flight) Abandoned() <-chan struct{} { return f.abandoned }

func (f *Flight) held() (size int, ended time.Time, over bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.size, f.ended, f.end != nil && f.readers == 0
}
