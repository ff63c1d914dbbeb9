package jvfleet

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// stopPoll is the interval at which a planned stop checks for requests in progress.
const stopPoll = 20 * time.Millisecond

// Stop drains the router: it refuses new requests, waits for those in progress, returns the tokens
// that it holds of every budget, and closes. It stops waiting when ctx ends or after StopTimeout.
func (rt *Router) Stop(ctx context.Context) {
	rt.stopOnce.Do(func() {
		rt.stopping.Store(true)
		rt.options.Logger.Info("stopping", "active", rt.flights.Active())
		limited, cancel := context.WithTimeout(ctx, rt.options.Timing.StopTimeout)
		defer cancel()
		rt.waitIdle(limited)
		rt.leave(limited)
		rt.Close()
		close(rt.stopped)
	})
	<-rt.stopped
}

// Stopping reports whether a planned stop has begun.
func (rt *Router) Stopping() bool { return rt.stopping.Load() }

// Done returns a channel that is closed when a planned stop is complete.
func (rt *Router) Done() <-chan struct{} { return rt.stopped }

func (rt *Router) waitIdle(ctx context.Context) {
	for rt.flights.Active() > 0 || rt.pendingOutcomes.Load() > 0 {
		select {
		case <-ctx.Done():
			rt.options.Logger.Info("stop limit reached with requests open", "active", rt.flights.Active())
			return
		case <-rt.options.Timer.After(stopPoll):
		}
	}
}

// leave reports everything and closes the origin in one batch. Tokens that are still reserved
// count as spent, since they may be.
func (rt *Router) leave(ctx context.Context) {
	s := rt.current()
	if !rt.hasJoined(s) {
		return
	}
	s.escrow.CloseAndSettle()
	for rt.bills.len() > maxBills && ctx.Err() == nil {
		rt.sendReport(ctx, s)
	}
	r := s.report()
	r.Bills = jvrecord.GroupBills(rt.bills.list())
	_, err := rt.journal.Submit(ctx, s.origin, jvrecord.Record{Report: r}, jvrecord.Record{Leave: &jvrecord.Leave{}})
	if err != nil {
		rt.options.Logger.Info("grants not returned", "cause", err.Error())
		return
	}
	rt.options.Logger.Info("grants returned", "origin", s.origin)
}

// Close ends the router without a drain and waits for its goroutines; for the rest of the fleet it
// is like a crash.
func (rt *Router) Close() {
	rt.cancel()
	rt.journal.Close()
	rt.running.Wait()
}
