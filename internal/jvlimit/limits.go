package jvlimit

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// Limits holds the limits that targets name. It is safe for concurrent use.
type Limits struct {
	options   Options
	follower  *jvkeyed.Follower
	publisher *jvkeyed.Publisher
	// count is the number of limits, by which most calls return without the lock.
	count atomic.Int32

	mu     sync.Mutex
	limits map[string]*limit
	// cold are the limits of targets that are cold.
	cold map[string]*limit
	// members are the routers with the time of their last registration on this router's steady clock,
	// names their names in order.
	members map[string]time.Time
	names   []string
	// registeredAt is when this router's own registration was first read, or the zero time.
	registeredAt time.Time
	// closed is true once this router uses no limit any more.
	closed bool
	// started are the starts of the targets' processes, by target.
	started map[string]int64
}

// New returns Limits that know none.
func New(o Options) *Limits {
	l := &Limits{options: o, limits: map[string]*limit{}, cold: map[string]*limit{}, members: map[string]time.Time{}, started: map[string]int64{}}
	l.follower = jvkeyed.NewFollower(jvkeyed.Options{
		Name: o.Name, Topic: o.Topic, Timer: o.Timer, Logger: o.Logger, Random: o.Random,
		ReadWait: o.ReadWait, ReadTimeout: o.ReadTimeout, Gather: o.Gather, Apply: l.apply,
		Restore: func(records []jvkeyed.Record) { l.publisher.Restore(records) },
	})
	l.publisher = jvkeyed.NewPublisher(jvkeyed.PublisherOptions{
		Topic: o.Topic, Timer: o.Timer, Logger: o.Logger, Random: o.Random, MaxPending: o.MaxPending,
		Unconfirmed: "limits not confirmed", Dropped: "limit not published",
	})
	return l
}

// Run registers this router, follows the topic and publishes what targets name until ctx ends.
func (l *Limits) Run(ctx context.Context) {
	l.register()
	registration := l.options.Timer.Every(l.options.MemberInterval, l.register)
	defer registration.Close()
	var running sync.WaitGroup
	running.Go(func() { l.follower.Run(ctx) })
	running.Go(func() { l.publisher.Run(ctx) })
	running.Wait()
}

// Leave removes this router from the members, in the background. It sends nothing to targets with limits afterwards.
func (l *Limits) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	l.registeredAt = time.Time{}
	delete(l.members, l.options.Router)
	l.updateNames()
	l.publisher.Put(jvkeyed.Record{Key: routerPrefix + l.options.Router}) // It replaces a registration that waits.
}

// Close leaves, and waits until the topic has confirmed it, until ctx ends at the latest. Run must be running.
func (l *Limits) Close(ctx context.Context) {
	l.Leave()
	l.publisher.Wait(ctx, routerPrefix+l.options.Router)
}

// register publishes this router's registration, and drops the members that did not register for long and
// the limits of targets that are gone.
func (l *Limits) register() {
	now := l.options.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.publisher.Put(encodeMember(l.options.Router, now.UnixMilli()))
	for target := range l.limits {
		if _, ok := l.started[target]; !ok && len(l.started) > 0 {
			l.drop(target)
			l.publisher.Put(jvkeyed.Record{Key: targetPrefix + target})
		}
	}
	for name, at := range l.members {
		if name != l.options.Router && now.Sub(at) > l.options.MemberAge {
			delete(l.members, name)
			l.publisher.Put(jvkeyed.Record{Key: routerPrefix + name})
		}
	}
	l.updateNames()
}

// updateNames derives the names of the members; l.mu must be held.
func (l *Limits) updateNames() {
	l.names = slices.Sorted(maps.Keys(l.members))
	for _, limits := range []map[string]*limit{l.limits, l.cold} {
		for _, t := range limits {
			t.selection = selection{}
		}
	}
}

// Hear records what a response of a target's process says about its limit. named is the limit in requests a
// second, or nil if it names none. That counts only for an attempt that began after the limit was known:
// an earlier response may arrive late.
func (l *Limits) Hear(target string, startedAtMillis int64, sentAt time.Time, named *float64) {
	if named == nil && l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.limits[target]
	if named != nil {
		if t == nil || t.value != *named || t.startedAtMillis != startedAtMillis {
			l.set(target, *named, startedAtMillis)
			l.publisher.Put(encodeLimit(target, limitRecord{Limit: *named, Born: startedAtMillis}))
		}
		return
	}
	if t == nil || !sentAt.After(t.knownAt) || t.startedAtMillis != startedAtMillis {
		return
	}
	l.drop(target)
	l.publisher.Put(jvkeyed.Record{Key: targetPrefix + target})
}

