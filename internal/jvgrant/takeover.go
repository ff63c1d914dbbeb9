package jvgrant

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// takeover is what this start of the router took over from the one before and may still learn
// more about.
type takeover struct {
	// holdings are those whose bound rests on this machine's time of day alone, by workspace,
	// with the offsets of their records.
	holdings map[string]Holding
	offsets  map[string]uint64
	// charged is what has been counted as spent of each.
	charged map[string]int64
	// sightings are the records of all routers around the restart, by offset.
	sightings []sighting
	// first is the offset of this start's first record, once it has one.
	first   uint64
	written bool
	until   time.Time
}

// Bounds on what a takeover looks at.
const (
	// historyRecords is how far back the topic is read: some seconds of all routers' records.
	historyRecords = 1000
	// takeoverTime is how long after a start other routers' records are collected.
	takeoverTime = 5 * time.Second
	// takeoverPace is how many times more often a router that took over makes rounds meanwhile:
	// its records tell the others the time.
	takeoverPace = 4
)

// takingOver tells whether something may still be learned about an earlier start.
func (k *Keeper) takingOver() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.takeover.holdings) > 0 && k.options.Timer.Now().Before(k.takeover.until)
}

// restore takes over what an earlier start held; k.mu must be held. What that can have spent
// beyond what it reported counts as lost.
func (k *Keeper) restore(workspace string, offset uint64, h Holding) {
	born := k.born
	if k.latest.After(born.Clock) {
		born.Clock = k.latest // Another machine's clock is ahead, so this one's may have been set back.
	}
	bound := h.Bound(born)
	silence, _ := h.Envelope.silence(h.Boot, born)
	k.escrow.Restore(workspace, h.Granted, h.Returned, bound)
	k.lost[workspace] = max(0, bound-h.Used)
	k.demands[workspace] = newDemand(h.Rate, h.Envelope.Size)
	if bound > h.Used {
		k.takeover.holdings[workspace] = h
		k.takeover.offsets[workspace] = offset
		k.takeover.charged[workspace] = bound
	}
	k.options.Logger.Info("budget taken over", "workspace", workspace, "net", h.Net(), "used", h.Used,
		"lost", k.lost[workspace], "silence", silence.String())
}

// readHistory collects the records that stood before the takeover.
func (k *Keeper) readHistory(ctx context.Context) {
	k.mu.Lock()
	needed := len(k.takeover.holdings) > 0
	k.takeover.until = k.options.Timer.Now().Add(takeoverTime)
	k.mu.Unlock()
	if !needed {
		return
	}
	next := k.follower.Next()
	from := next - min(next, historyRecords)
	page, err := k.options.Topic.Read(ctx, from, 0)
	if err != nil {
		k.options.Logger.Info("no history of budgets", "from", from, "cause", err.Error())
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []sighting
	for _, i := range page.Items {
		if i.Offset < next {
			list = k.sight(list, i)
		}
	}
	k.takeover.sightings = append(list, k.takeover.sightings...)
}

// sight adds a record's clock to a list.
func (k *Keeper) sight(list []sighting, i jvkeyed.Item) []sighting {
	origin, _, h, err := decode(i)
	if err != nil || h.Envelope.Clock == 0 {
		return list // The follower reports what can't be read.
	}
	return append(list, sighting{origin: origin, offset: i.Offset, clock: time.UnixMilli(h.Envelope.Clock)})
}

// learn frees what the clocks of other routers show not to have been spent; k.mu must be held.
func (k *Keeper) learn(items []jvkeyed.Item) {
	t := &k.takeover
	if len(t.holdings) == 0 {
		return
	}
	if k.options.Timer.Now().After(t.until) {
		k.takeover = newTakeover()
		return
	}
	for _, i := range items {
		t.sightings = k.sight(t.sightings, i)
		if origin, _, _, err := decode(i); err == nil && origin == k.options.Origin && !t.written {
			t.written = true
			t.first = i.Offset
		}
	}
	if !t.written {
		return
	}
	for w, h := range t.holdings {
		silence, ok := elapsed(t.sightings, k.options.Origin, t.offsets[w], t.first)
		if !ok {
			continue
		}
		silence = h.Envelope.refine(k.born, silence)
		bound := min(h.Net(), h.Envelope.after(silence))
		if free := t.charged[w] - bound; free > 0 {
			free = min(free, k.lost[w])
			k.escrow.Refund(w, free)
			k.lost[w] -= free
			t.charged[w] -= free
			k.options.Logger.Info("budget found unspent", "workspace", w, "tokens", free, "lost", k.lost[w], "silence", silence.String())
		}
	}
}

func newTakeover() takeover {
	return takeover{holdings: map[string]Holding{}, offsets: map[string]uint64{}, charged: map[string]int64{}}
}
