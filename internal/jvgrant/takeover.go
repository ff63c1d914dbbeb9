package jvgrant

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// takeover is what this process took over from the router's previous process and may still learn
// more about.
type takeover struct {
	// last is the previous process's last statement.
	last *Statement
	// held is what the previous process was allowed to spend, charged what counts as spent of it.
	held    map[string]int64
	charged map[string]int64
	// observations are the clocks in all routers' statements around the restart, by offset.
	observations []clockObservation
	// firstOffset is the offset of this process's first statement, valid once published is true.
	firstOffset uint64
	published   bool
	// publishDelay is the time from the start of the process to the creation of that statement.
	publishDelay time.Duration
	deadline     time.Time
}

// Limits of a takeover.
const (
	// historyRecords is how many records of earlier statements are read, historyRecordsPerRouter how
	// many for each router of a large fleet: a few seconds of all routers.
	historyRecords          = 300
	historyRecordsPerRouter = 12
	// takeoverTime is how long after a start other routers' statements are collected, minTakeoverReads
	// the minimum number of reads in that time: other routers must read this router's first statement,
	// and this router must then read theirs.
	takeoverTime     = 5 * time.Second
	minTakeoverReads = 4
	// takeoverRoundFactor is how many times more often a router runs rounds during a takeover: other
	// routers that restart rely on the clocks in its statements.
	takeoverRoundFactor = 2
)

// takingOver reports whether something may still be learned about the previous process.
func (a *Allocator) takingOver() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.takeover.last != nil && a.options.Timer.Now().Before(a.takeover.deadline)
}

// restoreHoldings counts as spent what the previous process held and can have spent. What exceeds
// the use that it published counts as lost. a.mu must be held.
func (a *Allocator) restoreHoldings() {
	t := &a.takeover
	t.deadline = a.options.Timer.Now().Add(max(takeoverTime, minTakeoverReads*a.fleetSizeLocked().readInterval(a.options.ReadInterval, true)))
	last, found := a.fleet.statements[a.options.Router]
	a.publisher.epoch = a.nextEpoch(last.Epoch)
	startedAt := a.startedAt
	sinceStart := a.options.ReadClocks().Uptime - startedAt.Uptime
	for _, s := range a.fleet.statements {
		if clock := time.UnixMilli(s.ClockUnixMilli).Add(-sinceStart); clock.After(startedAt.WallClock) {
			startedAt.WallClock = clock // Another machine's clock is ahead, so this one's may have been set back.
		}
	}
	silence, ok := last.maxSilence(startedAt)
	for _, w := range a.budgets() {
		h, held := a.fleet.Holding(w, a.options.Router)
		if !held {
			continue
		}
		bound := h.Net()
		r, known := last.row(w)
		switch p := a.partitions[a.partitionOf(w)]; {
		case found && known && ok && p.isIncomplete():
			// The previous process may have taken tokens of which no record is left, and used them as its bound allows.
			bound = r.boundAfter(silence)
			if excess := bound - h.Net(); excess > 0 {
				h.Granted += excess
				p.lack(h.Encode(a.options.Router, w))
			}
		case found && known && ok:
			bound = min(bound, r.boundAfter(silence))
		}
		a.escrow.Restore(w, h.Granted, h.Returned, bound)
		a.lost[w] = max(0, bound-r.Used)
		a.demands[w] = newDemand(r.DemandRate, r.TypicalRequest)
		t.held[w] = h.Net()
		t.charged[w] = bound
		a.issued[w] = h.Granted
		a.options.Logger.Info("budget taken over", "workspace", w, "net", h.Net(), "used", r.Used, "lost", a.lost[w],
			"flight", r.Committed-r.Used-r.Lost, "rate", r.BoundRate, "room", r.Headroom, "silence", silence.String())
	}
	if found {
		t.last = &last
	}
}

// readHistory collects the clocks in statements from before the takeover.
func (a *Allocator) readHistory(ctx context.Context) {
	a.mu.Lock()
	needed := a.takeover.last != nil
	count := uint64(max(historyRecords, historyRecordsPerRouter*a.routers()))
	a.mu.Unlock()
	if !needed {
		return
	}
	next := a.statements.NextOffset()
	from := next - min(next, count)
	page, err := a.options.Statements.Read(ctx, from, 0)
	if err != nil {
		a.options.Logger.Info("earlier statements not read", "from", from, "cause", err.Error())
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []clockObservation
	for _, r := range page.Records {
		if r.Offset < next {
			list = appendObservation(list, r)
		}
	}
	a.takeover.observations = append(list, a.takeover.observations...)
}

// appendObservation appends the clock in a record's statement to a list.
func appendObservation(list []clockObservation, r jvkeyed.Record) []clockObservation {
	s, err := decodeStatement(r)
	if err != nil || s.ClockUnixMilli == 0 {
		return list // applyStatements logs records that can't be decoded.
	}
	return append(list, clockObservation{router: r.Key, offset: r.Offset, readOffset: s.ReadOffset, clock: time.UnixMilli(s.ClockUnixMilli)})
}

// refineTakeover refunds what the previous process can't have spent by the clocks of other routers;
// a.mu must be held.
func (a *Allocator) refineTakeover(records []jvkeyed.Record) {
	t := &a.takeover
	if t.last == nil {
		return
	}
	if a.options.Timer.Now().After(t.deadline) {
		t.last = nil
		t.observations = nil
		return
	}
	for _, r := range records {
		t.observations = appendObservation(t.observations, r)
		if r.Key == a.options.Router && !t.published {
			s, err := decodeStatement(r)
			t.published = err == nil && s.Epoch == a.publisher.epoch
			t.firstOffset = r.Offset
			t.publishDelay = time.Duration(s.UptimeNanos) - a.startedAt.Uptime
		}
	}
	if !t.published {
		return
	}
	silence, ok := elapsed(t.observations, a.options.Router, t.last.ReadOffset, t.firstOffset)
	if !ok {
		return
	}
	silence = t.last.refineSilence(a.startedAt, max(0, silence-t.publishDelay))
	for w, charged := range t.charged {
		r, known := t.last.row(w)
		unspent := min(charged-min(t.held[w], r.boundAfter(silence)), a.lost[w])
		if !known || unspent <= 0 {
			continue
		}
		a.escrow.Refund(w, unspent)
		a.lost[w] -= unspent
		t.charged[w] -= unspent
		a.options.Logger.Info("budget found unspent", "workspace", w, "tokens", unspent, "lost", a.lost[w], "silence", silence.String())
	}
}
