package jvstandin

import (
	"net/http"
	"sync"
	"time"
)

// Weights is a weight store that gives out a limited number of bytes a second.
type Weights struct {
	faults *FaultInjector
	// rate is in bytes a second, size the bytes of one model.
	rate int64
	size int64

	mu    sync.Mutex
	next  time.Time
	count int64
}

// WeightsCounts are what the store truly gave out.
type WeightsCounts struct {
	Bytes int64 `json:"bytes"`
}

// NewWeights returns a store.
func NewWeights(rate, size int64, faults *FaultInjector) *Weights {
	return &Weights{rate: rate, size: size, faults: faults}
}

// chunk is the number of bytes given out at once.
const chunk = 64 << 10

// Handler serves models, and the switches under /admin/.
func (s *Weights) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("GET /v1/weights/{model}", s.read)
	return s.faults.Mount(api, func() any {
		s.mu.Lock()
		defer s.mu.Unlock()
		return WeightsCounts{Bytes: s.count}
	})
}

func (s *Weights) read(w http.ResponseWriter, r *http.Request) {
	data := make([]byte, chunk)
	for left := s.size; left > 0; left -= chunk {
		pause(r, s.wait(chunk))
		if r.Context().Err() != nil {
			return
		}
		if _, err := w.Write(data[:min(left, chunk)]); err != nil {
			return
		}
	}
}

// wait books bytes and returns how long they have to wait for their turn.
func (s *Weights) wait(bytes int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.next.Before(now) {
		s.next = now
	}
	s.next = s.next.Add(time.Duration(bytes) * time.Second / time.Duration(s.rate))
	s.count += bytes
	return s.next.Sub(now)
}
