package jvfleet

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// stopPoll is how often a planned stop looks whether requests are still under way.
const stopPoll = 20 * time.Millisecond

// Stop ends the router as planned: it takes no new work, lets the requests under way finish,
// and gives back what it holds of every budget. It returns when that is done or ctx ends.
func (f *Fleet) Stop(ctx context.Context) {
	f.stopOnce.Do(func() {
		f.stopping.Store(true)
		f.options.Logger.Info("stopping", "active", f.flights.Active())
		limit, cancel := context.WithTimeout(ctx, f.options.Pace.StopLimit)
		defer cancel()
		f.awaitIdle(limit)
		f.leave(limit)
		f.Close()
		close(f.stopped)
	})
	<-f.stopped
}

// Stopping tells whether a planned stop has begun.
func (f *Fleet) Stopping() bool { return f.stopping.Load() }

// Done is closed when a planned stop is over.
func (f *Fleet) Done() <-chan struct{} { return f.stopped }

func (f *Fleet) awaitIdle(ctx context.Context) {
	for f.flights.Active() > 0 || f.recording.Load() > 0 {
		select {
		case <-ctx.Done():
			f.options.Logger.Info("stop limit reached with requests under way", "active", f.flights.Active())
			return
		case <-f.options.Timer.After(stopPoll):
		}
	}
}

// leave reports everything and closes the origin in one batch. What is still reserved counts
// as spent, since it may be.
func (f *Fleet) leave(ctx context.Context) {
	s := f.current()
	if !f.hasJoined(s) {
		return
	}
	s.escrow.Abandon()
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

// Close ends the router at once, as a crash would but for its goroutines.
func (f *Fleet) Close() {
	f.cancel()
	f.journal.Close()
	f.running.Wait()
}
