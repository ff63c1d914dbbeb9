package jvrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvpressure"
	"github.com/jasminevale/jasminevale/internal/jvquarantine"
	"github.com/jasminevale/jasminevale/internal/jvreach"
	"github.com/jasminevale/jasminevale/internal/jvroute"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// probeCounter counts the probes of another sender.
type probeCounter struct {
	*scriptSender

	probes int
	// delay is how long the target's machine takes to respond to a probe.
	delay time.Duration
	// during is called with the target of each attempt, before its response.
	during func(t jvconfig.Target)
}

func (s *probeCounter) Probe(ctx context.Context, t jvconfig.Target) ProbeResult {
	s.probes++
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return ProbeNoResponse
	}
	return s.scriptSender.Probe(ctx, t)
}

func (s *probeCounter) Send(ctx context.Context, d Dispatch) (*Response, error) {
	response, err := s.scriptSender.Send(ctx, d)
	if s.during != nil {
		s.during(d.Target)
	}
	return response, err
}

// newClaimFixture returns a fixture that counts probes, with a small buffer and targets whose start times are known.
func newClaimFixture(t *testing.T, reach *jvreach.Monitor, scripts ...script) (*fixture, *probeCounter) {
	s := &probeCounter{}
	f := newFixtureWith(t, func(o *Options) {
		s.scriptSender, _ = o.Sender.(*scriptSender)
		o.Sender = s
		o.MaxBufferedBytes = 16
		if reach != nil {
			o.Reach = reach
		}
	}, scripts...)
	entries := map[string]*Entry{}
	for n := range 3 {
		e := entry(n, 1)
		e.Target.Version = "v1"
		entries[e.Target.Name] = e
	}
	f.relay.Registry().Update(entries, true)
	return f, s
}

// TestClaimedEndOfEndedProcess guards against a response without a length that reaches its caller as ended like its
// target's, although the process of the target has ended: its machine refuses connections right after the end.
func TestClaimedEndOfEndedProcess(t *testing.T) {
	const long = "more bytes than the buffer has"
	whole := script{status: 200, body: "answer"}
	ended := func(status int, body string) script {
		return script{status: status, body: body, unframed: true, ended: true}
	}
	const events12 = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, c := range []struct {
		name    string
		route   string
		scripts []script
		want    string
		sent    []string
		probes  int
	}{
		{"repeatable", "safe", []script{ended(200, "ans"), whole}, "200 length 6: answer", []string{"sent", "sent"}, 1},
		{"twice", "safe", []script{ended(200, "ans"), ended(200, "ans"), whole}, "refused 502 failed, retry after 0s", []string{"sent", "sent"}, 2},
		{"must not repeat", "once", []script{ended(200, "ans"), whole}, "refused 502 failed, retry after 0s", []string{"sent"}, 1},
		{"long", "safe", []script{ended(200, long), whole}, "200 until the close: " + long + "... cut", []string{"sent"}, 1},
		{"failure", "once", []script{ended(500, "fai"), whole}, "refused 502 failed, retry after 0s", []string{"sent"}, 1},
		{"not found", "safe", []script{ended(404, "no"), whole}, "200 length 6: answer", []string{"sent", "sent"}, 1},
		{"no body", "once", []script{ended(404, ""), whole}, "refused 502 failed, retry after 0s", []string{"sent"}, 1},
		{"stream", "stream", []script{ended(200, events12), {status: 200, body: events23}}, "200 until the close: id: 1|data: a||id: 2|data: b||id: 3|data: c||", []string{"sent for w", "sent after event 2 for w"}, 1},
		{"stream ends within an event", "stream", []script{ended(200, events12+"id"), {status: 200, body: events23}}, "200 until the close: id: 1|data: a||id: 2|data: b||id: 3|data: c||", []string{"sent for w", "sent after event 2 for w"}, 1},
		{"stream that can't resume", "fixed", []script{ended(200, events12), whole}, "200 until the close: id: 1|data: a||id: 2|data: b||... cut", []string{"sent for w"}, 1},
		{"stream without events", "fixed", []script{ended(200, ""), whole}, "refused 502 failed, retry after 0s", []string{"sent for w"}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := newClaimFixture(t, nil, c.scripts...)
				got := f.serve(t.Context(), t, c.route, nil)
				require.Equal(t, c.want, got)
				for n, line := range c.sent {
					require.Equal(t, strings.TrimSuffix(line, " for w"), strings.TrimSuffix(s.sent[n], " for w"))
				}
				require.Len(t, s.sent, len(c.sent))
				require.Equal(t, c.probes, s.probes, "one connection for each response")
			})
		})
	}
}

