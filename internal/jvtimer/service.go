package jvtimer

import (
	"sync"
	"time"
)

// Service provides the time and runs subscriptions until it is closed.
type Service struct {
	mu     sync.Mutex
	closed bool
	done   chan struct{}
	// running counts the goroutines of subscriptions.
	running sync.WaitGroup
	// turn is set by Turns, or nil.
	turn func(done func())
}

// NewService returns a running timer service.
func NewService() *Service {
	return &Service{done: make(chan struct{})}
}

// Now returns the current time.
func (s *Service) Now() time.Time { return time.Now() }

// Since returns the time elapsed since t.
func (s *Service) Since(t time.Time) time.Duration { return time.Since(t) }

// After returns a channel that receives the current time once, after d.
func (s *Service) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Every calls run at intervals of d, one call at a time, until the subscription or the service is
// closed.
func (s *Service) Every(d time.Duration, run func()) *Subscription {
	u := &Subscription{done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return u
	}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		t := time.NewTicker(d)
		defer t.Stop()
		for {
			select {
			case <-s.done:
				return
			case <-u.done:
				return
			case <-t.C:
				run()
			}
		}
	}()
	return u
}

// Close ends all subscriptions and waits for the calls in progress.
func (s *Service) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.done)
	}
	s.mu.Unlock()
	s.running.Wait()
}
