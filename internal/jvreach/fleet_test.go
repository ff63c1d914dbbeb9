package jvreach

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// router is one router's monitor.
type router struct {
	*Monitor
	member jvmember.Member
	// recovered are the names of the targets that became reachable again, found is the number of findings that
	// targets are unreachable.
	recovered []string
	found     int
}

// network says which routers reach which targets and routers. It is safe for concurrent use.
type network struct {
	mu sync.Mutex
	// lost are the targets that a router does not reach, by its name; down are targets that nobody reaches.
	lost map[string]map[string]bool
	down map[string]bool
	// hang makes connections to them hang; otherwise they are refused.
	hang bool
	// dead are the routers that don't answer.
	dead map[string]bool
	// muted are the routers whose connections are accepted on the way to all targets, and then hang or are reset.
	// frozen are targets that accept connections and send nothing.
	muted  map[string]bool
	frozen map[string]bool
	// overload is the share of connections that targets accept and reset, since they have too many.
	overload float64
	// work is how long targets take to respond to a request.
	work time.Duration
}

// fleet is some routers and targets.
type fleet struct {
	network
	timer  *jvtimer.Service
	random *jvchance.Source
	// choices selects the targets of requests. It has no other use, so that the order of goroutines does not change
	// which targets get requests, and when.
	choices *jvchance.Source
	targets []Target
	routers []*router
	// idle gets no requests, unless it is nil.
	idle *router
}

// inFleet runs a test with some routers and targets on a fake clock.
func inFleet(t *testing.T, routers, targets int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{timer: jvtimer.NewService(), random: jvchance.NewSource([32]byte{1}), choices: jvchance.NewSource([32]byte{1})}
		f.network = network{lost: map[string]map[string]bool{}, down: map[string]bool{}, dead: map[string]bool{}, muted: map[string]bool{}, frozen: map[string]bool{}}
		for i := range targets {
			f.targets = append(f.targets, Target{Name: fmt.Sprint("target-", i), Address: fmt.Sprint("10.0.1.1:", i)})
		}
		for i := range routers {
			f.routers = append(f.routers, &router{member: jvmember.Member{Name: fmt.Sprint("router-", i), Address: fmt.Sprint("10.0.0.1:", i)}})
		}
		for _, r := range f.routers {
			f.start(r)
		}
		defer func() { // Also after a failure.
			const longest = 5 * time.Second // Of an attempt and the check that it starts.
			f.timer.Close()
			time.Sleep(longest)
		}()
		test(t, f)
	})
}

func (f *fleet) start(r *router) {
	o := DefaultOptions()
	o.Timer, o.Random, o.Self = f.timer, f.random.Float, r.member
	o.Others = func() []jvmember.Member {
		var list []jvmember.Member
		for _, other := range f.routers {
			if other != r {
				list = append(list, other.member)
			}
		}
		return list
	}
	o.Targets = func() []Target { return slices.Clone(f.targets) }
	o.Exchange = func(ctx context.Context, t Target) (bool, bool) { return f.exchange(ctx, r, t) }
	o.Send = func(to jvmember.Member, data []byte) { f.send(r.member.Name, to.Name, data) }
	o.Room = func() int64 { return 10 }
	o.Changed = func(recovered []string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		r.recovered = append(r.recovered, recovered...)
		if recovered == nil {
			r.found++
		}
	}
	r.Monitor = New(o)
}

// exchange reports whether a router's connection to a target is accepted, and whether bytes come back.
func (f *fleet) exchange(ctx context.Context, r *router, t Target) (accepted, answered bool) {
	const roundTrip = time.Millisecond
	f.mu.Lock()
	accepted = f.muted[r.member.Name] || !f.down[t.Name] && !f.lost[r.member.Name][t.Name]
	hangs := (f.muted[r.member.Name] || !accepted) && f.hang || accepted && f.frozen[t.Name]
	answered = accepted && !f.muted[r.member.Name] && !f.frozen[t.Name] && f.random.Float() >= f.overload
	f.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return accepted, false
	}
	time.Sleep(roundTrip)
	return accepted, answered
}

// send delivers a message after a delay.
func (f *fleet) send(from, to string, data []byte) {
	const delay = time.Millisecond
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead[from] || f.dead[to] {
		return
	}
	receiver := f.routers[slices.IndexFunc(f.routers, func(r *router) bool { return r.member.Name == to })]
	time.AfterFunc(delay, func() {
		_ = receiver.Receive(data, func(reply []byte) { f.send(to, from, reply) })
	})
}

// change changes the network.
func (f *fleet) change(change func(n *network)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.network)
}

// findings returns how often a router has found that targets are unreachable.
func (f *fleet) findings(r *router) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return r.found
}

// cutOff makes a router reach none of some targets.
func (f *fleet) cutOff(r *router, targets []Target) {
	f.change(func(n *network) {
		lost := map[string]bool{}
		for _, t := range targets {
			lost[t.Name] = true
		}
		n.lost[r.member.Name] = lost
	})
}

// drive makes all routers send requests to random targets for a time, as a relay does: each router 50 a second.
func (f *fleet) drive(d time.Duration) {
	const interval = 20 * time.Millisecond
	for end := f.timer.Now().Add(d); f.timer.Now().Before(end); time.Sleep(interval) {
		for _, r := range f.routers {
			if t := f.targets[int(f.choices.Float()*float64(len(f.targets)))]; r != f.idle && !r.Unreachable(t.Name) {
				go f.request(r, t)
			}
		}
	}
}

// request makes one attempt.
func (f *fleet) request(r *router, t Target) {
	const dialTimeout = 500 * time.Millisecond
	r.Begin()
	defer r.End()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	accepted, answered := f.exchange(ctx, r, t)
	switch {
	case answered:
		f.mu.Lock()
		work := f.work
		f.mu.Unlock()
		time.Sleep(work)
		r.Contact(t.Name)
	case accepted && ctx.Err() != nil: // The request was sent, and stalls.
	default:
		r.Failed(t.Name)
	}
}