// TestClaimedEndOfSoundProcess guards against losing whole responses without a length, and against connections, reports
// of crashes and pauses for sound targets: a target whose machine does not respond may be cut off, and one whose entry
// is gone may still serve.
func TestClaimedEndOfSoundProcess(t *testing.T) {
	unframed := script{status: 200, body: "answer", unframed: true}
	dark := unframed
	dark.dark = true
	for _, c := range []struct {
		name   string
		script script
		// change is applied to the target's entry during the response; nil removes it.
		change func(e *Entry) *Entry
		want   string
		probes int
	}{
		{"length", script{status: 200, body: "answer"}, nil, "200 length 6: answer", 0},
		{"length, then it ends", script{status: 200, body: "answer", ended: true}, nil, "200 length 6: answer", 0},
		{"listens", unframed, nil, "200 until the close: answer", 1},
		{"no response", dark, nil, "200 until the close: answer", 1},
		{"entry gone, listens", unframed, func(*Entry) *Entry { return nil }, "200 until the close: answer", 1},
		{"entry written again", unframed, func(e *Entry) *Entry { e.Target.Slots++; return e }, "200 until the close: answer", 1},
		{"start time lost", unframed, func(e *Entry) *Entry { e.StartedAtMillis = 0; return e }, "200 until the close: answer", 1},
		{"older entry with its address", unframed, func(e *Entry) *Entry { e.Target.Name, e.StartedAtMillis = "t9", 0; return e }, "200 until the close: answer", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := newClaimFixture(t, nil, c.script)
				s.during = f.changeEntry(c.change)
				require.Equal(t, c.want, f.serve(t.Context(), t, "once", nil))
				require.Equal(t, c.probes, s.probes)
				synctest.Wait() // Timers may fire at the same moment.
				require.Empty(t, f.relay.registry.unverified)
				require.Empty(t, f.relay.crashes.unresolved)
				require.Zero(t, f.relay.targets.CountPaused())
			})
		})
	}
}

// changeEntry returns a function that changes a target's entry.
func (s *fixture) changeEntry(change func(e *Entry) *Entry) func(t jvconfig.Target) {
	return func(t jvconfig.Target) {
		if change == nil {
			return
		}
		e := s.relay.Registry().Entries()[t.Name]
		changed := change(&e)
		name := t.Name
		if changed != nil {
			name = changed.Target.Name
		}
		s.relay.Registry().Update(map[string]*Entry{name: changed}, false)
	}
}

// TestClaimedEndByEntries guards against a response without a length that counts as ended like its target's, although
// the list of targets shows that the process has ended: its machine may accept connections again.
func TestClaimedEndByEntries(t *testing.T) {
	unframed := script{status: 200, body: "ans", unframed: true}
	dark := unframed
	dark.dark = true
	for _, c := range []struct {
		name   string
		script script
		change func(e *Entry) *Entry
		probes int
	}{
		{"started again", unframed, func(e *Entry) *Entry { e.StartedAtMillis++; return e }, 0},
		{"another target has the address", unframed, func(e *Entry) *Entry { e.Target.Name = "t9"; e.StartedAtMillis++; return e }, 0},
		{"entry gone, no response", dark, func(*Entry) *Entry { return nil }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := newClaimFixture(t, nil, c.script)
				s.during = f.changeEntry(c.change)
				require.Equal(t, "refused 502 failed, retry after 0s", f.serve(t.Context(), t, "once", nil))
				require.Equal(t, c.probes, s.probes)
			})
		})
	}
}

// TestClaimedEndAfterStandstill guards against a response that broke off while this router stood still, and counts as ended since
// the target's next process listens already (ORDER, review/12): the list of targets is read before its end counts.
func TestClaimedEndAfterStandstill(t *testing.T) {
	const limit = 500 * time.Millisecond // A quarter of what is left of the route's timeout.
	for _, c := range []struct {
		name   string
		change func(e *Entry) *Entry
		readAt time.Duration
		want   string
		took   time.Duration
	}{
		{"the target has started again", func(e *Entry) *Entry { e.StartedAtMillis++; return e }, 35 * time.Millisecond, "refused 502 failed, retry after 0s", 40 * time.Millisecond},
		{"the target goes on", keepEntry, 35 * time.Millisecond, "200 until the close: ans", 40 * time.Millisecond},
		{"the list is not read", keepEntry, time.Hour, "200 until the close: ans", limit},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				uptime := func() time.Duration { return time.Since(begin) }
				stallEnd := time.Duration(0)
				list := jvpressure.NewFence(jvpressure.FenceOptions{
					Uptime: uptime, Stalled: func(since time.Duration) time.Duration { return max(0, stallEnd-since) },
				})
				f, s := newClaimFixture(t, nil, script{status: 200, body: "ans", unframed: true})
				o := jvpressure.DefaultGateOptions()
				o.Timer, o.Targets = f.relay.options.Timer, list
				f.relay.options.Gate = jvpressure.NewGate(o)
				s.during = func(target jvconfig.Target) {
					stallEnd = uptime() + time.Nanosecond
					time.AfterFunc(c.readAt, func() {
						f.changeEntry(c.change)(target)
						list.Record(jvpressure.Read{StartedAt: uptime(), EndedAt: uptime()})
					})
				}
				require.Equal(t, c.want, f.serve(t.Context(), t, "once", nil))
				require.Equal(t, c.took, time.Since(begin))
			})
		})
	}
}

