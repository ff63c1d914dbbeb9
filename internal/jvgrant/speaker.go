package jvgrant

import (
	"context"
	"math"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// speaker makes this router's statements, one at a time. The keeper's lock guards it.
type speaker struct {
	epoch    uint64
	sequence uint64
	// told is the statement that the topic has, pending one that it may get; both bind.
	told    *Statement
	pending *Statement
	// unsure is true while an append of pending may still be carried out: then it must not be
	// replaced by another one.
	unsure bool
	// claimed is true once the topic refuses what earlier epochs append. Nothing is stated before:
	// a late statement of an earlier start must not take the place of one of this start.
	claimed bool
	// end is where the topic ended after the last statement.
	end uint64
}

// epochRange is the range of the random part by which an epoch exceeds the last that is known,
// so that two starts which know the same do not take the same.
const epochRange = 1 << 31

func (k *Allocator) nextEpoch(last uint64) uint64 {
	return last + 1 + uint64(k.options.Random()*epochRange)
}

// allows tells whether spending up to use is within what has been stated.
func (p *speaker) allows(workspace string, use int64, uptime time.Duration) bool {
	if p.told == nil {
		return false
	}
	if limit, ok := p.told.SpendingBound(workspace, uptime); !ok || use > limit {
		return false
	}
	if p.pending == nil {
		return true
	}
	limit, ok := p.pending.SpendingBound(workspace, uptime)
	return ok && use <= limit
}

// claim makes the topic refuse what earlier starts of this router may still append.
func (k *Allocator) claim(ctx context.Context) error {
	const tries = 8
	var err error
	for range tries {
		k.mu.Lock()
		epoch, claimed := k.speaker.epoch, k.speaker.claimed
		k.mu.Unlock()
		if claimed {
			return nil
		}
		_, err = k.options.Statements.Append(ctx, jvkeyed.Producer{Name: k.options.Router, Epoch: epoch}, nil)
		k.mu.Lock()
		switch jvfault.KindOf[jvkeyed.Kind](err) {
		case "", jvkeyed.KindRepeated:
			k.speaker.claimed = true
			k.options.Logger.Info("epoch claimed", "epoch", epoch)
		case jvkeyed.KindFenced:
			k.speaker.epoch = k.nextEpoch(2 * epoch)
		default:
			k.mu.Unlock()
			k.options.Logger.Info("epoch not claimed", "epoch", epoch, "cause", err.Error())
			return err
		}
		k.mu.Unlock()
	}
	return err
}

// speak appends the pending statement, or a new one where none may still be carried out.
func (k *Allocator) speak(ctx context.Context) error {
	if err := k.claim(ctx); err != nil {
		return err
	}
	k.mu.Lock()
	p := &k.speaker
	if !p.unsure {
		next, due := k.compose()
		if !due {
			k.mu.Unlock()
			return nil
		}
		p.pending = &next
	}
	statement := *p.pending
	producer := jvkeyed.Producer{Name: k.options.Router, Epoch: p.epoch, Sequence: p.sequence}
	k.mu.Unlock()

	end, err := k.options.Statements.Append(ctx, producer, []jvkeyed.Record{statement.Encode(k.options.Router)})

	k.mu.Lock()
	defer k.mu.Unlock()
	switch jvfault.KindOf[jvkeyed.Kind](err) {
	case "", jvkeyed.KindRepeated:
		p.told = &statement
		p.end = max(p.end, end)
		p.pending = nil
		p.unsure = false
		p.sequence++
		return nil
	case jvkeyed.KindRefused:
		if !p.unsure {
			p.pending = nil
		}
	case jvkeyed.KindFenced:
		// An earlier start's claim was carried out late; it has stated nothing with it.
		p.claimed = false
		p.epoch = k.nextEpoch(2 * p.epoch)
	default:
		p.unsure = true
	}
	k.options.Logger.Info("statement not confirmed", "epoch", producer.Epoch, "sequence", producer.Sequence, "cause", err.Error())
	return err
}

// compose makes a statement of all budgets and tells whether it is due; k.mu must be held.
func (k *Allocator) compose() (Statement, bool) {
	m := k.options.ReadClocks()
	s := Statement{
		Epoch:          k.speaker.epoch,
		BootID:         m.BootID,
		UptimeNanos:    int64(m.Uptime),
		ClockUnixMilli: m.WallClock.UnixMilli(),
		ReadOffset:     max(k.statements.Next(), k.speaker.end),
	}
	due := k.speaker.told == nil
	for _, w := range k.budgets() {
		r := k.row(w)
		due = due || k.rowDue(r, m.Uptime)
		s.Rows = append(s.Rows, r)
	}
	return s, due
}

func (k *Allocator) row(workspace string) Row {
	a := k.escrow.Account(workspace)
	r := Row{
		Workspace: workspace,
		Used:      max(0, a.Spent-k.lost[workspace]),
		Lost:      k.lost[workspace],
		Committed: a.Committed(),
		Shortfall: k.lacking(workspace),
	}
	if d := k.demands[workspace]; d != nil {
		r.DemandRate = d.rate()
		r.TypicalRequest = d.typical()
		r.BoundRate = r.DemandRate
		r.Headroom = d.room(r.BoundRate)
	}
	if r.BoundRate == 0 {
		held := a.Available()
		r.BoundRate = int64(float64(held) / k.options.Policy.Horizon.Seconds())
		r.Headroom = max(r.Headroom, held/unknownRequests)
	}
	r.Headroom = max(min(r.Headroom, k.roomLimit(workspace)), k.wanted(workspace))
	return r
}

// roomLimit bounds the room that a bound of a large fleet's router leaves at once, so that all
// routers that die together lose no more than a part of the budget with it. Where it is less than
// a request, each request waits for a statement. k.mu must be held.
func (k *Allocator) roomLimit(workspace string) int64 {
	if !k.pace().large() {
		return math.MaxInt64
	}
	prepaid, _ := k.options.Prepaid(workspace)
	return int64(roomShare * float64(prepaid) / float64(k.routers()))
}

// roomShare is the part of a budget that may stay out of reach at the users' sites.
const roomShare = 0.03

// lacking returns what requests wait for that this router neither holds nor can take, so that
// others have to give it back; k.mu must be held.
func (k *Allocator) lacking(workspace string) int64 {
	wanted := k.wanted(workspace)
	if wanted == 0 {
		return 0
	}
	s, _ := k.situation(workspace)
	return max(0, wanted-s.Available-max(0, s.free()))
}

const (
	// unknownRequests is how many requests a budget's part is taken to be worth while no
	// demand is known.
	unknownRequests = 10
)

// rowDue tells whether the bound that has been stated leaves too little room, or so much that
// a restart would lose more than it has to, or is old.
func (k *Allocator) rowDue(now Row, uptime time.Duration) bool {
	told, ok := k.speaker.told.row(now.Workspace)
	if !ok {
		return true
	}
	age := uptime - time.Duration(k.speaker.told.UptimeNanos)
	room := told.after(max(age, 0)) - now.Committed
	if now.Shortfall != told.Shortfall || room < max(now.Headroom*2/3, k.wanted(now.Workspace)) {
		return true
	}
	return now.Committed != told.Committed && (room > spareSizes*now.Headroom || age > k.pace().stretch(k.options.MaxReportDelay))
}

// spareSizes is the room, in typical requests, from which on a bound is stated anew.
const spareSizes = 3
