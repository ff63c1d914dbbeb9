package jvtimer

import (
	"context"
	"time"
)

// Turns makes the timeouts of WithTimeout wait for the process: turn calls its argument once the process has reached
// the events that were ready before the call.
func (s *Service) Turns(turn func(done func())) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn = turn
}

// WithTimeout returns a copy of ctx that ends after d, with the cause context.DeadlineExceeded. A process that was paused,
// or had no processor, handles what has arrived meanwhile first: a response that waits in its socket is not too late.
func (s *Service) WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	end := func() { cancel(context.DeadlineExceeded) }
	alarm := s.Alarm(d, func() {
		// The first turn hands the response to the goroutine that reads it, the second lets that one use it.
		s.AfterTurn(func() { s.AfterTurn(end) })
	})
	return ctx, func() {
		alarm.Stop()
		cancel(context.Canceled)
	}
}

// AwaitTurn waits until the process has reached the events that are ready now.
func (s *Service) AwaitTurn() {
	reached := make(chan struct{})
	s.AfterTurn(func() { close(reached) })
	<-reached
}

// AfterTurn calls done once the process has reached the events that are ready now, or at once without a measurement.
func (s *Service) AfterTurn(done func()) {
	s.mu.Lock()
	turn := s.turn
	s.mu.Unlock()
	if turn == nil {
		done()
		return
	}
	turn(done)
}
