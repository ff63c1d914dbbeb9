package jvflight

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Flight is one request, in progress or finished, with its answer so far.
type Flight struct {
	// Key is the caller's key, or the request ID where the caller gave none.
	Key       string
	RequestID string
	Digest    []byte
	StartedAt time.Time

	mu     sync.Mutex
	events []Event
	// size is the bytes of the answer.
	size    int
	end     *End
	endedAt time.Time
	// readers counts the callers attached; abandoned is closed when the last one has left a
	// flight without a caller's key.
	readers   int
	keyed     bool
	abandoned chan struct{}
	// changed is closed and replaced when the answer grows or ends.
	changed chan struct{}
	// active is the table's count of flights in progress.
	active *atomic.Int64
}

func newFlight(key, requestID string, digest []byte, now time.Time, active *atomic.Int64) *Flight {
	active.Add(1)
	return &Flight{
		Key:       key,
		RequestID: requestID,
		Digest:    digest,
		StartedAt: now,
		keyed:     key != requestID,
		abandoned: make(chan struct{}),
		changed:   make(chan struct{}),
		active:    active,
	}
}

// Matches reports whether a digest is that of the flight's request.
func (f *Flight) Matches(digest []byte) bool { return bytes.Equal(f.Digest, digest) }

// Push appends text to the answer as one event and returns its index.
func (f *Flight) Push(text string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := int64(len(f.events))
	f.events = append(f.events, Event{Index: i, Text: text})
	f.size += len(text)
	f.notify()
	return i
}

// Finish ends the answer; later calls have no effect.
func (f *Flight) Finish(e End, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.end != nil {
		return
	}
	f.end = &e
	f.endedAt = now
	f.size += len(e.Body)
	f.active.Add(-1)
	f.notify()
}

// notify wakes the readers that wait for a change; f.mu must be held.
func (f *Flight) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Read returns the events from an index on; it waits until there is at least one or the
// answer has ended.
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
		changed := f.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// Text returns the answer's text so far.
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

// End returns the end, or nil while the flight is in progress.
func (f *Flight) End() *End {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.end
}

// Attach adds a caller to the flight's readers.
func (f *Flight) Attach() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers++
}

// Detach removes a caller. An unfinished flight without a caller's key is abandoned when its
// last reader leaves, since no caller can resume it.
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

// Abandoned returns a channel that is closed when no caller can get the answer any more.
func (f *Flight) Abandoned() <-chan struct{} { return f.abandoned }

// retained returns the answer's size and end time, and whether the flight may be evicted: it
// has finished and has no readers.
func (f *Flight) retained() (size int, endedAt time.Time, evictable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.size, f.endedAt, f.end != nil && f.readers == 0
}
