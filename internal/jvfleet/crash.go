package jvfleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
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
	// withProgress has the crashes of targets that had sent part of the answer. They do not count in
	// byRequest, since their targets ran the request for a while.
	withProgress *jvledger.ExpiringMap[jvledger.Key, []string]
	// byPart has the number of crashes of each part of prompts that followed one another.
	byPart *jvledger.ExpiringMap[jvledger.Key, int]
}

// crashesWithProgress is the number of crashes with progress that count as one without.
const crashesWithProgress = 2

// newCrashTable returns an empty table with the limit and window of the state machine.
func newCrashTable(r jvledger.Rules) *crashTable {
	return &crashTable{
		limit:        r.QuarantineCrashes,
		byRequest:    jvledger.NewExpiringMap[jvledger.Key, []string](r.PoisonWindow),
		withProgress: jvledger.NewExpiringMap[jvledger.Key, []string](r.PoisonWindow),
		byPart:       jvledger.NewExpiringMap[jvledger.Key, int](r.PoisonWindow),
	}
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

// addWithProgress adds a crash of a target that had sent part of the answer. It reports whether the
// crashes of this kind now count as one more without progress.
func (c *crashTable) addWithProgress(digest []byte, target, instance string) bool {
	k, ok := jvledger.KeyOf(digest)
	if !ok {
		return false
	}
	crash := target + "/" + instance
	c.mu.Lock()
	defer c.mu.Unlock()
	list, _ := c.withProgress.Get(k)
	if len(list) >= c.limit*crashesWithProgress || slices.Contains(list, crash) {
		return false
	}
	list = append(slices.Clone(list), crash)
	c.withProgress.Put(k, list)
	return len(list)%crashesWithProgress == 0
}

// suspected reports whether a request was running in a crash.
func (c *crashTable) suspected(digest jvledger.Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, crashed := c.byRequest.Get(digest)
	_, progressed := c.withProgress.Get(digest)
	_, part := c.byPart.Get(digest)
	return crashed || progressed || part
}

// clear forgets a request or a part of prompts.
func (c *crashTable) clear(digest jvledger.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byRequest.Delete(digest)
	c.withProgress.Delete(digest)
	c.byPart.Delete(digest)
}

func (c *crashTable) advance(now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byRequest.Advance(now)
	c.withProgress.Advance(now)
	c.byPart.Advance(now)
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

// quarantine returns the problem of a request that was running during too many target crashes, or whose
// prompt has a part that was, as counted by this VM or by the log, or nil.
func (rt *Router) quarantine(q *Request) *Problem {
	until := rt.quarantinedUntil(q.Digest)
	for _, part := range q.parts() {
		until = max(until, rt.partQuarantinedUntil(part))
	}
	// The log's own time advances with its entries only, so that in an idle fleet it is behind.
	left := time.Duration(until-rt.options.Timer.Now().UnixMilli()) * time.Millisecond
	if left <= 0 {
		return nil
	}
	return &Problem{Name: ProblemQuarantined, Message: messageQuarantined, RetryAfter: max(left, time.Second)}
}

// quarantinedUntil returns when a request's quarantine ends, in Unix milliseconds, or 0.
func (rt *Router) quarantinedUntil(digest jvledger.Key) int64 {
	until := rt.crashes.quarantinedUntil(digest)
	rt.journal.View(func(state *jvledger.State) { until = max(until, state.QuarantinedUntil(digest)) })
	return until
}

// detectCrash reports whether a target whose answer broke off has crashed: it refuses connections,
// or its load report names an instance other than the one it reported before. It then records the crash
// for every request that was running on the target, here, at the peers and in the log. The lease must not
// have been released.
func (rt *Router) detectCrash(l jvtarget.Lease) bool {
	instance, brokeAt := rt.targets.Instance(l), rt.options.Timer.Now()
	load, err := rt.pollLoad(l.Target)
	refused := jvfault.KindOf[jvengine.Kind](err) == jvengine.KindUnsent
	replaced := err == nil && instance != "" && load.Instance != instance
	if !refused && !replaced {
		return false
	}
	requests := rt.targets.RecordCrash(l, brokeAt)
	if len(requests) == 0 {
		return true
	}
	if instance == "" {
		instance = unreportedInstance + l.Attempt
	}
	rt.meter.Crashes.Inc()
	rt.options.Logger.Info("target crashed", "target", l.Target.Name, "instance", instance, "requests", len(requests))
	var records []jvrecord.Record
	parts := rt.addCrashedParts(requests)
	for _, list := range parts {
		for _, p := range list {
			records = append(records, partRecord(p))
		}
	}
	for _, q := range requests {
		if q.Progress && !rt.crashes.addWithProgress(q.Digest, l.Target.Name, instance) {
			continue
		}
		rt.crashes.add(q.Digest, l.Target.Name, instance)
		records = append(records, jvrecord.Record{Poison: &jvrecord.Poison{Digest: q.Digest, Target: l.Target.Name, Instance: instance}})
	}
	rt.publishCrashes(requests, parts, l.Target.Name, instance)
	rt.submitCrashRecords(records...)
	for _, q := range requests {
		if k, ok := jvledger.KeyOf(q.Digest); ok && rt.quarantinedUntil(k) > 0 {
			rt.options.Logger.Info("request quarantined", "digest", k.String(), "target", l.Target.Name)
		}
	}
	return true
}

// pollLoad requests the load report of a target, on which a request waits.
func (rt *Router) pollLoad(t jvconfig.Target) (jvtarget.Load, error) {
	ctx, cancel := context.WithTimeout(rt.ctx, rt.options.Timing.PeerTimeout)
	defer cancel()
	return rt.options.Targets.Load(ctx, t)
}

// unreportedInstance begins the name of an instance that reported no name; the attempt's ID follows, so
// that the crashes of such a target are told apart.
const unreportedInstance = "attempt:"

// submitCrashRecords appends records on crashes in the background.
func (rt *Router) submitCrashRecords(records ...jvrecord.Record) {
	if len(records) == 0 {
		return
	}
	s := rt.current()
	rt.spawn(func() {
		if _, err := rt.journal.Submit(rt.ctx, s.origin, records...); err != nil {
			rt.options.Logger.Info("crashes not recorded", "records", len(records), "cause", err.Error())
		}
	})
}

// publishCrashes sends crashes to the peers, since the log is slower; unreachable peers get those that
// count from the log.
func (rt *Router) publishCrashes(requests []jvtarget.CrashedRequest, parts [][]jvpeer.PartCrash, target, instance string) {
	for _, p := range rt.peers() {
		rt.spawn(func() {
			ctx, cancel := context.WithTimeout(rt.ctx, rt.options.Timing.PeerTimeout)
			defer cancel()
			for n, q := range requests {
				notice := &jvpeer.CrashNotice{Digest: q.Digest, Target: target, Instance: instance, Progress: q.Progress, Parts: parts[n]}
				_, _ = rt.send(ctx, p, jvpeer.Request{Crash: notice})
			}
		})
	}
}

// addCrash adds a crash that a peer has detected. The peer itself records in the log what counts.
func (rt *Router) addCrash(n *jvpeer.CrashNotice) {
	for _, p := range n.Parts {
		rt.crashes.addPart(p)
	}
	if n.Progress && !rt.crashes.addWithProgress(n.Digest, n.Target, n.Instance) {
		return
	}
	rt.crashes.add(n.Digest, n.Target, n.Instance)
}

// suspected reports whether a request was running in a crash.
func (rt *Router) suspected(digest jvledger.Key) (suspected bool) {
	if rt.crashes.suspected(digest) {
		return true
	}
	rt.journal.View(func(state *jvledger.State) { suspected = state.Suspected(digest) })
	return suspected
}

// clearSuspicion forgets the crashes of a request that a target has run to its end, and of the parts of its
// prompt, here and in the log.
func (rt *Router) clearSuspicion(q *Request) {
	var records []jvrecord.Record
	for _, digest := range append(q.parts(), q.Digest) {
		if !rt.suspected(digest) {
			continue
		}
		rt.crashes.clear(digest)
		rt.options.Logger.Info("request cleared", "digest", digest.String(), "part", digest != q.Digest)
		records = append(records, jvrecord.Record{Clear: &jvrecord.Clear{Digest: digest[:]}})
	}
	rt.submitCrashRecords(records...)
}

// applyCleared forgets the requests that the log clears.
func (rt *Router) applyCleared(digests [][]byte) {
	for _, d := range digests {
		if k, ok := jvledger.KeyOf(d); ok {
			rt.crashes.clear(k)
		}
	}
}
