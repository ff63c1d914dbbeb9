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

// billBook holds the bills that the log does not have yet. A bill is handed to a witness
// before the answer's end is told, so that it outlives this VM.
type billBook struct {
	mu    sync.Mutex
	bills map[jvledger.BillID]jvrecord.Bill
	// fresh are bills that no witness has yet, with those who wait for that.
	fresh []freshBill
	wake  chan struct{}
}

type freshBill struct {
	bill jvrecord.Bill
	done chan struct{}
}

func nameOf(b jvrecord.Bill) jvledger.BillID {
	return jvledger.BillID{Origin: b.Origin, Serial: b.Serial}
}

func newBillBook() *billBook {
	return &billBook{bills: map[jvledger.BillID]jvrecord.Bill{}, wake: make(chan struct{}, 1)}
}

// add keeps a bill and returns a channel that is closed when a witness has it too, or when
// none could be reached.
func (b *billBook) add(l jvrecord.Bill) <-chan struct{} {
	done := make(chan struct{})
	b.mu.Lock()
	b.bills[nameOf(l)] = l
	b.fresh = append(b.fresh, freshBill{bill: l, done: done})
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return done
}

// settle drops bills that the log has, whoever reported them.
func (b *billBook) settle(names []jvledger.BillID) {
	if len(names) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range names {
		delete(b.bills, n)
	}
}

func (b *billBook) takeFresh() []freshBill {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := b.fresh
	b.fresh = nil
	return fresh
}

// maxBills bounds the bills in one record.
const maxBills = 2000

func (b *billBook) list() []jvrecord.Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := slices.Collect(maps.Values(b.bills))
	slices.SortFunc(list, func(a, b jvrecord.Bill) int { return cmp.Compare(a.Serial, b.Serial) })
	return list[:min(len(list), maxBills)]
}

// len returns the number of bills that the log does not have yet.
func (b *billBook) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.bills)
}

// replicateBills hands new bills to a witness, all that came while the last batch was on its way.
func (f *Fleet) replicateBills() {
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-f.bills.wake:
		}
		fresh := f.bills.takeFresh()
		if len(fresh) == 0 {
			continue
		}
		bills := make([]jvrecord.Bill, len(fresh))
		for i, b := range fresh {
			bills[i] = b.bill
		}
		if !f.shareBills(bills) {
			f.meter.Unreplicated.Add(len(bills))
		}
		for _, b := range fresh {
			close(b.done)
		}
	}
}

func (f *Fleet) shareBills(bills []jvrecord.Bill) bool {
	for _, w := range f.livelyFirst(f.current().witnessList()) {
		ctx, cancel := context.WithTimeout(f.ctx, f.options.Pace.PeerTimeout)
		ok := f.askMark(ctx, w, &jvpeer.MarkRequest{Bills: bills})
		cancel()
		if ok {
			return true
		}
	}
	return false
}

// report appends what the log does not have yet: spent and returned tokens, loans, bills.
func (f *Fleet) report() {
	s := f.current()
	if f.stopping.Load() || !f.hasJoined(s) || !f.reportDue() {
		return
	}
	f.sendReport(f.ctx, s)
	f.guard.forget(func(holder string) bool { return !f.originOpen(holder) })
}

// reportDue keeps this VM's reports to its share of the log's appends; only the report loop
// calls it.
func (f *Fleet) reportDue() bool {
	now := f.options.Timer.Now()
	share := time.Duration(1+len(f.peers())) * f.options.Pace.Share
	if now.Sub(f.reported) < share {
		return false
	}
	f.reported = now
	return true
}

func (f *Fleet) sendReport(ctx context.Context, s *session) {
	r := s.report()
	late := f.guard.late(f.options.Timer.Now(), f.options.Pace.Suspect)
	r.Bills = jvrecord.GroupBills(append(f.bills.list(), late...))
	if len(r.Accounts)+len(r.Loans)+len(r.Bills) == 0 {
		return
	}
	verdicts, err := f.journal.Submit(ctx, s.origin, jvrecord.Record{Report: r})
	if err == nil && verdicts[0].Accepted() {
		s.confirm(r)
	}
}
