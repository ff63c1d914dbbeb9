package jvversion

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// history holds the versions that each pool's targets have had in the last minute. It is safe for concurrent
// use.
type history struct {
	options   Options
	follower  *jvkeyed.Follower
	publisher *jvkeyed.Publisher

	mu     sync.Mutex
	states map[string]*versionState // By key of the origin.
	// lostAt is when the list of targets was last found to be outdated.
	lostAt time.Time
}

// versionState is what is known of one version of a pool.
type versionState struct {
	origin Origin
	// present is true while a target has the version.
	present bool
	// listed is true while the topic has the version.
	listed bool
	// changedAt is when the version was last seen to appear, or to be present.
	changedAt time.Time
	// delay randomizes when this router updates the topic, so that one router mostly does it for all.
	delay time.Duration
}

const (
	// maxPending limits the records that wait for the topic.
	maxPending = 1000
	// maxPublishDelay and maxRemoveDelay bound versionState.delay.
	maxPublishDelay = 500 * time.Millisecond
	maxRemoveDelay  = 10 * time.Second
)

func newHistory(o Options) *history {
	h := &history{options: o, states: map[string]*versionState{}}
	h.follower = jvkeyed.NewFollower(jvkeyed.Options{
		Name: o.Name, Topic: o.Topic, Timer: o.Timer, Logger: o.Logger, Random: o.Random,
		ReadWait: o.ReadWait, ReadTimeout: o.ReadTimeout, Gather: o.Gather, Apply: h.apply,
		Restore: func(records []jvkeyed.Record) { h.publisher.Restore(records) },
	})
	h.publisher = jvkeyed.NewPublisher(jvkeyed.PublisherOptions{
		Topic: o.Topic, Timer: o.Timer, Logger: o.Logger, Random: o.Random, MaxPending: maxPending,
		Unconfirmed: "versions not confirmed", Dropped: "version not published",
	})
	return h
}

// run follows and updates the topic until ctx ends.
func (h *history) run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { h.follower.Run(ctx) })
	running.Go(func() { h.publisher.Run(ctx) })
	running.Wait()
}

// observe records the versions that targets have now, by pool.
func (h *history) observe(pools map[string][]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Timer.Now()
	present := map[string]bool{}
	for pool, versions := range pools {
		for _, version := range versions {
			o := Origin{Pool: pool, Version: version}
			key := o.key()
			if present[key] {
				continue
			}
			present[key] = true
			s := h.state(o, now)
			if !s.present {
				s.present = true
				s.delay = h.randomDelay(maxPublishDelay)
				h.options.Logger.Info("version", "pool", pool, "build", version, "versions", h.countOf(pool))
			}
		}
	}
	for key, s := range h.states {
		if s.present && !present[key] {
			s.present = false
			s.changedAt = now
			s.delay = h.randomDelay(maxRemoveDelay)
			h.options.Logger.Info("version without targets", "pool", s.origin.Pool, "build", s.origin.Version)
		}
	}
}

func (h *history) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(h.options.Random() * float64(limit))
}

// state returns the state of a version, which it adds if it is new; h.mu must be held.
func (h *history) state(o Origin, now time.Time) *versionState {
	key := o.key()
	s := h.states[key]
	if s == nil {
		s = &versionState{origin: o, changedAt: now, delay: h.randomDelay(maxRemoveDelay)}
		h.states[key] = s
	}
	return s
}

// countOf returns the number of versions of a pool; h.mu must be held.
func (h *history) countOf(pool string) int {
	n := 0
	for _, s := range h.states {
		if s.origin.Pool == pool {
			n++
		}
	}
	return n
}

// current reports whether this router knows all versions of the window: the list of targets is up to date, and the
// topic has been read since the list was last outdated, during which versions may have come and gone.
func (h *history) current() bool {
	listed := h.options.Current()
	readAt, ok := h.follower.LastSeen()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !listed {
		h.lostAt = h.options.Timer.Now()
	}
	return listed && ok && readAt.After(h.lostAt)
}

// update publishes versions that the topic lacks, and removes those without targets for longer than the window.
func (h *history) update() {
	if !h.current() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Timer.Now()
	for key, s := range h.states {
		age := now.Sub(s.changedAt)
		switch {
		case s.present && !s.listed && age >= s.delay:
			h.publisher.Put(encodeRecord(s.origin))
		case s.present || age < h.options.Window:
		case !s.listed:
			delete(h.states, key)
		case age >= h.options.Window+s.delay:
			h.publisher.Put(jvkeyed.Record{Key: key})
		}
	}
}

// apply applies records of the topic.
func (h *history) apply(records []jvkeyed.Record, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Timer.Now()
	listed := map[string]bool{}
	for _, r := range records {
		h.publisher.Drop(r)
		if len(r.Value) == 0 {
			if s := h.states[r.Key]; s != nil {
				s.listed = false
			}
			continue
		}
		o, err := decodeRecord(r.Value)
		if err != nil || o.key() != r.Key {
			h.options.Logger.Info("skipping a version that can't be decoded", "offset", r.Offset)
			continue
		}
		listed[r.Key] = true
		h.state(o, now).listed = true
	}
	for key, s := range h.states {
		if complete && !listed[key] {
			s.listed = false
		}
	}
}

// only returns the version that all targets of the pools have had in the window. It returns false if there were
// several, if one is not known, or if this router can't tell since it has just started or reads the store no
// more.
func (h *history) only(pools []string) (string, bool) {
	if !h.current() {
		return "", false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	version, found := "", false
	for _, pool := range pools {
		inPool := false
		for _, s := range h.states {
			if s.origin.Pool != pool {
				continue
			}
			if found && s.origin.Version != version {
				return "", false
			}
			version, found, inPool = s.origin.Version, true, true
		}
		if !inPool {
			return "", false
		}
	}
	return version, found && version != ""
}

// contradicts reports whether a pool is known to have had another version in the window.
func (h *history) contradicts(pools []string, version string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.states {
		if s.origin.Version != version && slices.Contains(pools, s.origin.Pool) {
			return true
		}
	}
	return false
}

// views returns all versions in order of pool and version.
func (h *history) views() []View {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]View, 0, len(h.states))
	for _, s := range h.states {
		list = append(list, View{Pool: s.origin.Pool, Version: s.origin.Version, Present: s.present})
	}
	slices.SortFunc(list, func(a, b View) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Version, b.Version))
	})
	return list
}
