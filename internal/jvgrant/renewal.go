package jvgrant

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// renewal is what a router does after the log came back from an earlier copy of itself, which lacks the latest holdings
// and statements. Each router records again what it knows of them, its own first. No router takes tokens until all have
// done so, or could have: the free tokens of the copy include those that were taken after it.
type renewal struct {
	noticedAt time.Time
	// recorded is true once this router's own holdings are in the log again. It publishes nothing before, since a
	// statement of the new era shows the others that they are.
	recorded bool
	// partitions are those whose holdings are in the log again, as this router knows them.
	partitions map[int]bool
	// awaited are the routers of which nothing has been heard since.
	awaited map[string]awaitedRouter
	// processes are those of the statements before, of the routers that were awaited at first.
	processes map[string]int64
	// apart are the routers whose knowledge of others' takings the log lacks: they have started anew, or have said in
	// packets only what they hold themselves.
	apart map[string]bool
	// tolerated is how many routers may be silent or apart: the number of witnesses that each taking has.
	tolerated int
	// statements are the awaited routers' last statements before that the log lacks.
	statements map[string]Statement
	// abandoned is true once it is not waited for silent routers any more.
	abandoned bool
	over      bool
}

// awaitedRouter is a router of which nothing has been heard since the log was set back.
type awaitedRouter struct {
	// epoch and process are those of its last statement before; process is 0 if that does not name it.
	epoch   uint64
	process int64
	// parts are those of its answer that have arrived.
	parts map[int]bool
}

const (
	// abandonTime is how long a renewal waits for more routers than may be silent. Then what they can have spent by
	// their last statements counts as held by them.
	abandonTime = 20 * time.Second
	// renewalTime is how long routers wait for each other after the log was set back, besides two reads of their
	// statements.
	renewalTime = 2 * time.Second
	// eraRouter takes the place of a router in the key of a record whose two sums are the era up to which the
	// holdings of its partition are complete. Releases that don't know it read a holding of no workspace.
	eraRouter = "\x1fera"
	// rowPrefix begins the workspaces of rows that are of none.
	rowPrefix = "\x1f"
	// holdingPrefix begins the workspace of a row that has a holding: Used is what was granted, Lost what was
	// returned. Releases that don't know it read a row of no workspace.
	holdingPrefix = rowPrefix + "holding/"
)

// renewalLimit returns how long a renewal waits for routers that are silent, if they are few.
func (a *Allocator) renewalLimit() time.Duration {
	return renewalTime + 2*a.fleetSizeLocked().readInterval(a.options.ReadInterval, false)
}

