package jvfleet

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// stopPoll is the interval at which a planned stop checks for open requests.
const stopPoll = 20 * time.Millisecond

// Stop drains the router: it refuses new requests, waits for the open ones, returns the tokens
// that it holds of every budget, and closes. It stops waiting when ctx ends or after StopLimit.
func (f *Router) Stop(ctx context.Context) {
	f.stopOnce.Do(func() {
		f.stopping.Store(true)
		f.options.Logger.Info("stopping", "active", f.flights.Active())
		limit, cancel := context.WithTimeout(ctx, f.options.Timing.StopLimit)
		defer cancel()
		f.awaitIdle(limit)
		f.leave(limit)
		f.Close()
		close(f.stopped)
	})
	<-f.stopped
}

// Stopping reports whether a planned stop has begun.
func (f *Router) Stopping() bool { return f.stopping.Load() }

// Done returns a channel that is closed when a planned stop is complete.
func (f *Router) Done() <-chan struct{} { return f.stopped }

func (f *Router) awaitIdle(ctx context.Context) {
	for f.flights.Active() > 0 || f.pendingOutcomes.Load() > 0 {
		select {
		case <-ctx.Done():
			f.options.Logger.Info("stop limit reached with requests open", "active", f.flights.Active())
			return
		case <-f.options.Timer.After(stopPoll):
		}
	}
}

// leave reports everything and closes the origin in one batch. Tokens that are still reserved
// count as spent, since they may be.
func (f *Router) leave(ctx context.Context) {
	s := f.current()
	if !f.hasJoined(s) {
		return
	}
	s.escrow.CloseAndSettle()
	for f.bills.len() > maxBills && ctx.Err() == nil {
		f.sendReport(ctx, s)
	}
	r := s.report()
	r.Bills = jvrecord.GroupBills(f.bills.list())
	_, err := f.journal.Submit(ctx, s.origin, jvrecord.Record{Report: r}, jvrecord.Record{Leave: &jvrecord.Leave{}})
	if err != nil {
		f.options.Logger.Info("grants not given back", "cause", err.Error())
		return
	}
	f.options.Logger.Info("grants given back", "origin", s.origin)
}

// Close ends the router without a drain and waits for its goroutines; for the rest of the fleet it
// is like a crash.
func (f *Router) Close() {
	f.cancel()
	f.journal.Close()
	f.running.Wait()
}