// TestClaimedEndOfLeavingProcess guards against losing the whole answer of a target that has announced that it leaves, and
// that stops listening before its last response without a length ends; and against a report of a crash.
func TestClaimedEndOfLeavingProcess(t *testing.T) {
	last := script{status: 200, body: "answer", unframed: true, ended: true}
	announced := last
	announced.leaving = true
	for _, c := range []struct {
		name   string
		route  string
		script script
		change func(e *Entry) *Entry
		want   string
	}{
		{"announced in its response", "once", announced, keepEntry, "200 until the close: answer"},
		{"announced in its response, repeatable", "safe", announced, keepEntry, "200 until the close: answer"},
		{"announced in its entry", "once", last, func(e *Entry) *Entry { e.Leaving = true; return e }, "200 until the close: answer"},
		{"started again", "once", announced, func(e *Entry) *Entry { e.StartedAtMillis++; return e }, "refused 502 failed, retry after 0s"},
		{"not announced", "once", last, keepEntry, "refused 502 failed, retry after 0s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := newClaimFixture(t, nil, c.script, script{status: 200, body: "second"})
				s.during = f.changeEntry(c.change)
				var digest jvquarantine.Digest
				require.Equal(t, c.want, f.serve(t.Context(), t, c.route, func(q *Request) { digest = jvquarantine.DigestOf(q.digest("w")) }))
				synctest.Wait()
				require.Equal(t, c.want != "200 until the close: answer", f.relay.options.Quarantine.Suspected(digest))
			})
		})
	}
}

// keepEntry leaves a target's entry as it is.
func keepEntry(e *Entry) *Entry { return e }

// TestClaimedEndBehindCut guards against losing whole responses without a length, and reports of crashes, when this
// router's own link is cut after their end has arrived.
func TestClaimedEndBehindCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := jvtimer.NewService()
		t.Cleanup(timer.Close)
		o := jvreach.DefaultOptions()
		o.Timer = timer
		o.Random = func() float64 { return 0.5 }
		o.Others = func() []jvmember.Member { return []jvmember.Member{{Name: "r1"}, {Name: "r2"}} }
		o.Targets = func() []jvreach.Target { return []jvreach.Target{{Name: "t0"}, {Name: "t1"}, {Name: "t2"}} }
		o.Connect = func(context.Context, jvreach.Target) bool { return false }
		reach := jvreach.New(o)
		f, s := newClaimFixture(t, reach, script{status: 200, body: "answer", unframed: true, ended: true})
		s.during = func(jvconfig.Target) {
			reach.Failed("t0")
			reach.Failed("t1")
			time.Sleep(time.Second)
		}
		require.Equal(t, "200 until the close: answer", f.serve(t.Context(), t, "once", nil))
		require.Zero(t, s.probes)
		synctest.Wait() // Timers fire at the same moment.
		require.Empty(t, f.relay.registry.unverified)
		require.Empty(t, f.relay.crashes.unresolved)
	})
}

// TestClaimedEndAmongEnded guards against a response without a length that counts as ended like its target's when all
// targets refuse connections, and against a report of a crash then: this router's own link may be at fault.
func TestClaimedEndAmongEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := jvtimer.NewService()
		t.Cleanup(timer.Close)
		o := jvreach.DefaultOptions()
		o.Timer = timer
		o.Random = func() float64 { return 0.5 }
		o.Targets = func() []jvreach.Target { return []jvreach.Target{{Name: "t0"}, {Name: "t1"}, {Name: "t2"}} }
		o.Connect = func(context.Context, jvreach.Target) bool { return false }
		f, s := newClaimFixture(t, jvreach.New(o), script{status: 200, body: "ans", unframed: true, ended: true})
		var digest jvquarantine.Digest
		got := f.serve(t.Context(), t, "once", func(q *Request) { digest = jvquarantine.DigestOf(q.digest("w")) })
		require.Equal(t, "refused 502 failed, retry after 0s", got)
		require.Equal(t, 1, s.probes)
		require.False(t, f.relay.options.Quarantine.Suspected(digest))
		require.Empty(t, f.relay.registry.unverified)
	})
}

