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

// crashes is this VM's own memory of target crashes, ahead of the log's.
type crashes struct {
	// limit is the number of target crashes after which a request is run no more.
	limit int

	mu   sync.Mutex
	seen *jvledger.ExpiringMap[jvledger.Key, []string]
}

// newCrashes returns an empty memory with the limit and window of the fold's.
func newCrashes(r jvledger.Rules) *crashes {
	return &crashes{limit: r.QuarantineCrashes, seen: jvledger.NewExpiringMap[jvledger.Key, []string](r.PoisonWindow)}
}

func (c *crashes) note(digest []byte, target, instance string) {
	k, ok := jvledger.KeyOf(digest)
	if !ok {
		return
	}
	crash := target + "/" + instance
	c.mu.Lock()
	defer c.mu.Unlock()
	list, _ := c.seen.Get(k)
	if len(list) < c.limit && !slices.Contains(list, crash) {
		c.seen.Put(k, append(slices.Clone(list), crash))
	}
}

func (c *crashes) advance(now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.Advance(now)
}

func (c *crashes) count(digest jvledger.Key) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	list, _ := c.seen.Get(digest)
	return len(list)
}

// quarantined tells whether a request has been part of too many target crashes, here or
// anywhere in the fleet.
func (f *Fleet) quarantined(digest jvledger.Key) (hit bool) {
	if f.crashes.count(digest) >= f.crashes.limit {
		return true
	}
	f.journal.View(func(state *jvledger.State) { hit = state.Quarantined(digest) })
	return hit
}

// inspect finds out whether a target whose answer broke off has crashed: it refuses
// connections, or runs as another instance than it last reported. Every request that was
// under way on it is then noted, here, at the peers and in the log.
func (f *Fleet) inspect(l jvtarget.Lease, before string) bool {
	ctx, cancel := context.WithTimeout(f.ctx, f.options.Pace.PeerTimeout)
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
		f.crashes.note(d, l.Target.Name, before)
		records = append(records, jvrecord.Record{Poison: &jvrecord.Poison{Digest: d, Target: l.Target.Name, Attempt: before}})
	}
	f.shareCrashes(digests, l.Target.Name, before)
	s := f.current()
	f.spawn(func() { _, _ = f.journal.Submit(f.ctx, s.origin, records...) })
	return true
}

// shareCrashes tells the peers at once; the log tells those who can't be reached.
func (f *Fleet) shareCrashes(digests [][]byte, target, instance string) {
	for _, p := range f.peers() {
		f.spawn(func() {
			ctx, cancel := context.WithTimeout(f.ctx, f.options.Pace.PeerTimeout)
			defer cancel()
			for _, d := range digests {
				share := &jvpeer.CrashNotice{Digest: d, Target: target, Attempt: instance}
				_, _ = f.ask(ctx, p, jvpeer.Request{Crash: share})
			}
		})
	}
}
