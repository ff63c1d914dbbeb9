package jvchance

import (
	"encoding/hex"
	"math/rand/v2"
	"sync"
)

// Source is a seeded random source that is safe for concurrent use.
type Source struct {
	mu  sync.Mutex
	gen *rand.ChaCha8
}

// NewSource returns a source with a seed.
func NewSource(seed [32]byte) *Source { return &Source{gen: rand.NewChaCha8(seed)} }

// Float returns a number in [0, 1).
func (s *Source) Float() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.gen.Uint64()>>11) / (1 << 53)
}

// ID returns 16 random hex digits, for names that must be unique.
func (s *Source) ID() string {
	var b [8]byte
	s.mu.Lock()
	_, _ = s.gen.Read(b[:])
	s.mu.Unlock()
	return hex.EncodeToString(b[:])
}