// TestClaimedEndIsCrash guards against a target's end during a request that no report of a crash names, since the
// response has no length and ends with the target's process: it is reported as that of a response with a length.
func TestClaimedEndIsCrash(t *testing.T) {
	for _, c := range []struct {
		name   string
		script script
		want   bool
	}{
		{"no length, process ends", script{status: 200, body: "ans", unframed: true, ended: true}, true},
		{"length, process ends", script{status: 200, body: "ans", cut: true, ended: true}, true},
		{"no length, process listens", script{status: 200, body: "ans", unframed: true}, false},
		{"no length, no response", script{status: 200, body: "ans", unframed: true, dark: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := newClaimFixture(t, nil, c.script)
				var digest jvquarantine.Digest
				f.serve(t.Context(), t, "once", func(q *Request) { digest = jvquarantine.DigestOf(q.digest("w")) })
				require.Equal(t, c.want, f.relay.options.Quarantine.Suspected(digest))
				require.Equal(t, c.want, len(f.relay.registry.unverified) == 1)
				require.Equal(t, 1, s.probes)
			})
		})
	}
}

// TestClaimedEndForPeer guards against an attempt for another router that ends cleanly there although the target's
// process has ended.
func TestClaimedEndForPeer(t *testing.T) {
	for _, c := range []struct {
		name  string
		ended bool
	}{{"ended", true}, {"listens", false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := newClaimFixture(t, nil, script{status: 200, body: "ans", unframed: true, ended: c.ended})
				r, err := f.relay.ServePeer(t.Context(), Dispatch{
					Request: &Request{ID: "q", Method: "POST", Host: "h", URI: "/once/x", Header: http.Header{}}, Timeout: time.Second,
					Selection: Selection{Pool: "p"},
				}, "r1")
				require.NoError(t, err)
				body, err := io.ReadAll(r.Body)
				require.Equal(t, "ans", string(body))
				require.Equal(t, c.ended, err != nil)
				require.NoError(t, r.Body.Close())
				require.Equal(t, 1, s.probes)
				require.Equal(t, c.ended, len(f.relay.registry.unverified) == 1)
			})
		})
	}
}

// TestPeerLeaves guards against an attempt for another router that counts as whole although the other router has left
// before the end of the response.
func TestPeerLeaves(t *testing.T) {
	for _, c := range []struct {
		name string
		read int
		want string
	}{
		{"before the response", 0, "gone"},
		{"in the response", 3, "gone"},
		{"after its last byte, before its end", 6, "gone"},
		{"after its end", 7, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _ := newClaimFixture(t, nil, script{status: 200, body: "answer"})
				r, err := f.relay.ServePeer(t.Context(), Dispatch{
					Request: &Request{ID: "q", Method: "POST", Host: "h", URI: "/once/x", Header: http.Header{}}, Timeout: time.Second,
					Selection: Selection{Pool: "p"},
				}, "r1")
				require.NoError(t, err)
				_, err = io.ReadFull(r.Body, make([]byte, c.read))
				require.Equal(t, c.want == "", errors.Is(err, io.ErrUnexpectedEOF))
				require.NoError(t, r.Body.Close())
				var metrics strings.Builder
				f.relay.Meter().Write(&metrics)
				require.Contains(t, metrics.String(), fmt.Sprintf("jv_relay_forwarded_total{direction=\"in\",failure=%q} 1", c.want))
			})
		})
	}
}

// TestSlowProbeOfClaimedEnd guards against a response without a length that counts as ended like its target's since a
// packet of the probe is lost, or this router is slow, and against a response that the probe holds past its deadline.
func TestSlowProbeOfClaimedEnd(t *testing.T) {
	for _, c := range []struct {
		name     string
		delay    time.Duration
		deadline time.Duration
		want     string
	}{
		{"at once", 0, 3 * time.Second, "refused 502 failed, retry after 0s"},
		{"packet sent again", 1100 * time.Millisecond, 10 * time.Second, "refused 502 failed, retry after 0s"},
		{"never", time.Hour, 10 * time.Second, "200 until the close: ans"},
		{"never, near the deadline", time.Hour, 100 * time.Millisecond, "200 until the close: ans"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := newClaimFixture(t, nil, script{status: 200, body: "ans", unframed: true, ended: true})
				s.delay = c.delay
				f.relay.Configure(jvroute.NewTable(2, jvroute.Limits{}).WithPools([]jvroute.Pool{{Name: "p"}}).WithRoutes([]jvroute.Route{{
					Name: "once", Host: "h", Prefix: "/", Kind: jvroute.KindUnsafe, MaxAttempts: 1, Pools: []jvroute.WeightedPool{{Pool: "p", Weight: 1}},
				}}))
				begun := time.Now()
				require.Equal(t, c.want, f.serve(t.Context(), t, "once", func(q *Request) { q.Deadline = begun.Add(c.deadline) }))
				require.Less(t, time.Since(begun), min(c.deadline, 2*endProbeTimeout))
				require.Equal(t, 1, s.probes)
			})
		})
	}
}
