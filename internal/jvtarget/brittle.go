package jvtarget

import (
	"hash/fnv"
	"time"
)

// Sharers says which of the routers that share brittle targets this one is: its index in a list that all of them
// have in the same order, and the length of that list.
type Sharers func() (index, n int)

const (
	// brittleTime is how long a pool stays brittle after a target has last said so.
	brittleTime = 3 * time.Second
	// maxBorrowAge is the age up to which a load report counts for requests beyond this router's share.
	maxBorrowAge = 200 * time.Millisecond
	// borrowLoad is the share of a target's slots up to which routers use it beyond their own shares. The
	// rest is for what other routers send meanwhile.
	borrowLoad = 0.5
)

// WithSharers makes routers divide the slots of brittle targets. It returns the table.
func (t *Table) WithSharers(s Sharers) *Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sharers = s
	return t
}

// RecordBrittle records that the targets of a pool end if they have to turn many requests away. It reports whether
// that is new.
func (t *Table) RecordBrittle(poolName string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[poolName]
	if p == nil {
		return false
	}
	now := t.timer.Now()
	before := p.brittle(now)
	p.brittleUntil = now.Add(brittleTime)
	return !before
}

// CountBrittle returns the number of pools whose targets are brittle.
func (t *Table) CountBrittle() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.pools {
		if p.brittle(t.timer.Now()) {
			n++
		}
	}
	return n
}

func (p *pool) brittle(now time.Time) bool { return now.Before(p.brittleUntil) }

// shareOf returns the number of a target's slots that a router may use, out of n routers that divide them. All
// shares together are the target's slots.
func shareOf(target string, slots int64, index, n int) int64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(target))
	offset := int(h.Sum64() % uint64(n)) // Spreads what can't be divided evenly.
	share := slots / int64(n)
	if int64((index-offset+n)%n) < slots%int64(n) {
		share++
	}
	return share
}

// hasShare reports whether this router may send one more request to a brittle target, on which it has some in
// progress: within its share, or while the target has said very lately that it is at most half full. busy is the
// estimated number of all routers' requests.
func (g *target) hasShare(share, busy int64, now time.Time) bool {
	own := int64(len(g.traffic.starts))
	borrows := now.Sub(g.load.ReportedAt) <= maxBorrowAge && own <= share && float64(busy+1) <= borrowLoad*float64(g.config.Slots)
	return own < share || borrows
}
