package jvrelay

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvgrant"
)

const (
	events123 = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	events23  = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	events1   = "id: 1\ndata: a\n\n"
)

// TestWhatFailuresProve: for each kind of request and each way in which its attempts fail, the
// caller is told "not run" exactly when nothing ran, and nothing runs again that must not.
func TestWhatFailuresProve(t *testing.T) {
	whole := script{status: 200, body: "answer"}
	var b strings.Builder
	for _, c := range []struct {
		name    string
		scripts []script
	}{
		{"whole", []script{whole}},
		{"unreachable, then whole", []script{{err: KindUnsent}, whole}},
		{"all unreachable", []script{{err: KindUnsent}, {err: KindUnsent}, {err: KindUnsent}}},
		{"full, then whole", []script{{status: 503, refused: true}, whole}},
		{"all full", []script{{status: 503, refused: true}, {status: 503, refused: true}, {status: 503, refused: true}}},
		{"broken before the answer, then whole", []script{{err: KindBroken}, whole}},
		{"cut within the answer, then whole", []script{{status: 200, body: "ans", cut: true}, whole}},
		{"another's answer, then whole", []script{{status: 200, body: "other", unsigned: true}, whole}},
		{"failure, then whole", []script{{status: 500, body: "failed"}, whole}},
		{"failure twice", []script{{status: 500, body: "failed"}, {status: 500, body: "failed again"}}},
		{"refusal of the caller's fault", []script{{status: 404, body: "no such tin"}}},
		{"full, then broken", []script{{status: 503, refused: true}, {err: KindBroken}, {err: KindBroken}}},
		{"silent", []script{{status: 200, hang: true}}},
	} {
		for _, route := range []string{"once", "safe"} {
			synctest.Test(t, func(t *testing.T) {
				s := newStage(t, c.scripts...)
				got := s.serve(t.Context(), t, route, nil)
				fmt.Fprintf(&b, "%s, %s: %s [%s]\n", c.name, route, got, strings.Join(s.sender.sent, "; "))
			})
		}
	}
	goldie.New(t).Assert(t, "failures", []byte(b.String()))
}

// TestStreams: a stream that may be resumed goes on at another target with the event after the
// last one; no event is missing, none comes twice, and one that may not is cut.
func TestStreams(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		name    string
		scripts []script
		last    string
	}{
		{"whole", []script{{status: 200, body: events123}}, ""},
		{"cut between events", []script{{status: 200, body: events1, cut: true}, {status: 200, body: events23}}, ""},
		{"cut within an event", []script{{status: 200, body: events1 + "id: 2\nda", cut: true}, {status: 200, body: events23}}, ""},
		{"ends within an event", []script{{status: 200, body: events1 + "id: 2\nda"}, {status: 200, body: events23}}, ""},
		{"second target repeats", []script{{status: 200, body: events1, cut: true}, {status: 200, body: events123}}, ""},
		{"second target leaves a gap", []script{{status: 200, body: events1, cut: true}, {status: 200, body: "id: 3\ndata: c\n\n"}}, ""},
		{"cut before the first event", []script{{status: 200, cut: true}, {status: 200, body: events123}}, ""},
		{"caller resumes", []script{{status: 200, body: events23}}, "1"},
		{"failure, then whole", []script{{status: 500, body: "x"}, {status: 200, body: events123}}, ""},
		{"cut twice", []script{{status: 200, body: events1, cut: true}, {err: KindBroken}}, ""},
	} {
		for _, route := range []string{"stream", "fixed"} {
			synctest.Test(t, func(t *testing.T) {
				s := newStage(t, c.scripts...)
				got := s.serve(t.Context(), t, route, func(q *Request) { q.LastEventID = c.last })
				fmt.Fprintf(&b, "%s, %s: %s [%s] %d tokens\n", c.name, route, got, strings.Join(s.sender.sent, "; "), 10_000-s.budgets.left)
			})
		}
	}
	goldie.New(t).Assert(t, "streams", []byte(b.String()))
}

// TestAdmission: routes, keys and budgets are checked before anything is sent.
func TestAdmission(t *testing.T) {
	for _, c := range []struct {
		name   string
		route  string
		change func(s *stage, q *Request)
		want   string
	}{
		{"no such route", "other", nil, "refused 404 missing, come back after 0s"},
		{"unknown key", "safe", func(_ *stage, q *Request) { q.Key = "stolen" }, "refused 401 unauthorized, come back after 0s"},
		{"no key", "safe", func(_ *stage, q *Request) { q.Key = "" }, "refused 401 unauthorized, come back after 0s"},
		{"too little here", "stream", func(s *stage, _ *Request) { s.budgets.left = 10 }, "refused 503 budget, come back after 300ms"},
		{"nothing left anywhere", "stream", func(s *stage, _ *Request) { s.budgets.left = 10; s.budgets.kind = jvgrant.KindEmpty }, "refused 503 budget, come back after 1s"},
		{"spent", "stream", func(s *stage, _ *Request) { s.budgets.left = 10; s.budgets.kind = jvgrant.KindSpent }, "refused 402 budget, come back after 0s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStage(t, script{status: 200, body: "answer"})
				got := s.serve(t.Context(), t, c.route, func(q *Request) {
					if c.change != nil {
						c.change(s, q)
					}
				})
				require.Equal(t, c.want, got)
				require.Empty(t, s.sender.sent)
			})
		})
	}
}

