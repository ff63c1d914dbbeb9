package jvfleet

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

const (
	// stopPoll is the interval at which a planned stop checks for requests in progress.
	stopPoll = 20 * time.Millisecond
	// returnInterval is the interval at which it returns tokens that have become unused.
	returnInterval = 200 * time.Millisecond
	// minReturnTime covers a call of the log, maxReturnTime a few slow ones.
	minReturnTime = 300 * time.Millisecond
	maxReturnTime = 5 * time.Second
)

// returnTime returns the part of a stop's time that is kept for returning what is left after the drain. As much
// again is left for sending the ends of responses.
func returnTime(limit time.Duration) time.Duration {
	const lastPart = 0.15 // Less than a sixth.
	return min(maxReturnTime, max(limit/24, minReturnTime), time.Duration(lastPart/2*float64(limit)))
}

// Stop drains the router: it refuses new requests, waits for those in progress, returns the tokens
// that it holds of every budget, meanwhile and at the end, and closes. It ends when ctx ends or in less than
// StopTimeout, of which requests have all but a part of the last sixth.
func (rt *Router) Stop(ctx context.Context) {
	rt.stopOnce.Do(func() {
		startedAt := rt.options.Timer.Now()
		limit := rt.options.Timing.StopTimeout
		ends := startedAt.Add(limit)
		rt.stopEnds.Store(&ends)
		rt.stopping.Store(true)
		rt.options.Logger.Info("stopping", "active", rt.flights.Active())
		drainTime := limit - 2*returnTime(limit)
		drain, cancel := context.WithTimeout(ctx, drainTime)
		rt.waitIdle(drain)
		cancel()
		left := drainTime + returnTime(limit) - rt.options.Timer.Since(startedAt)
		leave, cancel := context.WithTimeout(ctx, left)
		rt.leave(leave)
		cancel()
		rt.Close()
		close(rt.stopped)
	})
	<-rt.stopped
}

// Stopping reports whether a planned stop has begun.
func (rt *Router) Stopping() bool { return rt.stopping.Load() }

// StopEnds returns when a planned stop that has begun must be over, or the zero time.
func (rt *Router) StopEnds() time.Time {
	if ends := rt.stopEnds.Load(); ends != nil {
		return *ends
	}
	return time.Time{}
}

// Done returns a channel that is closed when a planned stop is complete.
func (rt *Router) Done() <-chan struct{} { return rt.stopped }

func (rt *Router) waitIdle(ctx context.Context) {
	var returnedAt time.Time
	for rt.flights.Active() > 0 || rt.pendingOutcomes.Load() > 0 {
		if rt.options.Timer.Since(returnedAt) >= returnInterval {
			returnedAt = rt.options.Timer.Now()
			rt.returnUnused()
		}
		select {
		case <-ctx.Done():
			rt.options.Logger.Info("stop limit reached with requests open", "active", rt.flights.Active())
			return
		case <-rt.options.Timer.After(stopPoll):
		}
	}
}

// returnUnused returns the tokens that the requests in progress can't need, in the background.
func (rt *Router) returnUnused() {
	s := rt.current()
	if !rt.hasJoined(s) {
		return
	}
	var returned int64
	for profile, a := range s.escrow.Snapshot() {
		needed := rt.typicalNeed(profile) * int64(rt.flights.Active())
		if unused := a.Lendable() - needed; unused > 0 {
			returned += s.escrow.Return(profile, unused)
		}
	}
	if returned > 0 {
		rt.meter.Returns.Inc()
		rt.spawn(func() { rt.sendReport(rt.ctx, s) })
	}
}

// leave reports everything and closes the origin in one batch. Tokens that are still reserved
// count as spent, since they may be. The copies of other routers' bills are part of the report: their
// holders may have been killed shortly before.
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
	records := []jvrecord.Record{{Report: r}}
	if copies := rt.holders.overdueBills(rt.options.Timer.Now(), 0); len(copies) > 0 {
		records = append(records, jvrecord.Record{Report: &jvrecord.Report{Bills: jvrecord.GroupBills(copies)}})
	}
	_, err := rt.journal.Submit(ctx, s.origin, append(records, jvrecord.Record{Leave: &jvrecord.Leave{}})...)
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
