package jvmember

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// Member is one router of the fleet.
type Member struct {
	Name string `json:"router"`
	Zone string `json:"zone"`
	// Address is the host:port at which other routers reach it.
	Address string `json:"address"`
	// Weight is the number of processors of the router's machine, or 0 if it holds no budgets for others.
	Weight float64 `json:"weight,omitempty"`
	// Deliveries is true if the router takes messages on connections, and confirms the origins of streams. Earlier builds do
	// neither.
	Deliveries bool `json:"deliveries,omitempty"`
}

// registered is a member with the time of its last registration on this router's steady clock.
type registered struct {
	Member

	at time.Time
}

// Members are the routers of the fleet, by their registrations. It is safe for concurrent use.
type Members struct {
	options   Options
	follower  *jvkeyed.Follower
	publisher *jvkeyed.Publisher

	mu     sync.Mutex
	byName map[string]registered
	// others are the members without this router, in order of name. The slice is replaced, never changed.
	others []Member
	secret []byte
	closed bool
	// loadedAt is when the topic was first read, joinedAt when a member that was not known was last read.
	loadedAt time.Time
	joinedAt time.Time
	// returning is true if the topic had this router's registration when it was first read.
	returning bool
}

// New returns Members that know none.
func New(o Options) *Members {
	m := &Members{options: o, byName: map[string]registered{}}
	m.follower = jvkeyed.NewFollower(jvkeyed.Options{
		Name: o.Name, Topic: o.Topic, Timer: o.Timer, Logger: o.Logger, Random: o.Random,
		ReadWait: o.ReadWait, ReadTimeout: o.ReadTimeout, Gather: o.Gather, Apply: m.apply,
		Restore: func(records []jvkeyed.Record) { m.publisher.Restore(records) },
	})
	m.publisher = jvkeyed.NewPublisher(jvkeyed.PublisherOptions{
		Topic: o.Topic, Timer: o.Timer, Logger: o.Logger, Random: o.Random, MaxPending: maxPending,
		Unconfirmed: "members not confirmed", Dropped: "member not published",
	})
	return m
}

const (
	// maxPending limits the records that wait for the topic: this router's own, and those of members that
	// it removes.
	maxPending = 1000
	// secretRetry is the time between two attempts to give the fleet a secret, and secretTurn the time that a router
	// leaves to each router before it in the order of names, up to maxSecretTurns of them: appends of many routers at
	// the same time conflict with each other.
	secretRetry    = 200 * time.Millisecond
	secretTurn     = 100 * time.Millisecond
	maxSecretTurns = 20
	// secretTimeout bounds one attempt.
	secretTimeout = time.Second
)

// Run registers this router and follows the topic until ctx ends.
func (m *Members) Run(ctx context.Context) {
	m.register()
	registration := m.options.Timer.Every(m.options.Interval, m.register)
	defer registration.Close()
	var running sync.WaitGroup
	running.Go(func() { m.follower.Run(ctx) })
	running.Go(func() { m.publisher.Run(ctx) })
	running.Go(func() { m.provideSecret(ctx) })
	running.Wait()
}

// provideSecret gives the fleet a secret if it has none. Of several routers that try, the topic accepts the
// first: the others append at an end that is outdated then.
func (m *Members) provideSecret(ctx context.Context) {
	startedAt := m.options.Timer.Now()
	for m.currentSecret() == nil {
		if m.follower.Loaded() && m.options.Timer.Since(startedAt) >= m.secretDelay() {
			call, cancel := m.options.Timer.WithTimeout(ctx, secretTimeout)
			_, err := m.options.Topic.AppendAt(call, m.follower.NextOffset(), []jvkeyed.Record{{Key: secretKey, Value: m.options.NewSecret()}})
			cancel()
			if err != nil && jvfault.KindOf[jvkeyed.Kind](err) != jvkeyed.KindConflict {
				m.options.Logger.Info("secret not confirmed", "cause", err.Error())
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-m.options.Timer.After(secretRetry):
		}
	}
}

// secretDelay returns how long after its start this router gives the fleet a secret.
func (m *Members) secretDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := 0
	for name := range m.byName {
		if name < m.options.Self.Name {
			before++
		}
	}
	return secretTurn * time.Duration(min(before, maxSecretTurns)+1)
}

