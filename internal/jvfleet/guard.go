package jvfleet

import (
	"maps"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// guard is the table of the holders that this VM is a witness of, by origin: the marks that it
// has acknowledged, whether it has promised, and bills that the log may not have yet.
type guard struct {
	mu      sync.Mutex
	holders map[string]*ward
}

// ward is one holder that this VM is a witness of.
type ward struct {
	marks    map[string]int64
	promised bool
	bills    map[jvledger.BillName]keptBill
	// missed is since when the holder has been missing, or zero.
	missed time.Time
}

// keptBill is a copy of a holder's bill with the time at which this VM received it.
type keptBill struct {
	bill  jvrecord.Bill
	since time.Time
}

func newGuard() *guard { return &guard{holders: map[string]*ward{}} }

func (g *guard) ward(holder string) *ward {
	w := g.holders[holder]
	if w == nil {
		w = &ward{marks: map[string]int64{}, bills: map[jvledger.BillName]keptBill{}}
		g.holders[holder] = w
	}
	return w
}

// acknowledge stores a holder's marks and returns true, unless this VM has promised to acknowledge
// no more of them.
func (g *guard) acknowledge(holder string, marks map[string]int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.ward(holder)
	if w.promised {
		return false
	}
	for p, m := range marks {
		w.marks[p] = max(w.marks[p], m)
	}
	return true
}

// keep stores a holder's bills until the log has them.
func (g *guard) keep(holder string, bills []jvrecord.Bill, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.ward(holder)
	for _, b := range bills {
		w.bills[nameOf(b)] = keptBill{bill: b, since: now}
	}
}

// settle removes bills that the log has.
func (g *guard) settle(names []jvledger.BillName) {
	if len(names) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range names {
		if w := g.holders[n.Origin]; w != nil {
			delete(w.bills, n)
		}
	}
}

// promise ends the acknowledgement of a holder's marks and returns those acknowledged so far.
func (g *guard) promise(holder string) map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.ward(holder)
	w.promised = true
	return maps.Clone(w.marks)
}

func (g *guard) bills(holder string) []jvrecord.Bill {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []jvrecord.Bill
	for _, b := range g.ward(holder).bills {
		list = append(list, b.bill)
	}
	return list
}

// late returns bills that this VM has had for a time without the log getting them, since their
// holder is paused or disconnected.
func (g *guard) late(now time.Time, after time.Duration) []jvrecord.Bill {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []jvrecord.Bill
	for _, w := range g.holders {
		for _, b := range w.bills {
			if now.Sub(b.since) >= after && len(list) < maxBills {
				list = append(list, b.bill)
			}
		}
	}
	return list
}

// overdue returns those of the silent holders that have been missing for a time, and clears the
// missing time of all other holders.
func (g *guard) overdue(silent []suspect, now time.Time, after time.Duration) []suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	missing := map[string]bool{}
	var due []suspect
	for _, s := range silent {
		missing[s.origin] = true
		w := g.ward(s.origin)
		if w.missed.IsZero() {
			w.missed = now
		}
		if now.Sub(w.missed) >= after {
			due = append(due, s)
		}
	}
	for origin, w := range g.holders {
		if !missing[origin] {
			w.missed = time.Time{}
		}
	}
	return due
}

// forget evicts the holders for which gone returns true and whose bills the log has.
func (g *guard) forget(gone func(holder string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for holder, w := range g.holders {
		if len(w.bills) == 0 && gone(holder) {
			delete(g.holders, holder)
		}
	}
}
