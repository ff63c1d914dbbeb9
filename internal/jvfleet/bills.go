package jvfleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// billTable holds the bills that the log does not have yet. A witness gets a copy of each bill
// before the caller gets the end of the answer, so that the bill survives a crash of this VM.
type billTable struct {
	mu    sync.Mutex
	bills map[jvledger.BillID]jvrecord.Bill
	// unreplicated holds the bills that no witness has yet.
	unreplicated []unreplicatedBill
	wake         chan struct{}
}

// unreplicatedBill is a bill that no witness has yet; done is closed after the attempt to replicate it.
type unreplicatedBill struct {
	bill jvrecord.Bill
	done chan struct{}
}

func billName(b jvrecord.Bill) jvledger.BillID {
	return jvledger.BillID{Origin: b.Origin, Serial: b.Serial}
}

func newBillTable() *billTable {
	return &billTable{bills: map[jvledger.BillID]jvrecord.Bill{}, wake: make(chan struct{}, 1)}
}

// add adds a bill and returns a channel that is closed when a witness has the bill too, or when
// no witness could be reached.
func (b *billTable) add(l jvrecord.Bill) <-chan struct{} {
	done := make(chan struct{})
	b.mu.Lock()
	b.bills[billName(l)] = l
	b.unreplicated = append(b.unreplicated, unreplicatedBill{bill: l, done: done})
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return done
}

// removeLogged removes bills that the log has, whichever VM reported them.
func (b *billTable) removeLogged(names []jvledger.BillID) {
	if len(names) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range names {
		delete(b.bills, n)
	}
}

func (b *billTable) takeUnreplicated() []unreplicatedBill {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := b.unreplicated
	b.unreplicated = nil
	return fresh
}

// maxBills is the largest number of bills in one record.
const maxBills = 2000

// list returns the oldest bills, at most maxBills.
func (b *billTable) list() []jvrecord.Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := slices.Collect(maps.Values(b.bills))
	slices.SortFunc(list, func(a, b jvrecord.Bill) int { return cmp.Compare(a.Serial, b.Serial) })
	return list[:min(len(list), maxBills)]
}

// len returns the number of bills that the log does not have yet.
func (b *billTable) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.bills)
}

// replicateBills sends new bills to a witness. A batch holds all bills that were added while the
// previous batch was being sent.
func (f *Router) replicateBills() {
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-f.bills.wake:
		}
		fresh := f.bills.takeUnreplicated()
		if len(fresh) == 0 {
			continue
		}
		bills := make([]jvrecord.Bill, len(fresh))
		for i, b := range fresh {
			bills[i] = b.bill
		}
		if !f.sendBills(bills) {
			f.meter.Unreplicated.Add(len(bills))
		}
		for _, b := range fresh {
			close(b.done)
		}
	}
}

// sendBills reports whether a witness has acknowledged the bills, asking one after the other.
func (f *Router) sendBills(bills []jvrecord.Bill) bool {
	for _, w := range f.recentFirst(f.current().witnessList()) {
		ctx, cancel := context.WithTimeout(f.ctx, f.options.Timing.PeerTimeout)
		ok := f.requestMark(ctx, w, &jvpeer.MarkRequest{Bills: bills})
		cancel()
		if ok {
			return true
		}
	}
	return false
}

// report appends the spent and returned tokens, loans and bills that the log does not have yet.
func (f *Router) report() {
	s := f.current()
	if f.stopping.Load() || !f.hasJoined(s) || !f.reportDue() {
		return
	}
	f.sendReport(f.ctx, s)
	f.holders.evict(func(holder string) bool { return !f.originOpen(holder) })
}

// reportDue limits this VM's reports to its share of the log's appends. Only the report loop may
// call it, since it changes a field without a lock.
func (f *Router) reportDue() bool {
	now := f.options.Timer.Now()
	share := time.Duration(1+len(f.peers())) * f.options.Timing.ReportSpacing
	if now.Sub(f.lastReport) < share {
		return false
	}
	f.lastReport = now
	return true
}

func (f *Router) sendReport(ctx context.Context, s *session) {
	r := s.report()
	late := f.holders.overdueBills(f.options.Timer.Now(), f.options.Timing.SuspectAfter)
	r.Bills = jvrecord.GroupBills(append(f.bills.list(), late...))
	if len(r.Accounts)+len(r.Loans)+len(r.Bills) == 0 {
		return
	}
	verdicts, err := f.journal.Submit(ctx, s.origin, jvrecord.Record{Report: r})
	if err == nil && verdicts[0].Accepted() {
		s.confirm(r)
	}
}
