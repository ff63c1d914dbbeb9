package jvrelay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvreach"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// listenSender sends to targets of which some refuse connections. It is safe for concurrent use.
type listenSender struct {
	mu sync.Mutex
	// listening are the targets that accept connections, by name.
	listening map[string]bool
	// refusals counts the attempts that were refused, probes the probes.
	refusals, probes int
}

func (s *listenSender) accepts(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listening[target]
}

// setSound makes t0 accept or refuse connections.
func (s *listenSender) setSound(listens bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listening["t0"] = listens
}

func (s *listenSender) counts() (refusals, probes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals, s.probes
}

// Send implements Sender.
func (s *listenSender) Send(_ context.Context, d Dispatch) (*Response, error) {
	const roundTrip = time.Millisecond
	time.Sleep(roundTrip)
	if !s.accepts(d.Target.Name) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refusals++
		return nil, jvfault.New("send", KindUnsent, ErrConnectionRefused)
	}
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("answer")), Signed: true, End: jvend.Proven}, nil
}

// Probe implements Sender.
func (s *listenSender) Probe(_ context.Context, t jvconfig.Target) ProbeResult {
	s.mu.Lock()
	s.probes++
	s.mu.Unlock()
	if s.accepts(t.Name) {
		return ProbeAccepted
	}
	return ProbeRefused
}

// refusingFixture is a relay whose only sound target, t0, is one of many.
type refusingFixture struct {
	*fixture

	listens *listenSender
}

// newRefusingFixture returns a fixture with n targets, whose router has other routers that accept no attempt.
func newRefusingFixture(t *testing.T, n int) refusingFixture {
	f := refusingFixture{listens: &listenSender{listening: map[string]bool{"t0": true}}}
	f.fixture = newFixtureWith(t, func(o *Options) {
		reach := jvreach.DefaultOptions()
		reach.Timer = o.Timer
		reach.Random = o.Random.Float
		reach.Others = func() []jvmember.Member {
			return []jvmember.Member{{Name: "r1"}, {Name: "r2"}, {Name: "r3"}, {Name: "r4"}}
		}
		reach.Connect = func(_ context.Context, g jvreach.Target) bool { return f.listens.accepts(g.Name) }
		o.Reach = jvreach.New(reach)
		o.Forwarder = &forwarderFake{}
		o.Sender = f.listens
	})
	entries := map[string]*Entry{}
	for i := range n {
		id := fmt.Sprint("t", i)
		entries[id] = &Entry{Pool: "p", Target: jvconfig.Target{Name: id, Zone: "a", Address: id + ":1", Slots: 4, Version: "v1"}}
	}
	f.relay.Registry().Update(entries, true)
	return f
}

// send sends requests one after the other, with an interval, and returns how many were not served.
func (f refusingFixture) send(t *testing.T, n int, interval time.Duration) int {
	failed := 0
	for i := range n {
		got := f.serve(t.Context(), t, "once", func(q *Request) {
			q.ID = fmt.Sprint("q", i)
			q.ArrivedAt = time.Now()
			q.Deadline = time.Now().Add(3 * time.Second)
		})
		if got != "200 length 6: answer" {
			failed++
			t.Log(got)
		}
		time.Sleep(interval)
	}
	return failed
}

// TestRefusingTargets guards against refusing requests, or delaying them again and again, since most targets of a pool
// refuse connections (issue 27, odd entries): one of 25 is sound.
func TestRefusingTargets(t *testing.T) {
	const interval = 20 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := newRefusingFixture(t, 25)
		require.Zero(t, f.send(t, 50, interval))
		refusals, _ := f.listens.counts()
		require.LessOrEqual(t, refusals, 24, "each refuses one request")
		require.Zero(t, f.send(t, 500, interval))
		later, probes := f.listens.counts()
		require.Equal(t, refusals, later, "probes find out when they are back, not requests")
		const longest = 12 // Seconds.
		require.Less(t, probes, 2*24*longest, "of 11 seconds")
	})
}

