package jvstandin

import (
	"context"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
)

// Stream is an append-only stream in memory, with bounded retention.
type Stream struct {
	// maxEntries and maxAge bound the retention; 0 means no bound.
	maxEntries int
	maxAge     time.Duration

	mu sync.Mutex
	// first is the offset of entries[0].
	first   uint64
	entries []jvledger.Entry
	// appended is closed and replaced at each append, to wake readers.
	appended chan struct{}
}

// NewStream returns an empty stream that retains at most maxEntries entries, none of them
// older than maxAge; 0 means no bound.
func NewStream(maxEntries int, maxAge time.Duration) *Stream {
	return &Stream{maxEntries: maxEntries, maxAge: maxAge, appended: make(chan struct{})}
}

// Append adds data at the time now, drops expired entries, and returns the new entry.
func (s *Stream) Append(data []byte, now time.Time) jvledger.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := jvledger.Entry{Offset: s.first + uint64(len(s.entries)), Time: now.UnixMilli(), Data: data}
	s.entries = append(s.entries, e)
	for len(s.entries) > 1 && s.expired(s.entries[0], now) {
		s.entries = s.entries[1:]
		s.first++
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return e
}

// expired reports whether the retention allows e, the oldest entry, to be dropped.
func (s *Stream) expired(e jvledger.Entry, now time.Time) bool {
	if s.maxEntries > 0 && len(s.entries) > s.maxEntries {
		return true
	}
	return s.maxAge > 0 && now.UnixMilli()-e.Time > s.maxAge.Milliseconds()
}

// maxPageEntries is the maximum number of entries in one page.
const maxPageEntries = 1000

// Read returns the entries from an offset on. Where there are none yet, it waits for one or
// until ctx ends. It fails with KindHorizon where the entry at the offset was dropped.
func (s *Stream) Read(ctx context.Context, from uint64) (jvplatform.Page, error) {
	for {
		s.mu.Lock()
		next := s.first + uint64(len(s.entries))
		page := jvplatform.Page{First: s.first, Next: next}
		appended := s.appended
		if from < s.first {
			s.mu.Unlock()
			return page, jvfault.Newf("read log", jvplatform.KindHorizon, "offset %d is no longer kept", from)
		}
		if from < next {
			rest := s.entries[from-s.first:]
			page.Entries = append(page.Entries, rest[:min(len(rest), maxPageEntries)]...)
			s.mu.Unlock()
			return page, nil
		}
		s.mu.Unlock()
		select {
		case <-appended:
		case <-ctx.Done():
			return page, nil
		}
	}
}

// Trim drops all but the newest keep entries.
func (s *Stream) Trim(keep int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if drop := len(s.entries) - keep; drop > 0 {
		s.entries = s.entries[drop:]
		s.first += uint64(drop)
	}
}
