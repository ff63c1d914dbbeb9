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
		s.nextTurn(func() { s.nextTurn(end) })
	})
	return ctx, func() {
		alarm.Stop()
		cancel(context.Canceled)
	}
}

// AwaitTurn waits until the process has reached the events that are ready now.
func (s *Service) AwaitTurn() {
	reached := make(chan struct{})
	s.nextTurn(func() { close(reached) })
	<-reached
}

// nextTurn calls done after a turn, or at once if there are none.
func (s *Service) nextTurn(done func()) {
	s.mu.Lock()
	turn := s.turn
	s.mu.Unlock()
	if turn == nil {
		done()
		return
	}
	turn(done)
}
