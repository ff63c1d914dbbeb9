package jvfleet

import (
	"context"
	"slices"
	"sync"

	"github.com/jasminevale/jasminevale/internal/jvengine"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// crashTable counts the target crashTable that this VM has seen or that peers have sent, some of
// which the log may not have yet.
type crashTable struct {
	// limit is the number of target crashes from which on a request is quarantined.
	limit int

	mu        sync.Mutex
	byRequest *jvledger.ExpiringMap[jvledger.Key, []string]
}

// newCrashTable returns an empty table with the limit and window of the state machine.
func newCrashTable(r jvledger.Rules) *crashTable {
	return &crashTable{limit: r.QuarantineCrashes, byRequest: jvledger.NewExpiringMap[jvledger.Key, []string](r.PoisonWindow)}
}

func (c *crashTable) add(digest []byte, target, instance string) {
	k, ok := jvledger.KeyOf(digest)
	if !ok {
		return
	}
	crash := target + "/" + instance
	c.mu.Lock()
	defer c.mu.Unlock()
	list, _ := c.byRequest.Get(k)
	if len(list) < c.limit && !slices.Contains(list, crash) {
		c.byRequest.Put(k, append(slices.Clone(list), crash))
	}
}

func (c *crashTable) advance(now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byRequest.Advance(now)
}

func (c *crashTable) count(digest jvledger.Key) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	list, _ := c.byRequest.Get(digest)
	return len(list)
}

// quarantined reports whether a request was running during too many target crashes, as counted
// by this VM or by the log.
func (f *Router) quarantined(digest jvledger.Key) (hit bool) {
	if f.crashes.count(digest) >= f.crashes.limit {
		return true
	}
	f.journal.View(func(state *jvledger.State) { hit = state.Quarantined(digest) })
	return hit
}

// detectCrash reports whether a target whose answer broke off has crashed: it refuses connections,
// or reports another instance than before. It then records the crash for every request that was
// running on the target, here, at the peers and in the log.
func (f *Router) detectCrash(l jvtarget.Lease, before string) bool {
	ctx, cancel := context.WithTimeout(f.ctx, f.options.Timing.PeerTimeout)
	defer cancel()
	load, err := f.options.Targets.Load(ctx, l.Target)
	refused := jvfault.KindOf[jvengine.Kind](err) == jvengine.KindUnsent
	replaced := err == nil && before != "" && load.Instance != before
	if !refused && !replaced {
		return false
	}
	digests := f.targets.RecordCrash(l, before)
	if len(digests) == 0 {
		return true
	}
	f.meter.Crashes.Inc()
	f.options.Logger.Info("target crashed", "target", l.Target.Name, "instance", before, "requests", len(digests))
	var records []jvrecord.Record
	for _, d := range digests {
		f.crashes.add(d, l.Target.Name, before)
		records = append(records, jvrecord.Record{Poison: &jvrecord.Poison{Digest: d, Target: l.Target.Name, Attempt: before}})
	}
	f.publishCrashes(digests, l.Target.Name, before)
	s := f.current()
	f.spawn(func() { _, _ = f.journal.Submit(f.ctx, s.origin, records...) })
	return true
}

// publishCrashes sends crashes to the peers, since the log is slower; unreachable peers get them
// from the log.
func (f *Router) publishCrashes(digests [][]byte, target, instance string) {
	for _, p := range f.peers() {
		f.spawn(func() {
			ctx, cancel := context.WithTimeout(f.ctx, f.options.Timing.PeerTimeout)
			defer cancel()
			for _, d := range digests {
				share := &jvpeer.CrashNotice{Digest: d, Target: target, Attempt: instance}
				_, _ = f.send(ctx, p, jvpeer.Request{Crash: share})
			}
		})
	}
}
