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
	// unreplicated holds the bills that have not been sent to a witness yet.
	unreplicated []unreplicatedBill
	wake         chan struct{}
}

// unreplicatedBill is a bill that has not been sent to a witness yet; done is closed after it was
// sent, whether or not a witness or the log acknowledged it.
type unreplicatedBill struct {
	bill jvrecord.Bill
	done chan struct{}
}

func billID(b jvrecord.Bill) jvledger.BillID {
	return jvledger.BillID{Origin: b.Origin, Serial: b.Serial}
}

func newBillTable() *billTable {
	return &billTable{bills: map[jvledger.BillID]jvrecord.Bill{}, wake: make(chan struct{}, 1)}
}

// add adds a bill and returns a channel that is closed when a witness or the log has the bill too, or when
// none of them could be reached.
func (b *billTable) add(bill jvrecord.Bill) <-chan struct{} {
	done := make(chan struct{})
	b.mu.Lock()
	b.bills[billID(bill)] = bill
	b.unreplicated = append(b.unreplicated, unreplicatedBill{bill: bill, done: done})
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return done
}

// removeLogged removes bills that the log has, whichever VM reported them.
func (b *billTable) removeLogged(ids []jvledger.BillID) {
	if len(ids) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		delete(b.bills, id)
	}
}

func (b *billTable) takeUnreplicated() []unreplicatedBill {
	b.mu.Lock()
	defer b.mu.Unlock()
	unreplicated := b.unreplicated
	b.unreplicated = nil
	return unreplicated
}

// maxBills is the maximum number of bills in one record.
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

// replicateBills sends new bills to a witness, or to the log if no witness acknowledges them. A batch holds all bills that
// were added while the
// previous batch was being sent.
func (rt *Router) replicateBills() {
	for {
		select {
		case <-rt.ctx.Done():
			return
		case <-rt.bills.wake:
		}
		unreplicated := rt.bills.takeUnreplicated()
		if len(unreplicated) == 0 {
			continue
		}
		bills := make([]jvrecord.Bill, len(unreplicated))
		for i, b := range unreplicated {
			bills[i] = b.bill
		}
		if !rt.sendBills(bills) && !rt.logBills(bills) {
			rt.meter.Unreplicated.Add(len(bills))
		}
		for _, b := range unreplicated {
			close(b.done)
		}
	}
}

// sendBills sends bills to one witness after the other until one acknowledges them, and reports
// whether one did.
func (rt *Router) sendBills(bills []jvrecord.Bill) bool {
	for _, w := range rt.recentFirst(rt.current().witnessList()) {
		ctx, cancel := context.WithTimeout(rt.ctx, rt.options.Timing.PeerTimeout)
		ok := rt.requestMark(ctx, w, &jvpeer.MarkRequest{Bills: bills})
		cancel()
		if ok {
			return true
		}
	}
	return false
}

// logBills appends bills to the log at once, and reports whether it has them. The log may be away as well: then the caller
// waits no longer.
func (rt *Router) logBills(bills []jvrecord.Bill) bool {
	if !rt.journal.Reachable(rt.options.Timing.UnreachableAfter) {
		return false
	}
	ctx, cancel := context.WithTimeout(rt.ctx, rt.options.Timing.PeerTimeout)
	defer cancel()
	record := jvrecord.Record{Report: &jvrecord.Report{Bills: jvrecord.GroupBills(bills)}}
	verdicts, err := rt.journal.Submit(ctx, rt.current().origin, record)
	return err == nil && verdicts[0].Accepted()
}

// report appends the spent and returned tokens, loans and bills that the log does not have yet. It
// also evicts the holders whose origins are no longer open.
func (rt *Router) report() {
	s := rt.current()
	if rt.stopping.Load() || !rt.hasJoined(s) || !rt.reportDue() {
		return
	}
	rt.sendReport(rt.ctx, s)
	rt.holders.evict(func(holder string) bool { return !rt.originOpen(holder) })
}

// reportDue limits this VM's reports to its share of the log's appends. Only the report loop may call
// it, since it changes a field without a lock.
func (rt *Router) reportDue() bool {
	now := rt.options.Timer.Now()
	interval := time.Duration(1+len(rt.peers())) * rt.options.Timing.ReportSpacing
	if now.Sub(rt.lastReport) < interval {
		return false
	}
	rt.lastReport = now
	return true
}

// sendReport appends a session's report with this VM's bills and the overdue bills of the holders that
// it is a witness of.
func (rt *Router) sendReport(ctx context.Context, s *session) {
	r := s.report()
	overdue := rt.holders.overdueBills(rt.options.Timer.Now(), rt.options.Timing.SuspectAfter)
	r.Bills = jvrecord.GroupBills(append(rt.bills.list(), overdue...))
	if len(r.Accounts)+len(r.Loans)+len(r.Bills) == 0 {
		return
	}
	verdicts, err := rt.journal.Submit(ctx, s.origin, jvrecord.Record{Report: r})
	if err == nil && verdicts[0].Accepted() {
		s.confirm(r)
	}
}
