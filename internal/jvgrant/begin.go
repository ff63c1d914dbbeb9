package jvgrant

import (
	"context"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// begin reads both topics completely, restores what the router's previous process held, and reports
// whether the first statement was published.
func (a *Allocator) begin(ctx context.Context) bool {
	err := a.callTopic(ctx, func(ctx context.Context) error { return a.statements.Poll(ctx, 0) })
	if err != nil || !a.options.ConfigLoaded() {
		return false // The follower logs failed calls.
	}
	if a.eachPartition(ctx, a.allPartitions(), a.fenceFailed) {
		return false
	}
	a.mu.Lock()
	a.restoreHoldings()
	a.restored = true
	if a.startsIncomplete() {
		a.beginRenewal(true) // The routers that were live before have started anew, too.
	}
	a.options.Logger.Info("budgets read", "epoch", a.publisher.epoch, "grants", a.offsets(), "statements", a.statements.NextOffset())
	a.mu.Unlock()
	_ = a.callTopic(ctx, func(ctx context.Context) error { a.readHistory(ctx); return nil })
	return a.publishIfDue(ctx)
}

// fenceFailed fences a partition and reports whether that failed.
func (a *Allocator) fenceFailed(ctx context.Context, number int) bool {
	err := a.fence(ctx, a.partitions[number])
	if err != nil {
		a.options.Logger.Info("partition of the grants not fenced yet", "partition", number, "cause", err.Error())
	}
	return err != nil
}

// fence reads a partition of the grants and appends a record to it. This moves the partition's end,
// so that no conditional append of an earlier process of this router can still succeed: a late one
// that returns tokens would let other routers take what this process spends. An append by another
// router moves the end as well.
func (a *Allocator) fence(ctx context.Context, p *partition) error {
	read := func(ctx context.Context) error { return p.follower.Poll(ctx, 0) }
	if err := a.callTopic(ctx, read); err != nil {
		return err
	}
	at := p.follower.Next()
	if a.awaitsRenewal(p) {
		return jvfault.Newf("fence", KindUnready, "the log was set back to era %d, and its holdings may be incomplete", at.Era)
	}
	records := []jvkeyed.Record{Holding{}.Encode(a.options.Router, fenceWorkspace)}
	if a.isUnmarked(p) && at.Era != 0 {
		records = append(records, eraRecord(at.Era))
	}
	_, err := a.appendAt(ctx, p, at, records)
	if jvfault.KindOf[jvkeyed.Kind](err) == jvkeyed.KindConflict {
		return a.callTopic(ctx, read) // The conflicting append may be a late one of the earlier process.
	}
	return err
}

// fenceWorkspace takes the place of a workspace in the key of the record that fence appends.
const fenceWorkspace = ""
