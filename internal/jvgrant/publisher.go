package jvgrant

import (
	"context"
	"math"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// publisher publishes this router's statements, one at a time. The allocator's lock guards it.
type publisher struct {
	epoch    uint64
	sequence uint64
	// published is the newest statement known to be in the topic, pending one whose append is not
	// confirmed; spending must stay within the bounds of both.
	published *Statement
	pending   *Statement
	// inDoubt is true while an append of pending may still take effect; pending must not be replaced
	// until then.
	inDoubt bool
	// epochClaimed is true once the topic rejects appends of earlier epochs. Nothing is published
	// before: a late statement of an earlier process must not replace one of this process.
	epochClaimed bool
	// end is where the topic ended after the last statement.
	end uint64
}

// epochRange is the range of the random part by which an epoch exceeds the last known one, so that
// two processes that know the same last epoch don't choose the same next one.
const epochRange = 1 << 31

func (a *Allocator) nextEpoch(last uint64) uint64 {
	return last + 1 + uint64(a.options.Random()*epochRange)
}

// allows reports whether spending up to use is within the published bound and within the pending one.
func (p *publisher) allows(workspace string, use int64, uptime time.Duration) bool {
	if p.published == nil {
		return false
	}
	if bound, ok := p.published.SpendingBound(workspace, uptime); !ok || use > bound {
		return false
	}
	if p.pending == nil {
		return true
	}
	bound, ok := p.pending.SpendingBound(workspace, uptime)
	return ok && use <= bound
}

// claimEpoch makes the topic reject appends of earlier processes of this router that are still in
// flight. It chooses a higher epoch where the topic has seen one above this process's.
func (a *Allocator) claimEpoch(ctx context.Context) error {
	const maxTries = 8
	var err error
	for range maxTries {
		a.mu.Lock()
		epoch, claimed := a.publisher.epoch, a.publisher.epochClaimed
		a.mu.Unlock()
		if claimed {
			return nil
		}
		var end jvkeyed.Mark
		end, err = a.options.Statements.Append(ctx, jvkeyed.Producer{Name: a.options.Router, Epoch: epoch}, nil)
		a.mu.Lock()
		a.noticeEra(end.Era)
		switch jvfault.KindOf[jvkeyed.Kind](err) {
		case "", jvkeyed.KindRepeated:
			a.publisher.epochClaimed = a.publisher.epoch == epoch // Else the era has changed.
			a.publisher.sequence = 0                              // The store may count from the claim.
			a.options.Logger.Info("epoch claimed", "epoch", epoch)
		case jvkeyed.KindFenced:
			a.publisher.epoch = a.nextEpoch(2 * epoch)
		default:
			a.mu.Unlock()
			a.options.Logger.Info("epoch not claimed", "epoch", epoch, "era", end.Era, "cause", err.Error())
			return err
		}
		a.mu.Unlock()
	}
	return err
}

// publish appends the pending statement while an append of it is in doubt, otherwise a new statement
// where one is due.
func (a *Allocator) publish(ctx context.Context) error {
	if err := a.claimEpoch(ctx); err != nil {
		return err
	}
	a.mu.Lock()
	if !a.publishable() {
		a.mu.Unlock()
		return nil
	}
	p := &a.publisher
	if !p.inDoubt {
		next, due := a.newStatement()
		if !due {
			a.mu.Unlock()
			return nil
		}
		p.pending = &next
		a.statementDue = false
	}
	statement := *p.pending
	producer := jvkeyed.Producer{Name: a.options.Router, Epoch: p.epoch, Sequence: p.sequence}
	a.mu.Unlock()

	end, err := a.options.Statements.Append(ctx, producer, []jvkeyed.Record{statement.Encode(a.options.Router)})

	a.mu.Lock()
	defer a.mu.Unlock()
	a.noticeEra(end.Era)
	if err == nil && p.epoch != producer.Epoch {
		err = jvfault.Newf("publish", KindUnready, "the log was set back to era %d, and may have lost the statement", a.era)
	}
	kind := jvfault.KindOf[jvkeyed.Kind](err)
	switch {
	case err == nil, kind == jvkeyed.KindRepeated:
		p.published = &statement
		a.noteStated(statement, end.Offset)
		p.end = max(p.end, end.Offset)
		p.pending = nil
		p.inDoubt = false
		p.sequence++
		return nil
	case p.epoch != producer.Epoch: // The log was set back meanwhile, and the next statement has another epoch.
	case kind.NoEffect():
		if !p.inDoubt {
			p.pending = nil
		}
	case kind == jvkeyed.KindSequence:
		// The topic lacks statements that it has confirmed, in a log that names no era.
		p.epochClaimed = false
		p.epoch = a.nextEpoch(p.epoch)
	case kind == jvkeyed.KindFenced:
		// An earlier process's claim of an epoch took effect late. It has published nothing in it.
		p.epochClaimed = false
		p.epoch = a.nextEpoch(2 * p.epoch)
	default:
		p.inDoubt = true
	}
	a.options.Logger.Info("statement not confirmed", "kind", string(kind), "era", end.Era, "epoch", producer.Epoch, "sequence", producer.Sequence, "cause", err.Error())
	return err
}

// newStatement returns a statement on all budgets and whether it is due; a.mu must be held.
func (a *Allocator) newStatement() (Statement, bool) {
	c := a.options.ReadClocks()
	s := Statement{
		Epoch:          a.publisher.epoch,
		BootID:         c.BootID,
		UptimeNanos:    int64(c.Uptime),
		ClockUnixMilli: c.WallClock.UnixMilli(),
		ReadOffset:     max(a.statements.NextOffset(), a.publisher.end),
	}
	asked := a.stateTakings()
	due := a.publisher.published == nil || a.publisher.published.Epoch != s.Epoch || asked > 0 || a.statementDue // Others wait for one of the epoch.
	s.Rows = append(s.Rows, origin{era: a.era, readOffset: a.statements.NextOffset(), process: a.process}.row())
	for _, w := range a.budgets() {
		r := a.newRow(w)
		due = due || a.rowDue(r, c.Uptime)
		s.Rows = append(s.Rows, r)
	}
	for _, w := range a.budgets() {
		if h, recorded := a.fleet.Holding(w, a.options.Router); recorded {
			s.Rows = append(s.Rows, holdingRow(w, h))
		}
	}
	s.Rows = append(s.Rows, a.witnessRows(asked)...)
	return s, due
}

// newRow returns the row of a budget as of now. While there is no demand, the bound is derived from the
// tokens that the router holds; a.mu must be held.
func (a *Allocator) newRow(workspace string) Row {
	account := a.escrow.Account(workspace)
	r := Row{
		Workspace: workspace,
		Used:      max(0, account.Spent-a.lost[workspace]),
		Lost:      a.lost[workspace],
		Committed: account.Committed(),
		Shortfall: a.shortfall(workspace),
	}
	if d := a.demands[workspace]; d != nil {
		r.DemandRate = d.rate()
		r.TypicalRequest = d.typicalRequest()
		r.BoundRate = r.DemandRate
		r.Headroom = d.headroom(r.BoundRate)
	}
	if r.BoundRate == 0 {
		held := account.Available()
		r.BoundRate = int64(float64(held) / a.options.Policy.Horizon.Seconds())
		r.Headroom = max(r.Headroom, held/assumedRequests)
	}
	r.Headroom = max(r.Headroom, min(a.ampleHeadroom(workspace), maxHeadroomRequests*r.TypicalRequest))
	r.Headroom = max(min(r.Headroom, a.maxHeadroom(workspace)), a.waiting(workspace))
	return r
}

// ampleHeadroom returns the headroom that a bound may have in any case, since all routers together lose
// no more than ampleHeadroomShare of the budget by it. Without it, a router that has seen one request of
// a workspace could not serve the next ones while the store is away. a.mu must be held.
func (a *Allocator) ampleHeadroom(workspace string) int64 {
	prepaid, _ := a.options.Prepaid(workspace)
	share := ampleHeadroomShare
	if a.pooled {
		share = pooledHeadroomShare
	}
	return int64(share * float64(prepaid) / float64(a.routers()))
}

// ampleHeadroomShare and pooledHeadroomShare are shares of a budget that are small against fleetHeadroomShare. Few routers
// that serve all requests divide theirs into larger parts, of a few requests each.
const (
	ampleHeadroomShare  = 0.005
	pooledHeadroomShare = 0.02
)

// maxHeadroom returns the maximum headroom of a bound. It is unlimited in a small fleet; in a large one
// it is the router's part of fleetHeadroomShare, since the headroom of every router counts as lost
// when all of them are killed together. Where it is less than a request, each request waits for a
// statement. a.mu must be held.
func (a *Allocator) maxHeadroom(workspace string) int64 {
	if !a.fleetSizeLocked().large() {
		return math.MaxInt64
	}
	prepaid, _ := a.options.Prepaid(workspace)
	return int64(fleetHeadroomShare * float64(prepaid) / float64(a.routers()))
}

// fleetHeadroomShare is the share of a budget that the headrooms of all routers in a large fleet make
// up together. It is how much of a budget may become unusable at the platform's sites.
const fleetHeadroomShare = 0.03

// shortfall returns what requests wait for and this router neither holds nor can take, so that
// others have to return it; a.mu must be held.
func (a *Allocator) shortfall(workspace string) int64 {
	waiting := a.waiting(workspace)
	if waiting == 0 {
		return 0
	}
	in, _ := a.policyInput(workspace)
	return max(0, waiting-in.Available-max(0, in.free()))
}

const (
	// assumedRequests is how many requests the held tokens are assumed to serve while no demand is
	// known.
	assumedRequests = 10
)

// rowDue reports whether a row must be published: none is published yet, the shortfall has changed,
// the published bound leaves too little headroom, or the committed tokens have changed and the
// published row is old or leaves so much headroom that a restart would lose more than necessary;
// a.mu must be held.
func (a *Allocator) rowDue(now Row, uptime time.Duration) bool {
	published, ok := a.publisher.published.row(now.Workspace)
	if !ok {
		return true
	}
	age := uptime - time.Duration(a.publisher.published.UptimeNanos)
	headroom := published.boundAfter(max(age, 0)) - now.Committed
	if now.Shortfall != published.Shortfall || headroom < max(now.Headroom*2/3, a.waiting(now.Workspace)) {
		return true
	}
	return now.Committed != published.Committed && (headroom > excessHeadroomFactor*now.Headroom || age > a.fleetSizeLocked().scale(a.options.MaxReportDelay))
}

// excessHeadroomFactor is the multiple of a new row's headroom above which the headroom that the
// published bound leaves counts as too much.
const excessHeadroomFactor = 3
