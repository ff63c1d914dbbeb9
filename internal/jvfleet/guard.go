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
	bills    map[jvledger.Key]jvrecord.Bill
	// missed is when the holder was first found to be gone.
	missed time.Time
}

func newGuard() *guard { return &guard{holders: map[string]*ward{}} }

func (g *guard) ward(holder string) *ward {
	w := g.holders[holder]
	if w == nil {
		w = &ward{marks: map[string]int64{}, bills: map[jvledger.Key]jvrecord.Bill{}}
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
func (g *guard) keep(holder string, bills []jvrecord.Bill) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.ward(holder)
	for _, b := range bills {
		if k, ok := jvledger.KeyOf(b.Key); ok {
			w.bills[k] = b
		}
	}
}

// settle drops bills that the log has.
func (g *guard) settle(keys []jvledger.Key) {
	if len(keys) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.holders {
		for _, k := range keys {
			delete(w.bills, k)
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
		list = append(list, b)
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