// Close removes this router from the members, until ctx ends at the latest. Run must be running.
func (m *Members) Close(ctx context.Context) {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	if m.options.Self.Address == "" {
		return
	}
	key := routerPrefix + m.options.Self.Name
	m.publisher.Put(jvkeyed.Record{Key: key}) // It replaces a registration that waits.
	m.publisher.Wait(ctx, key)
}

// register publishes this router's registration, and removes the members that did not register for long.
func (m *Members) register() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.options.Self.Address == "" {
		return
	}
	now := m.options.Timer.Now()
	m.publisher.Put(encodeMember(m.options.Self, now.UnixMilli()))
	for name, r := range m.byName {
		if name != m.options.Self.Name && now.Sub(r.at) > m.options.MaxAge {
			delete(m.byName, name)
			m.publisher.Put(jvkeyed.Record{Key: routerPrefix + name})
		}
	}
	m.updateOthers()
}

// Others returns the members without this router, in order of name. The caller must not change the slice.
func (m *Members) Others() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.others
}

// Self returns this router.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.options.Self
}

// Resign publishes that this router holds no budgets for others from now on.
func (m *Members) Resign() {
	m.mu.Lock()
	m.options.Self.Weight = 0
	m.mu.Unlock()
	m.register()
}

// settleTime is how long no new member must have been read before the list counts as settled. Routers of a fleet that
// starts for the first time register within this time of each other.
const settleTime = time.Second

// maxSettleTime limits the wait for routers that join one after the other.
const maxSettleTime = 3 * time.Second

// Settled reports whether the members are known: a router that starts together with its fleet first reads few of them.
func (m *Members) Settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch _, registered := m.byName[m.options.Self.Name]; {
	case m.loadedAt.IsZero():
		return false
	case m.returning, m.options.Self.Address == "":
		return true
	case !registered:
		return false
	}
	return m.options.Timer.Since(m.joinedAt) >= settleTime || m.options.Timer.Since(m.loadedAt) >= maxSettleTime
}

func (m *Members) currentSecret() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.secret
}

// apply applies records of the topic.
func (m *Members) apply(records []jvkeyed.Record, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.loadedAt.IsZero()
	if first {
		m.loadedAt = m.options.Timer.Now()
	}
	listed := map[string]bool{}
	for _, r := range records {
		m.publisher.Drop(r)
		name, isRouter := strings.CutPrefix(r.Key, routerPrefix)
		switch {
		case isRouter:
			listed[name] = true
			m.applyMember(name, r)
		case r.Key == secretKey && len(r.Value) == SecretBytes:
			m.secret = r.Value
		}
	}
	for name := range m.byName {
		if complete && !listed[name] {
			delete(m.byName, name)
		}
	}
	if _, listed := m.byName[m.options.Self.Name]; first {
		m.returning = listed
	}
	m.updateOthers()
}

// applyMember applies the record of a router; m.mu must be held.
func (m *Members) applyMember(name string, r jvkeyed.Record) {
	now := m.options.Timer.Now()
	if len(r.Value) == 0 {
		delete(m.byName, name)
		if name == m.options.Self.Name && !m.closed && m.options.Self.Address != "" { // By an earlier process of this router.
			m.publisher.Put(encodeMember(m.options.Self, now.UnixMilli()))
		}
		return
	}
	member, at, err := decodeMember(name, r.Value)
	if err != nil {
		m.options.Logger.Info("skipping a member that can't be decoded", "offset", r.Offset, "cause", err.Error())
		return
	}
	// Clocks differ, so a registration counts as at most half as old as it may be.
	age := min(max(time.Duration(now.UnixMilli()-at)*time.Millisecond, 0), m.options.MaxAge/2)
	if _, known := m.byName[name]; !known {
		m.joinedAt = now
	}
	m.byName[name] = registered{Member: member, at: now.Add(-age)}
}

// updateOthers derives the list of the other members; m.mu must be held.
func (m *Members) updateOthers() {
	others := make([]Member, 0, len(m.byName))
	for name, r := range m.byName {
		if name != m.options.Self.Name {
			others = append(others, r.Member)
		}
	}
	slices.SortFunc(others, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	m.others = others
}
