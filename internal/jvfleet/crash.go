package jvfleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvengine"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// crashTable counts the target crashes that this VM has seen or that peers have sent, some of
// which the log may not have yet.
type crashTable struct {
	// limit is the number of target crashes from which on a request is quarantined.
	limit int

	mu sync.Mutex
	// byRequest has the crashes by the request's digest, each as "target/instance".
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

// quarantinedUntil returns when a request's quarantine ends, in Unix milliseconds, or 0 if this VM knows
// too few crashes.
func (c *crashTable) quarantinedUntil(digest jvledger.Key) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list, _ := c.byRequest.Get(digest); len(list) < c.limit {
		return 0
	}
	return c.byRequest.ExpiresAt(digest)
}

// quarantine returns the problem of a request that was running during too many target crashes, as counted
// by this VM or by the log, or nil.
func (rt *Router) quarantine(digest jvledger.Key) *Problem {
	until := rt.crashes.quarantinedUntil(digest)
	rt.journal.View(func(state *jvledger.State) { until = max(until, state.QuarantinedUntil(digest)) })
	// The log's own time advances with its entries only, so that in an idle fleet it is behind.
	left := time.Duration(until-rt.options.Timer.Now().UnixMilli()) * time.Millisecond
	if left <= 0 {
		return nil
	}
	return &Problem{Name: ProblemQuarantined, Message: messageQuarantined, RetryAfter: max(left, time.Second)}
}

// detectCrash reports whether a target whose answer broke off has crashed: it refuses connections,
// or its load report names an instance other than the one it reported before. It then records the crash
// for every request that was running on the target, here, at the peers and in the log. The lease must not
// have been released.
func (rt *Router) detectCrash(l jvtarget.Lease) bool {
	instance, brokeAt := rt.targets.Instance(l), rt.options.Timer.Now()
	ctx, cancel := context.WithTimeout(rt.ctx, rt.options.Timing.PeerTimeout)
	defer cancel()
	load, err := rt.options.Targets.Load(ctx, l.Target)
	refused := jvfault.KindOf[jvengine.Kind](err) == jvengine.KindUnsent
	replaced := err == nil && instance != "" && load.Instance != instance
	if !refused && !replaced {
		return false
	}
	digests := rt.targets.RecordCrash(l, brokeAt)
	if len(digests) == 0 {
		return true
	}
	if instance == "" {
		instance = unreportedInstance + l.Attempt
	}
	rt.meter.Crashes.Inc()
	rt.options.Logger.Info("target crashed", "target", l.Target.Name, "instance", instance, "requests", len(digests))
	var records []jvrecord.Record
	for _, d := range digests {
		rt.crashes.add(d, l.Target.Name, instance)
		records = append(records, jvrecord.Record{Poison: &jvrecord.Poison{Digest: d, Target: l.Target.Name, Instance: instance}})
	}
	rt.publishCrashes(digests, l.Target.Name, instance)
	s := rt.current()
	rt.spawn(func() { _, _ = rt.journal.Submit(rt.ctx, s.origin, records...) })
	return true
}

// unreportedInstance begins the name of an instance that reported no name; the attempt's ID follows, so
// that the crashes of such a target are told apart.
const unreportedInstance = "attempt:"

// publishCrashes sends crashes to the peers, since the log is slower; unreachable peers get them
// from the log.
func (rt *Router) publishCrashes(digests [][]byte, target, instance string) {
	for _, p := range rt.peers() {
		rt.spawn(func() {
			ctx, cancel := context.WithTimeout(rt.ctx, rt.options.Timing.PeerTimeout)
			defer cancel()
			for _, d := range digests {
				notice := &jvpeer.CrashNotice{Digest: d, Target: target, Instance: instance}
				_, _ = rt.send(ctx, p, jvpeer.Request{Crash: notice})
			}
		})
	}
}
