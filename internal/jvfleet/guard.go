package jvfleet

import (
	"maps"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// holderTable is the table of the holders that this VM is a witness of, by origin: the marks that it
// has acknowledged, whether it has promised, and bills that the log may not have yet.
type holderTable struct {
	mu       sync.Mutex
	byOrigin map[string]*holderState
}

// holderState is one holder that this VM is a witness of.
type holderState struct {
	marks    map[string]int64
	promised bool
	bills    map[jvledger.BillID]billCopy
	// missingSince is since when the holder has been missing, or zero.
	missingSince time.Time
}

// billCopy is a copy of a holder's bill with the time at which this VM received it.
type billCopy struct {
	bill       jvrecord.Bill
	receivedAt time.Time
}

func newHolderTable() *holderTable { return &holderTable{byOrigin: map[string]*holderState{}} }

func (g *holderTable) get(holder string) *holderState {
	w := g.byOrigin[holder]
	if w == nil {
		w = &holderState{marks: map[string]int64{}, bills: map[jvledger.BillID]billCopy{}}
		g.byOrigin[holder] = w
	}
	return w
}

// acknowledge stores a holder's marks and returns true, unless this VM has promised to acknowledge
// no more of them.
func (g *holderTable) acknowledge(holder string, marks map[string]int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.get(holder)
	if w.promised {
		return false
	}
	for p, m := range marks {
		w.marks[p] = max(w.marks[p], m)
	}
	return true
}

// addBills stores a holder's bills until the log has them.
func (g *holderTable) addBills(holder string, bills []jvrecord.Bill, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.get(holder)
	for _, b := range bills {
		w.bills[billName(b)] = billCopy{bill: b, receivedAt: now}
	}
}

// removeLogged removes bills that the log has.
func (g *holderTable) removeLogged(names []jvledger.BillID) {
	if len(names) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range names {
		if w := g.byOrigin[n.Origin]; w != nil {
			delete(w.bills, n)
		}
	}
}

// promise ends the acknowledgement of a holder's marks and returns those acknowledged so far.
func (g *holderTable) promise(holder string) map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.get(holder)
	w.promised = true
	return maps.Clone(w.marks)
}

func (g *holderTable) bills(holder string) []jvrecord.Bill {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []jvrecord.Bill
	for _, b := range g.get(holder).bills {
		list = append(list, b.bill)
	}
	return list
}

// overdueBills returns bills that this VM has had for a time without the log getting them, since their
// holder is paused or disconnected.
func (g *holderTable) overdueBills(now time.Time, after time.Duration) []jvrecord.Bill {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []jvrecord.Bill
	for _, w := range g.byOrigin {
		for _, b := range w.bills {
			if now.Sub(b.receivedAt) >= after && len(list) < maxBills {
				list = append(list, b.bill)
			}
		}
	}
	return list
}

// longMissing returns those of the silent holders that have been missing for a time, and clears the
// missing time of all other holders.
func (g *holderTable) longMissing(silent []suspect, now time.Time, after time.Duration) []suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	missing := map[string]bool{}
	var due []suspect
	for _, s := range silent {
		missing[s.origin] = true
		w := g.get(s.origin)
		if w.missingSince.IsZero() {
			w.missingSince = now
		}
		if now.Sub(w.missingSince) >= after {
			due = append(due, s)
		}
	}
	for origin, w := range g.byOrigin {
		if !missing[origin] {
			w.missingSince = time.Time{}
		}
	}
	return due
}

// evict evicts the holders for which gone returns true and whose bills the log has.
func (g *holderTable) evict(gone func(holder string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for holder, w := range g.byOrigin {
		if len(w.bills) == 0 && gone(holder) {
			delete(g.byOrigin, holder)
		}
	}
}