// TestCallerLeaves: an attempt ends with its caller, and its budget counts the prompt, what was
// delivered, and two events that may have been on their way.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage(t, script{status: 200, body: events1, hang: true})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(300 * time.Millisecond)
			cancel()
		}()
		began := time.Now()
		got := s.serve(ctx, t, "stream", nil)
		require.Equal(t, "200 length -1: id: 1|data: a||", got)
		require.Equal(t, 300*time.Millisecond, time.Since(began))
		require.EqualValues(t, 10_000-1021, s.budgets.left)
	})
}

// TestTimeout: at the route's time-out the caller is told at once, and not that nothing ran.
func TestTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage(t, script{after: time.Hour})
		began := time.Now()
		require.Equal(t, "refused 504 deadline, come back after 0s", s.serve(t.Context(), t, "once", nil))
		require.Equal(t, 2*time.Second, time.Since(began))
	})
}

// TestConfigurationNeverGoesBack: an older version that comes late changes nothing.
func TestConfigurationNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage(t)
		s.relay.Configure(table(9))
		s.relay.Configure(table(4))
		require.EqualValues(t, 9, s.relay.Table().Version())
	})
}

// TestLapsedEntries: entries that are missing just after the log was away are kept until it
// had time to bring them back; at other times they go at once.
func TestLapsedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage(t)
		g := s.relay.Registry()
		g.Update(map[string]*Entry{"t0": nil}, false)
		require.NotContains(t, g.Entries(), "t0")
		g.LogReconnected()
		g.Update(map[string]*Entry{"t1": nil, "t2": nil}, false)
		require.Contains(t, g.Entries(), "t1")
		time.Sleep(time.Second)
		back := g.Entries()["t1"]
		g.Update(map[string]*Entry{"t1": &back}, false)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Contains(t, g.Entries(), "t1", "it came back")
		require.NotContains(t, g.Entries(), "t2", "it did not")
	})
}

// TestReady: a router is sent callers once it knows configuration, targets and budgets.
func TestReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage(t)
		ok, _ := s.relay.Ready()
		require.True(t, ok)
		s.budgets.ready = false
		ok, why := s.relay.Ready()
		require.False(t, ok)
		require.Equal(t, "budgets not read yet", why)
		s.budgets.ready = true
		s.relay.options.LinkCongested = func() bool { return true }
		_, why = s.relay.Ready()
		require.Equal(t, "link crowded", why)
		s.relay.options.LinkCongested = func() bool { return false }
		s.relay.Stop()
		_, why = s.relay.Ready()
		require.Equal(t, "stopping", why)
	})
}

// TestDisplacedTargets answers a load pattern of crashes while the log is away: servers come
// back under new names at their old addresses, and their old entries stay. Each is found by
// one request, not by every one that is sent there.
func TestDisplacedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var scripts []script
		for range 2 {
			scripts = append(scripts, script{misplaced: true})
		}
		for range 30 {
			scripts = append(scripts, script{status: 200, body: "answer"})
		}
		s := newStage(t, scripts...)
		for range 30 {
			require.Equal(t, "200 length 6: answer", s.serve(t.Context(), t, "once", nil))
		}
		require.Len(t, s.sender.sent, 32)
		left := 0
		for _, p := range s.relay.Dump().Pools {
			left += len(p.Targets)
		}
		require.Equal(t, 1, left)
		again := map[string]*Entry{}
		for id, e := range s.relay.Registry().Entries() {
			again[id] = &e
		}
		s.relay.Registry().Update(again, false)
		require.Len(t, s.relay.Dump().Pools["p"].Targets, 3, "an entry that is written anew counts again")
	})
}

// TestSilentTargets answers a load pattern of servers that go dark: they take requests and send
// nothing, or nothing more. What may run again goes to another server while there is time, the
// rest waits for its time-out.
func TestSilentTargets(t *testing.T) {
	for _, c := range []struct {
		route   string
		scripts []script
		want    string
		after   time.Duration
	}{
		{"stream", []script{{after: time.Hour}, {status: 200, body: events123}}, "200 length -1: id: 1|data: a||id: 2|data: b||id: 3|data: c||", 1200 * time.Millisecond},
		{"stream", []script{{status: 200, body: events1, hang: true}, {status: 200, body: events23}}, "200 length -1: id: 1|data: a||id: 2|data: b||id: 3|data: c||", 700 * time.Millisecond},
		{"safe", []script{{after: time.Hour}, {status: 200, body: "answer"}}, "200 length 6: answer", 1200 * time.Millisecond},
		{"fixed", []script{{after: time.Hour}}, "refused 504 deadline, come back after 0s", 2 * time.Second},
		{"once", []script{{after: time.Hour}}, "refused 504 deadline, come back after 0s", 2 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newStage(t, c.scripts...)
			began := time.Now()
			require.Equal(t, c.want, s.serve(t.Context(), t, c.route, nil))
			require.Equal(t, c.after, time.Since(began), c.route)
		})
	}
}