// TestRefusingTargetIsBack guards against a target that is not used within a second after it accepts connections again,
// however long it has refused them.
func TestRefusingTargetIsBack(t *testing.T) {
	for _, away := range []time.Duration{300 * time.Millisecond, 5 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			f := newRefusingFixture(t, 25)
			f.send(t, 50, 20*time.Millisecond)
			f.listens.setSound(false)
			f.send(t, int(away/(100*time.Millisecond)), 100*time.Millisecond)
			f.listens.setSound(true)
			time.Sleep(time.Second)
			require.Zero(t, f.send(t, 5, 0), "after %s", away)
		})
	}
}

// TestRefusedWaits guards against refusing requests at once while the only target of a pool starts again.
func TestRefusedWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRefusingFixture(t, 1)
		f.listens.setSound(false)
		require.Equal(t, 1, f.send(t, 1, 0), "no other target accepts it")
		go func() {
			time.Sleep(300 * time.Millisecond)
			f.listens.setSound(true)
		}()
		require.Zero(t, f.send(t, 1, 0))
	})
}

// TestPeerTriesOtherTargets guards against an attempt for another router that fails since the first target refuses it.
func TestPeerTriesOtherTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRefusingFixture(t, 25)
		r, err := f.relay.ServePeer(t.Context(), Dispatch{
			Request: &Request{ID: "q", Method: "POST", Host: "h", URI: "/once/x", Header: http.Header{}}, Timeout: time.Second, Selection: Selection{Pool: "p"},
		}, "r1")
		require.NoError(t, err)
		require.Equal(t, "t0", r.Target.Name)
		require.NoError(t, r.Body.Close())
		for _, p := range f.relay.targets.Views() {
			for _, g := range p.Targets {
				require.Zero(t, g.OwnRequests)
			}
		}
		require.Zero(t, f.relay.options.Gate.Requests().Taken())
	})
}

// TestRefusedCutIsFound guards against a router that never finds out that it is cut off, since all targets refuse its
// connections, it sends nothing to them any more, and the first check had no answer of another router.
func TestRefusedCutIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := jvtimer.NewService()
		defer timer.Close()
		var answering atomic.Bool
		var reach, other *jvreach.Monitor
		o := jvreach.DefaultOptions()
		o.Timer = timer
		o.Random = func() float64 { return 0.5 }
		o.Targets = func() []jvreach.Target { return []jvreach.Target{{Name: "t0"}, {Name: "t1"}, {Name: "t2"}} }
		o.Connect = func(context.Context, jvreach.Target) bool { return true }
		o.Room = func() int64 { return 10 }
		o.Self = jvmember.Member{Name: "r1"}
		other = jvreach.New(o)
		o.Self = jvmember.Member{Name: "r0"}
		o.Others = func() []jvmember.Member { return []jvmember.Member{{Name: "r1"}} }
		o.Connect = func(context.Context, jvreach.Target) bool { return false }
		o.StoreReachable = func() bool { return false }
		o.Send = func(_ jvmember.Member, data []byte) {
			if answering.Load() {
				_ = other.Receive(data, func(reply []byte) { _ = reach.Receive(reply, func([]byte) {}) })
			}
		}
		reach = jvreach.New(o)
		forwarder := &forwarderFake{scripts: []script{{status: 200, body: "answer"}}}
		f := refusingFixture{listens: &listenSender{listening: map[string]bool{}}}
		f.fixture = newFixtureWith(t, func(o *Options) { o.Reach, o.Forwarder, o.Sender = reach, forwarder, f.listens })
		f.send(t, 5, 20*time.Millisecond)
		time.Sleep(time.Minute)
		require.False(t, reach.Cut(), "no other router answers")
		answering.Store(true)
		time.Sleep(3 * time.Second)
		require.True(t, reach.Cut())
		forwarder.scripts = []script{{status: 200, body: "answer"}}
		require.Zero(t, f.send(t, 1, 0))
	})
}