// set stores a target's limit; l.mu must be held.
func (l *Limits) set(target string, value float64, startedAtMillis int64) {
	now := l.options.Timer.Now()
	t := l.limits[target]
	if t == nil || t.startedAtMillis != startedAtMillis {
		t = &limit{startedAtMillis: startedAtMillis, knownAt: now}
		l.limits[target] = t
		l.updateCount()
	}
	t.value = value
	t.selection = selection{}
	l.options.Logger.Info("target names a limit", "target", target, "limit", value, "routers", len(l.names),
		"senders", l.options.Sharing.senders(value, max(len(l.names), 1)))
}

// drop forgets a target's limit, if there is one; l.mu must be held.
func (l *Limits) drop(target string) {
	t := l.limits[target]
	if t == nil {
		return
	}
	delete(l.limits, target)
	l.updateCount()
	l.options.Logger.Info("target names no limit any more", "target", target, "limit", t.value)
}

// Retain forgets the limits of processes that have been replaced. started has the starts of the processes of
// all targets, by target. A target without an entry may only be cut off, and keeps its limit for a while.
func (l *Limits) Retain(started map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started = started
	for target, t := range l.limits {
		if l.ended(target, t.startedAtMillis) {
			l.drop(target)
		}
	}
}

// ended reports whether another process of a target than the one that started at a time is known.
func (l *Limits) ended(target string, startedAtMillis int64) bool {
	known := l.started[target]
	return known != 0 && startedAtMillis != 0 && known != startedAtMillis
}

// apply applies records of the topic.
func (l *Limits) apply(records []jvkeyed.Record, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
		l.publisher.Drop(r) // Another router has published the same, or this record is its own.
		l.applyRecord(r)
	}
	if complete {
		l.removeUnlisted(listed)
	}
	l.updateNames()
}

// applyRecord applies one record; l.mu must be held.
func (l *Limits) applyRecord(r jvkeyed.Record) {
	name, prefix := splitKey(r.Key)
	switch {
	case prefix == routerPrefix && len(r.Value) == 0:
		delete(l.members, name)
		if name == l.options.Router && !l.closed { // By an earlier process of this router, or one that has not heard of it for long.
			l.registeredAt = time.Time{}
			l.publisher.Put(encodeMember(name, l.options.Timer.Now().UnixMilli()))
		}
	case prefix == routerPrefix:
		l.applyMember(name, r)
	case prefix == targetPrefix && len(r.Value) == 0:
		if _, own := l.publisher.Pending(r.Key); !own {
			l.drop(name)
		}
	case prefix == targetPrefix:
		v, err := decodeLimit(r.Value)
		if err != nil {
			l.options.Logger.Info("skipping a limit that can't be decoded", "offset", r.Offset, "cause", err.Error())
			return
		}
		if _, own := l.publisher.Pending(r.Key); own || l.ended(name, v.Born) {
			return // This router has heard something else since, or the process has ended.
		}
		if t := l.limits[name]; t == nil || t.value != v.Limit || t.startedAtMillis != v.Born {
			l.set(name, v.Limit, v.Born)
		}
	}
}

// applyMember applies the registration of a router; l.mu must be held.
func (l *Limits) applyMember(name string, r jvkeyed.Record) {
	v, err := decodeMember(r.Value)
	if err != nil {
		l.options.Logger.Info("skipping a limit that can't be decoded", "offset", r.Offset, "cause", err.Error())
		return
	}
	now := l.options.Timer.Now()
	// Clocks differ, so a registration is taken to be at most half as old as it may be.
	age := min(max(time.Duration(now.UnixMilli()-v.At)*time.Millisecond, 0), l.options.MemberAge/2)
	l.members[name] = now.Add(-age)
	if name == l.options.Router && l.registeredAt.IsZero() && !l.closed {
		l.registeredAt = now
	}
}

// removeUnlisted forgets what a listing of the whole topic does not have; l.mu must be held.
func (l *Limits) removeUnlisted(listed map[string]bool) {
	for name := range l.members {
		if !listed[routerPrefix+name] {
			delete(l.members, name)
		}
	}
	for target := range l.limits {
		key := targetPrefix + target
		if _, own := l.publisher.Pending(key); !own && !listed[key] {
			l.drop(target)
		}
	}
}
