package jvfleet

import (
	"maps"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// holderTable holds, by origin, the holders that this VM is a witness of: the marks that it has
// acknowledged, whether it has promised, and the bills that the log may not have yet.
type holderTable struct {
	mu       sync.Mutex
	byOrigin map[string]*holderState
}

// holderState is one holder that this VM is a witness of.
type holderState struct {
	marks    map[string]int64
	promised bool
	bills    map[jvledger.BillID]billCopy
	// missingSince is the time since which the holder has been missing, or zero.
	missingSince time.Time
}

// billCopy is a copy of a holder's bill with the time at which this VM received it.
type billCopy struct {
	bill       jvrecord.Bill
	receivedAt time.Time
}

func newHolderTable() *holderTable { return &holderTable{byOrigin: map[string]*holderState{}} }

func (t *holderTable) get(origin string) *holderState {
	h := t.byOrigin[origin]
	if h == nil {
		h = &holderState{marks: map[string]int64{}, bills: map[jvledger.BillID]billCopy{}}
		t.byOrigin[origin] = h
	}
	return h
}

// acknowledge stores a holder's marks and returns true, unless this VM has promised to acknowledge
// no more of them.
func (t *holderTable) acknowledge(origin string, marks map[string]int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.get(origin)
	if h.promised {
		return false
	}
	for p, m := range marks {
		h.marks[p] = max(h.marks[p], m)
	}
	return true
}

// addBills stores a holder's bills until the log has them.
func (t *holderTable) addBills(origin string, bills []jvrecord.Bill, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.get(origin)
	for _, b := range bills {
		h.bills[billID(b)] = billCopy{bill: b, receivedAt: now}
	}
}

// removeLogged removes bills that the log has.
func (t *holderTable) removeLogged(ids []jvledger.BillID) {
	if len(ids) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if h := t.byOrigin[id.Origin]; h != nil {
			delete(h.bills, id)
		}
	}
}

// promise ends the acknowledgement of a holder's marks and returns those acknowledged so far.
func (t *holderTable) promise(origin string) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.get(origin)
	h.promised = true
	return maps.Clone(h.marks)
}

func (t *holderTable) bills(origin string) []jvrecord.Bill {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []jvrecord.Bill
	for _, b := range t.get(origin).bills {
		list = append(list, b.bill)
	}
	return list
}

// overdueBills returns bills that this VM has had for a time without the log getting them, since
// their holder is paused or disconnected.
func (t *holderTable) overdueBills(now time.Time, after time.Duration) []jvrecord.Bill {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []jvrecord.Bill
	for _, h := range t.byOrigin {
		for _, b := range h.bills {
			if now.Sub(b.receivedAt) >= after && len(list) < maxBills {
				list = append(list, b.bill)
			}
		}
	}
	return list
}

// longMissing returns those of the silent holders that have been missing for a time, and clears the
// missing time of all other holders.
func (t *holderTable) longMissing(silent []suspect, now time.Time, after time.Duration) []suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	missing := map[string]bool{}
	var due []suspect
	for _, s := range silent {
		missing[s.origin] = true
		h := t.get(s.origin)
		if h.missingSince.IsZero() {
			h.missingSince = now
		}
		if now.Sub(h.missingSince) >= after {
			due = append(due, s)
		}
	}
	for origin, h := range t.byOrigin {
		if !missing[origin] {
			h.missingSince = time.Time{}
		}
	}
	return due
}

// evict evicts the holders for which gone returns true and whose bills the log has.
func (t *holderTable) evict(gone func(origin string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for origin, h := range t.byOrigin {
		if len(h.bills) == 0 && gone(origin) {
			delete(t.byOrigin, origin)
		}
	}
}
