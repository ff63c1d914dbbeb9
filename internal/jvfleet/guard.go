package jvfleet

import (
	"maps"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// guard is what this VM keeps for others as their witness: the marks that it has
// acknowledged, whether it has promised, and bills that the log may not have yet.
type guard struct {
	mu      sync.Mutex
	holders map[string]*ward
}

// ward is one holder that this VM is a witness of.
type ward struct {
	marks    map[string]int64
	promised bool
	bills    map[jvledger.BillID]keptBill
	// missed is when the holder was first found to be gone.
	missed time.Time
}

// keptBill is a bill with the time since when this VM has it.
type keptBill struct {
	bill  jvrecord.Bill
	since time.Time
}

func newGuard() *guard { return &guard{holders: map[string]*ward{}} }

func (g *guard) ward(holder string) *ward {
	w := g.holders[holder]
	if w == nil {
		w = &ward{marks: map[string]int64{}, bills: map[jvledger.BillID]keptBill{}}
		g.holders[holder] = w
	}
	return w
}

// acknowledge keeps a holder's marks, unless this VM has promised not to.
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

// keep holds bills for a holder until the log has them.
func (g *guard) keep(holder string, bills []jvrecord.Bill, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.ward(holder)
	for _, b := range bills {
		w.bills[nameOf(b)] = keptBill{bill: b, since: now}
	}
}

// settle drops bills that the log has.
func (g *guard) settle(names []jvledger.BillID) {
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

// promise ends acknowledging for a holder and returns the marks acknowledged.
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

// late returns bills that the log should have by now: their holder is paused or cut off.
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

// overdue returns those of the silent holders that have been found gone for a while, and
// forgets the suspicion of all others.
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

// forget drops the holders that the log no longer knows or has closed, and whose bills it has.
func (g *guard) forget(gone func(holder string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for holder, w := range g.holders {
		if len(w.bills) == 0 && gone(holder) {
			delete(g.holders, holder)
		}
	}
}
