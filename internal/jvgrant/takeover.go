package jvgrant

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// takeover is what this start of the router took over from the one before and may still learn
// more about.
type takeover struct {
	// last is the earlier start's last statement.
	last *Statement
	// held is what the earlier start might spend, charged what is counted as spent of it.
	held    map[string]int64
	charged map[string]int64
	// sightings are the statements of all routers around the restart, by offset.
	sightings []sighting
	// first is the offset of this start's first statement, once it has one.
	first   uint64
	written bool
	// waited is how long after its start the process made that.
	waited time.Duration
	until  time.Time
}

// Bounds on what a takeover looks at.
const (
	// historyRecords is how far back statements are read, historyEach for each router of a large
	// fleet: some seconds of all routers.
	historyRecords = 300
	historyEach    = 12
	// takeoverTime is how long after a start other routers' statements are collected, takeoverReads
	// how many reads that takes at least: theirs of ours, and ours of theirs.
	takeoverTime  = 5 * time.Second
	takeoverReads = 4
	// takeoverPace is how many times more often a router that took over makes rounds meanwhile:
	// its statements tell the others the time.
	takeoverPace = 2
)

// takingOver tells whether something may still be learned about an earlier start.
func (k *Allocator) takingOver() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.takeover.last != nil && k.options.Timer.Now().Before(k.takeover.until)
}

// takeOver counts as spent what an earlier start held and can have spent; what that is beyond
// what it reported counts as lost. k.mu must be held.
func (k *Allocator) takeOver() {
	t := &k.takeover
	t.until = k.options.Timer.Now().Add(max(takeoverTime, takeoverReads*k.pace().read(k.options.ReadInterval, true)))
	last, stated := k.book.statements[k.options.Router]
	k.speaker.epoch = k.nextEpoch(last.Epoch)
	born := k.born
	since := k.options.ReadClocks().Uptime - born.Uptime // What has passed since this process started.
	for _, s := range k.book.statements {
		if clock := time.UnixMilli(s.ClockUnixMilli).Add(-since); clock.After(born.WallClock) {
			born.WallClock = clock // Another machine's clock is ahead, so this one's may have been set back.
		}
	}
	silence, ok := last.silence(born)
	for _, w := range k.budgets() {
		h, held := k.book.Holding(w, k.options.Router)
		if !held {
			continue
		}
		bound := h.Net()
		r, known := last.row(w)
		if stated && known && ok {
			bound = min(bound, r.after(silence))
		}
		k.escrow.Restore(w, h.Granted, h.Returned, bound)
		k.lost[w] = max(0, bound-r.Used)
		k.demands[w] = newDemand(r.DemandRate, r.TypicalRequest)
		t.held[w] = h.Net()
		t.charged[w] = bound
		k.options.Logger.Info("budget taken over", "workspace", w, "net", h.Net(), "used", r.Used, "lost", k.lost[w],
			"flight", r.Committed-r.Used-r.Lost, "rate", r.BoundRate, "room", r.Headroom, "silence", silence.String())
	}
	if stated {
		t.last = &last
	}
}

// readHistory collects the statements that stood before the takeover.
func (k *Allocator) readHistory(ctx context.Context) {
	k.mu.Lock()
	needed := k.takeover.last != nil
	records := uint64(max(historyRecords, historyEach*k.routers()))
	k.mu.Unlock()
	if !needed {
		return
	}
	next := k.statements.Next()
	from := next - min(next, records)
	page, err := k.options.Statements.Read(ctx, from, 0)
	if err != nil {
		k.options.Logger.Info("no history of statements", "from", from, "cause", err.Error())
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []sighting
	for _, i := range page.Records {
		if i.Offset < next {
			list = sight(list, i)
		}
	}
	k.takeover.sightings = append(list, k.takeover.sightings...)
}

// sight adds a statement's clock to a list.
func sight(list []sighting, i jvkeyed.Record) []sighting {
	s, err := decodeStatement(i)
	if err != nil || s.ClockUnixMilli == 0 {
		return list // The follower reports what can't be read.
	}
	return append(list, sighting{origin: i.Key, offset: i.Offset, seen: s.ReadOffset, clock: time.UnixMilli(s.ClockUnixMilli)})
}

// learn frees what the clocks of other routers show not to have been spent; k.mu must be held.
func (k *Allocator) learn(items []jvkeyed.Record) {
	t := &k.takeover
	if t.last == nil {
		return
	}
	if k.options.Timer.Now().After(t.until) {
		t.last = nil
		t.sightings = nil
		return
	}
	for _, i := range items {
		t.sightings = sight(t.sightings, i)
		if i.Key == k.options.Router && !t.written {
			s, err := decodeStatement(i)
			t.written = err == nil && s.Epoch == k.speaker.epoch
			t.first = i.Offset
			t.waited = time.Duration(s.UptimeNanos) - k.born.Uptime
		}
	}
	if !t.written {
		return
	}
	silence, ok := elapsed(t.sightings, k.options.Router, t.last.ReadOffset, t.first)
	if !ok {
		return
	}
	silence = t.last.refine(k.born, max(0, silence-t.waited))
	for w, charged := range t.charged {
		r, known := t.last.row(w)
		free := min(charged-min(t.held[w], r.after(silence)), k.lost[w])
		if !known || free <= 0 {
			continue
		}
		k.escrow.Refund(w, free)
		k.lost[w] -= free
		t.charged[w] -= free
		k.options.Logger.Info("budget found unspent", "workspace", w, "tokens", free, "lost", k.lost[w], "silence", silence.String())
	}
}
