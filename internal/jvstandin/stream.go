package jvstandin

import (
	"context"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
)

// Stream is one append-only stream kept in memory, with limited retention.
type Stream struct {
	// keep and age bound what is kept, by entries and by time; 0 means no bound.
	keep int
	age  time.Duration

	mu      sync.Mutex
	first   uint64
	entries []jvledger.Entry
	moved   chan struct{}
}

// NewStream returns an empty stream.
func NewStream(keep int, age time.Duration) *Stream {
	return &Stream{keep: keep, age: age, moved: make(chan struct{})}
}

// Append adds data at a time and returns its entry.
func (s *Stream) Append(data []byte, now time.Time) jvledger.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := jvledger.Entry{Offset: s.first + uint64(len(s.entries)), Time: now.UnixMilli(), Data: data}
	s.entries = append(s.entries, e)
	for len(s.entries) > 1 && s.expired(s.entries[0], now) {
		s.entries = s.entries[1:]
		s.first++
	}
	close(s.moved)
	s.moved = make(chan struct{})
	return e
}

func (s *Stream) expired(e jvledger.Entry, now time.Time) bool {
	if s.keep > 0 && len(s.entries) > s.keep {
		return true
	}
	return s.age > 0 && now.UnixMilli()-e.Time > s.age.Milliseconds()
}

// readLimit is the number of entries in one answer.
const readLimit = 1000

// Read returns entries from an offset on, waiting until ctx ends where there are none yet.
func (s *Stream) Read(ctx context.Context, from uint64) (jvplatform.Page, error) {
	for {
		s.mu.Lock()
		next := s.first + uint64(len(s.entries))
		page := jvplatform.Page{First: s.first, Next: next}
		moved := s.moved
		if from < s.first {
			s.mu.Unlock()
			return page, jvfault.Newf("read log", jvplatform.KindHorizon, "offset %d is no longer kept", from)
		}
		if from < next {
			rest := s.entries[from-s.first:]
			page.Entries = append(page.Entries, rest[:min(len(rest), readLimit)]...)
			s.mu.Unlock()
			return page, nil
		}
		s.mu.Unlock()
		select {
		case <-moved:
		case <-ctx.Done():
			return page, nil
		}
	}
}

// Trim drops all but the newest entries.
func (s *Stream) Trim(keep int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if drop := len(s.entries) - keep; drop > 0 {
		s.entries = s.entries[drop:]
		s.first += uint64(drop)
	}
}