// noticeEra records the era in a response of the log, and begins a renewal if it is a later one; a.mu must be held.
func (a *Allocator) noticeEra(era uint64) {
	if era <= a.era {
		return
	}
	before := a.era
	a.era = era
	if before == 0 || !a.restored {
		return
	}
	a.beginRenewal(false)
	a.publisher.epochClaimed = false
	a.publisher.epoch = a.nextEpoch(a.publisher.epoch)
	a.publisher.inDoubt = false // Late appends of the epoch before are rejected once the next one is claimed.
	a.publisher.end = 0
	a.abandonTakings()
	a.takeover.last = nil // Offsets of two eras don't order statements.
	a.options.Logger.Info("budgets set back", "era", era, "from", before, "routers", len(a.renewal.awaited))
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// beginRenewal begins a renewal; started is true if this process has just started. a.mu must be held.
func (a *Allocator) beginRenewal(started bool) {
	now := a.options.Timer.Now()
	r := &renewal{
		noticedAt: now, partitions: map[int]bool{}, awaited: map[string]awaitedRouter{}, apart: map[string]bool{},
		processes: map[string]int64{}, statements: map[string]Statement{},
	}
	if started {
		r.apart[a.options.Router] = true
	}
	newest := a.fleet.newestClock()
	for router, s := range a.fleet.statements {
		o, named := s.origin()
		silence := now.Sub(a.fleet.lastSeen[router])
		if started { // All statements have just been read, those of routers that are long gone, too.
			silence = newest.Sub(time.UnixMilli(s.ClockUnixMilli)) - maxClockSetback
		}
		if router == a.options.Router || silence >= livenessTimeout {
			continue
		}
		if named && r.tolerated < maxWitnesses {
			r.tolerated++
		}
		if !named || o.era != a.era {
			r.awaited[router] = awaitedRouter{epoch: s.Epoch, process: o.process}
			r.processes[router] = o.process
		}
	}
	if a.renewal != nil { // Set back twice: what the first copy lacked, the second one may lack too.
		maps.Copy(r.statements, a.renewal.statements)
	}
	a.renewal = r
}

// hear removes a router from those that are awaited or apart if its statement shows that the log has again what it knows.
func (r *renewal) hear(router string, s Statement, era uint64) {
	before, awaited := r.awaited[router]
	o, named := s.origin()
	if named && o.era != era || !named && (!awaited || s.Epoch <= before.epoch) {
		return
	}
	if awaited {
		delete(r.statements, router)
	}
	delete(r.awaited, router)
	delete(r.apart, router)
	if process := r.processes[router]; process != 0 && named && o.process != process {
		r.apart[router] = true
	}
}

// isComplete reports whether the log has all holdings whose tokens may be spent: those of all routers that were live, or of
// all but a few. A silent holder and its witnesses would be more than may be silent or apart.
func (r *renewal) isComplete(age, limit time.Duration) bool {
	silent := 0
	for _, awaited := range r.awaited {
		if awaited.process != 0 { // Routers of releases that name no process have no witnesses.
			silent++
		}
	}
	return len(r.awaited) == 0 || age >= limit && (silent == 0 || silent+len(r.apart) <= r.tolerated)
}

// countSilent counts what silent routers can have spent by their last statements as held by them; a.mu must be held.
func (a *Allocator) countSilent() {
	for router := range a.renewal.awaited {
		s := a.fleet.statements[router]
		silence := a.options.Timer.Since(a.fleet.lastSeen[router])
		for _, row := range s.Rows {
			if strings.HasPrefix(row.Workspace, rowPrefix) {
				continue
			}
			h, _ := a.fleet.Holding(row.Workspace, router)
			if excess := row.boundAfter(silence) - h.Net(); excess > 0 {
				a.learnHolding(router, newHeldRow(row.Workspace, Holding{Granted: h.Granted + excess, Returned: h.Returned}))
			}
		}
	}
	a.renewal.recorded = len(a.renewal.partitions) == len(a.partitions)
}

// mayTake reports whether tokens may be taken out of budgets; a.mu must be held.
func (a *Allocator) mayTake() bool { return a.renewal == nil || a.renewal.over }

// publishable reports whether a statement may be published; a.mu must be held.
func (a *Allocator) publishable() bool { return a.renewal == nil || a.renewal.recorded }

// renewStatements applies the listing of statements of a log that was set back.
func (a *Allocator) renewStatements(era uint64, records []jvkeyed.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noticeEra(era)
	listed := map[string]Statement{}
	for _, r := range records {
		if s, err := decodeStatement(r); err == nil {
			listed[r.Key] = s
			a.applyStatement(r.Key, s, a.options.Timer.Now())
		}
	}
	if a.renewal == nil {
		return
	}
	for router := range a.renewal.awaited {
		if s, known := a.fleet.statements[router]; known && s.newer(listed[router]) {
			a.renewal.statements[router] = s
		}
	}
}

// applyStatement stores a router's statement, unless it is older than the one that the log has lost; a.mu must be held.
func (a *Allocator) applyStatement(router string, s Statement, now time.Time) {
	for _, row := range s.Rows {
		if w, ok := row.holdingOf(); ok && (router != a.options.Router || !a.restored) {
			a.fleet.RaiseHolding(w, router, Holding{Granted: row.Used, Returned: row.Lost})
		}
	}
	a.witnessStatement(router, s)
	a.statementDue = a.statementDue || a.restored && a.isWitness(s)
	if r := a.renewal; r != nil && !r.over {
		r.hear(router, s, a.era)
		if old := a.fleet.statements[router]; old.newer(s) {
			return
		}
		if lost, ok := r.statements[router]; ok && !lost.newer(s) {
			delete(r.statements, router) // Another router has recorded it.
		}
	}
	a.fleet.SetStatement(router, s, now)
}

// renewGrants applies the listing of a partition of a log that was set back.
func (a *Allocator) renewGrants(p *partition, era uint64, records []jvkeyed.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noticeEra(era)
	a.issued = map[string]int64{}
	for _, w := range a.budgets() {
		a.issued[w] = a.escrow.Account(w).Granted
	}
	a.applyHoldings(p, records, true)
}

// ownHolding returns this router's holding as its account has it, or as an earlier process recorded it if that is more; a.mu
// must be held.
func (a *Allocator) ownHolding(workspace string) Holding {
	h, _ := a.fleet.Holding(workspace, a.options.Router)
	if a.restored {
		account := a.escrow.Account(workspace)
		h = h.Raised(Holding{Granted: account.Granted, Returned: account.Returned})
	}
	return h
}

// findLacking finds the holdings that are known and that the listing of a partition lacks; a.mu must be held.
func (a *Allocator) findLacking(p *partition, listed map[string]Holding) {
	p.lacking = map[string]jvkeyed.Record{}
	for w, routers := range a.fleet.holdings {
		if w == fenceWorkspace || a.partitions[a.partitionOf(w)] != p {
			continue
		}
		for router, h := range routers {
			if router == a.options.Router {
				h = a.ownHolding(w)
			}
			if r := h.Encode(router, w); h != listed[r.Key] {
				p.lacking[r.Key] = r
			}
		}
	}
}

// lack adds a holding to those that the partition has lost; the allocator's lock must be held.
func (p *partition) lack(r jvkeyed.Record) {
	if p.lacking == nil {
		p.lacking = map[string]jvkeyed.Record{}
	}
	p.lacking[r.Key] = r
}

// settleLacking removes a holding from those that the log lacks, if a record has it; the allocator's lock must be held.
func (p *partition) settleLacking(key string, h Holding) {
	r, ok := p.lacking[key]
	if !ok {
		return
	}
	if _, _, want, err := decodeHolding(r); err != nil || h == h.Raised(want) {
		delete(p.lacking, key)
	}
}

// lackingRecords returns the holdings that a partition lacks; a.mu must be held.
func (a *Allocator) lackingRecords(number int) []jvkeyed.Record {
	var list []jvkeyed.Record
	p := a.partitions[number]
	for _, key := range slices.Sorted(maps.Keys(p.lacking)) {
		router, w, h, err := decodeHolding(p.lacking[key])
		if err != nil {
			continue // Not reached: it was encoded here.
		}
		if router == a.options.Router {
			h = a.ownHolding(w) // Tokens may have been returned since.
		}
		list = append(list, h.Encode(router, w))
	}
	return list
}

// renew records again what the log has lost, and reports whether this router may go on as usual.
func (a *Allocator) renew(ctx context.Context) bool {
	a.mu.Lock()
	r := a.renewal
	a.mu.Unlock()
	if r == nil || r.over {
		return true
	}
	_ = a.callTopic(ctx, func(ctx context.Context) error { return a.statements.Poll(ctx, 0) }) // The follower logs failures.
	a.mu.Lock()
	var due []int
	for _, n := range a.allPartitions() {
		if !r.partitions[n] {
			due = append(due, n)
		}
	}
	a.mu.Unlock()
	a.eachPartition(ctx, due, a.renewPartition)
	a.askSilent()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.renewal != r {
		return false // The log was set back once more.
	}
	r.recorded = len(r.partitions) == len(a.partitions)
	age := a.options.Timer.Since(r.noticedAt)
	limit := a.renewalLimit()
	complete := r.isComplete(age, limit)
	if r.recorded && age >= abandonTime && !r.abandoned && !complete {
		r.abandoned = true
		a.countSilent()
	}
	switch {
	case !r.recorded:
	case r.abandoned, complete && (len(r.statements) == 0 || age >= limit):
		r.over = true
		a.options.Logger.Info("budgets complete again", "era", a.era, "after", age.String(), "silent", slices.Sorted(maps.Keys(r.awaited)),
			"apart", len(r.apart), "abandoned", r.abandoned)
	case (complete || age >= limit/2) && len(r.statements) > 0:
		a.mu.Unlock()
		a.recordStatements(ctx)
		a.mu.Lock()
	}
	return r.recorded
}

// renewPartition records again the holdings that a partition lacks, and reports whether it has them all.
func (a *Allocator) renewPartition(ctx context.Context, number int) bool {
	const maxTries = 8
	p := a.partitions[number]
	for try := range maxTries {
		if try > 0 {
			a.backOff(ctx, try)
		}
		if a.callTopic(ctx, func(ctx context.Context) error { return p.follower.Poll(ctx, 0) }) != nil {
			return false // The follower logs it.
		}
		at := p.follower.Next()
		a.mu.Lock()
		records := a.lackingRecords(number)
		if len(records) == 0 && at.Era == a.era {
			a.renewal.partitions[number] = true
		}
		a.mu.Unlock()
		if len(records) == 0 {
			return true
		}
		end, err := a.appendAt(ctx, p, at, records)
		if err == nil {
			a.options.Logger.Info("holdings recorded again", "partition", number, "era", end.Era, "at", at.Offset, "records", len(records))
			continue // The next read shows whether that was in the same era.
		}
		if jvfault.KindOf[jvkeyed.Kind](err) != jvkeyed.KindConflict {
			a.options.Logger.Info("holdings not confirmed", "partition", number, "era", at.Era, "at", at.Offset, "records", len(records), "cause", err.Error())
			return false
		}
	}
	return false
}

// appendAt appends records to a partition at a position, and applies them.
func (a *Allocator) appendAt(ctx context.Context, p *partition, at jvkeyed.Mark, records []jvkeyed.Record) (jvkeyed.Mark, error) {
	var end jvkeyed.Mark
	err := a.callTopic(ctx, func(ctx context.Context) error {
		var err error
		end, err = p.topic.AppendAt(ctx, at.Offset, records)
		return err
	})
	if err == nil {
		p.follower.Advance(at, end, records)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noticeEra(end.Era)
	return end, err
}

// recordStatements records again the last statements of routers that have published none since the log was set back: their
// next processes need them. The condition on the topic's end keeps newer ones in force.
func (a *Allocator) recordStatements(ctx context.Context) {
	a.mu.Lock()
	var records []jvkeyed.Record
	for _, router := range slices.Sorted(maps.Keys(a.renewal.statements)) {
		s := a.renewal.statements[router]
		s.ReadOffset = 0 // It is one of the era before.
		records = append(records, s.Encode(router))
	}
	a.mu.Unlock()
	at := a.statements.Next()
	err := a.callTopic(ctx, func(ctx context.Context) error {
		end, err := a.options.Statements.AppendAt(ctx, at.Offset, records)
		if err == nil {
			a.statements.Advance(at, end, records)
		}
		return err
	})
	if err != nil && jvfault.KindOf[jvkeyed.Kind](err) != jvkeyed.KindConflict {
		a.options.Logger.Info("statements not recorded again", "era", at.Era, "at", at.Offset, "records", len(records), "cause", err.Error())
	}
}

// eraRecord returns the record that shows that the holdings of a partition are complete up to an era.
func eraRecord(era uint64) jvkeyed.Record {
	return Holding{Granted: int64(era), Returned: int64(era)}.Encode(eraRouter, fenceWorkspace)
}

// isUnmarked reports whether a partition has no record of the era up to which its holdings are complete.
func (a *Allocator) isUnmarked(p *partition) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return p.completeEra == 0
}

// isIncomplete reports whether a partition's holdings may be incomplete, since the log was set back and nobody has shown that
// they are complete; a.mu must be held.
func (p *partition) isIncomplete() bool {
	return p.completeEra != 0 && p.completeEra != p.follower.Next().Era
}

// startsIncomplete reports whether a partition's holdings may be incomplete although this router has waited for others that
// know more; a.mu must be held.
func (a *Allocator) startsIncomplete() bool {
	return slices.ContainsFunc(a.partitions, (*partition).isIncomplete)
}

// awaitsRenewal reports whether the holdings of a partition may still be incomplete for a router that starts: the log was
// set back, and no router has shown since that they are complete. It ends after a time, when nobody is left who knows more.
func (a *Allocator) awaitsRenewal(p *partition) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return p.isIncomplete() &&
		a.options.ReadClocks().Uptime-a.startedAt.Uptime < a.renewalLimit()+renewalTime
}
