package jvversion

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
	"github.com/jasminevale/jasminevale/internal/jvtopic"
)

// router is one router's versions.
type router struct {
	*Versions
	member jvmember.Member
	client *jvtopic.Client

	mu sync.Mutex // Guards what follows.
	// down is true while its process has ended, storeAway while it doesn't reach the store, cut while it
	// doesn't reach other routers.
	down      bool
	storeAway bool
	cut       bool
	// view are the versions of the targets as this router has last read them, at viewAt.
	view   []string
	viewAt time.Time
	stop   func()
}

// set changes a router's state.
func (r *router) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// state returns whether a router is down and whether it is cut off from other routers.
func (r *router) state() (down, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down, r.cut
}

func (r *router) lastView() (versions []string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view, r.viewAt
}

// fleet is some routers that share a topic and send each other messages.
type fleet struct {
	topic   *jvtopic.Topic
	timer   *jvtimer.Service
	random  *jvchance.Source
	mu      sync.Mutex // Guards routers.
	routers []*router
	// versions are the versions of the targets of pool, others those of other pools.
	versions []string
	others   map[string][]string
	// lost is the share of packets that are lost, sent the number of all, and posted that of messages on connections.
	lost   float64
	sent   atomic.Int64
	posted atomic.Int64
	// started is the number of streams begun.
	started int
	// mutant is a fault that is injected on purpose.
	mutant string
}

// Mutants of the fleet.
const (
	// mutantGuess makes a router that does not know the version take the newest that it knows of.
	mutantGuess = "guess"
	// mutantStale makes routers trust their list of targets whatever its age, and learn no versions from the
	// topic, by which they would notice.
	mutantStale = "stale"
)

const (
	pool  = "p"
	zones = 3
	// messageDelay is the time that a message takes.
	messageDelay = 2 * time.Millisecond
	// currentAge is the age up to which a router's list of targets is up to date.
	currentAge = 1300 * time.Millisecond
)

// inFleet runs a test with n routers on a fake clock, whose targets have the version v1.
func inFleet(t *testing.T, n int, mutant string, test func(f *fleet)) {
	synctest.Test(t, func(*testing.T) {
		f := &fleet{topic: jvtopic.New(), timer: jvtimer.NewService(), random: jvchance.NewSource([32]byte{byte(n)}), versions: []string{"v1"}, others: map[string][]string{}, mutant: mutant}
		for range n {
			f.join()
		}
		f.pass(2 * time.Second)
		test(f)
		for _, r := range f.routers {
			r.stop()
		}
		f.timer.Close()
	})
}

// join starts a new router.
func (f *fleet) join() {
	n := len(f.routers)
	client := jvtopic.NewClient(f.topic, jvtopic.MutantNone)
	if f.mutant == mutantStale {
		client = jvtopic.NewClient(f.topic, jvtopic.MutantUnshared)
	}
	r := &router{client: client, member: jvmember.Member{
		Name: fmt.Sprint("router-", n), Zone: fmt.Sprint("zone-", n%zones), Address: fmt.Sprint("10.0.0.1:", n), Deliveries: true,
	}}
	f.mu.Lock()
	f.routers = append(f.routers, r)
	f.mu.Unlock()
	f.start(r)
}

// start starts a router's process.
func (f *fleet) start(r *router) {
	o := DefaultOptions()
	o.Name, o.Topic, o.Timer, o.Random, o.Self = "versions", r.client, f.timer, f.random.Float, r.member
	o.Others = func() []jvmember.Member {
		f.mu.Lock()
		defer f.mu.Unlock()
		var list []jvmember.Member
		for _, other := range f.routers { // Routers that were killed stay members.
			if other != r {
				list = append(list, other.member)
			}
		}
		return list
	}
	o.Current = func() bool {
		_, at := r.lastView()
		return f.mutant == mutantStale || f.timer.Since(at) < currentAge
	}
	o.Send = func(to jvmember.Member, data []byte) { f.send(r, f.byName(to.Name), data, f.lost, &f.sent) }
	o.Post = func(to jvmember.Member, data []byte) { f.send(r, f.byName(to.Name), data, 0, &f.posted) }
	r.set(func() {
		r.Versions = New(o)
		r.down = false
		r.view, r.viewAt = nil, time.Time{}
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	r.stop = func() {
		cancel()
		running.Wait()
	}
}

func (f *fleet) byName(name string) *router {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.routers[slices.IndexFunc(f.routers, func(r *router) bool { return r.member.Name == name })]
}

// kill ends a router's process.
func (f *fleet) kill(r *router) {
	r.stop()
	r.stop = func() {}
	r.set(func() { r.down = true })
}

// send counts a message and delivers it after a delay, unless it is among a share that is lost.
func (f *fleet) send(from, to *router, data []byte, lost float64, count *atomic.Int64) {
	count.Add(1)
	fromDown, fromCut := from.state()
	toDown, toCut := to.state()
	if fromDown || toDown || fromCut != toCut || f.random.Float() < lost {
		return
	}
	time.AfterFunc(messageDelay, func() {
		to.mu.Lock()
		down, receiver := to.down, to.Versions
		to.mu.Unlock()
		if !down {
			_ = receiver.Receive(data, func(reply []byte) { f.send(to, from, reply, lost, count) })
		}
	})
}

// pass lets time pass, in which the routers that reach the store read the list of targets.
func (f *fleet) pass(d time.Duration) {
	const interval = 50 * time.Millisecond
	for end := f.timer.Now().Add(d); ; {
		for _, r := range f.routers {
			r.client.Set(r.storeAway && f.mutant != mutantStale, false)
			if !r.down && !r.storeAway {
				r.set(func() { r.view, r.viewAt = slices.Clone(f.versions), f.timer.Now() })
				pools := maps.Clone(f.others)
				pools[pool] = r.view
				r.Observe(pools)
			}
		}
		if !f.timer.Now().Before(end) {
			return
		}
		time.Sleep(min(interval, end.Sub(f.timer.Now())))
	}
}

// stream is a stream that a caller has the first event of.
type stream struct {
	request string
	version string
	at      time.Time
}

// begin begins a stream at a router, at one of the versions that the router knows of and that has targets. It
// returns false if there is none.
func (f *fleet) begin(r *router) (stream, bool) {
	usable := slices.DeleteFunc(slices.Clone(r.view), func(version string) bool { return !slices.Contains(f.versions, version) })
	if r.down || len(usable) == 0 {
		return stream{}, false
	}
	f.mu.Lock()
	f.started++
	s := stream{request: fmt.Sprint("request-", f.started), version: usable[int(f.random.Float()*float64(len(usable)))], at: f.timer.Now()}
	f.mu.Unlock()
	r.Begin(context.Background(), s.request, Origin{Pool: pool, Version: s.version})
	return s, true
}

// resume resumes a stream at a router, and returns the version at which the stream goes on, or "".
func (f *fleet) resume(r *router, s stream) string {
	o, source := r.Find(context.Background(), []string{pool}, s.request)
	if source == SourceNone && f.mutant == mutantGuess && len(r.view) > 0 {
		return r.view[len(r.view)-1]
	}
	return o.Version
}
