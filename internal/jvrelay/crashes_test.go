package jvrelay

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
)

// crash is the script of a target whose process ends before it responds.
var crash = script{err: KindBroken, ended: true}

// entry returns the entry of target n of the fixture with the start time of its process.
func entry(n int, startedAt int64) *Entry {
	id := fmt.Sprint("t", n)
	return &Entry{Pool: "p", Target: jvconfig.Target{Name: id, Zone: "a", Address: id + ":1", Slots: 4}, StartedAtMillis: startedAt}
}

// entryAt returns the entry of a target whose address is its own.
func entryAt(id string) *Entry {
	return &Entry{Pool: "p", Target: jvconfig.Target{Name: id, Zone: "a", Address: id + ":1", Slots: 4}, StartedAtMillis: 1}
}

// serveCopies sends copies of one request, 3 s apart, so that targets are tried again, and returns how
// many attempts targets got and what the last caller received.
func (s *fixture) serveCopies(t *testing.T, route string, copies int) (attempts int, last string) {
	for range copies {
		last = s.serve(t.Context(), t, route, nil)
		time.Sleep(3 * time.Second)
	}
	return len(s.sender.sent), last
}

// TestCrashingRequestIsStopped guards against sending a request to targets again after it has crashed
// three (incident BUDGET): the third crash ends it, also within one copy, and later copies are refused
// at once, before a reservation, with the time after which to return.
func TestCrashingRequestIsStopped(t *testing.T) {
	for _, c := range []struct {
		route string
		// crashed is the number of copies that reach a target; a safe request reaches two.
		crashed int
	}{{"safe", 2}, {"once", 3}, {"stream", 2}, {"fixed", 3}} {
		t.Run(c.route, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixture(t, crash, crash, crash, crash, crash, crash, crash)
				attempts, last := s.serveCopies(t, c.route, c.crashed)
				require.Equal(t, 3, attempts)
				require.Contains(t, last, "refused 502")
				left := s.budgets.left
				start := time.Now()
				last = s.serve(t.Context(), t, c.route, nil)
				require.Regexp(t, "^refused 503 quarantined, retry after [1-3][0-9.]*s$", last)
				require.Zero(t, time.Since(start))
				require.Equal(t, left, s.budgets.left)
				s.sender.scripts = []script{{status: 200, body: events123}}
				require.Contains(t, s.serve(t.Context(), t, c.route, func(q *Request) { q.Body = []byte("other") }), "200")
			})
		})
	}
}

// TestLostConnectionsAreNoCrashes guards against blaming a request for connections that break while
// their targets live on.
func TestLostConnectionsAreNoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := script{err: KindBroken}
		s := newFixture(t, lost, lost, lost, lost, lost, lost, script{status: 200, body: "answer"})
		for range 6 {
			require.Contains(t, s.serve(t.Context(), t, "once", nil), "refused 502")
			time.Sleep(3 * time.Second)
		}
		require.Contains(t, s.serve(t.Context(), t, "once", nil), "200")
	})
}

// TestCrashIsFoundLater guards against missing the crash of a target that does not refuse connections:
// it is silent, or back before it is probed. Its entry's new start time, a new entry at its address or
// the response of another instance show the crash; attempts that end without a restart are no crashes.
func TestCrashIsFoundLater(t *testing.T) {
	silent := script{delay: time.Hour}
	lost := script{err: KindBroken}
	for _, c := range []struct {
		name    string
		failure script
		restart func(s *fixture, id string, n int)
		stopped bool
	}{
		{"silent, new start time", silent, func(s *fixture, id string, n int) {
			e := entry(s.sender.index(), int64(n+1))
			s.relay.Registry().Update(map[string]*Entry{id: e}, false)
		}, true},
		{"lost, new start time", lost, func(s *fixture, id string, n int) {
			e := entry(s.sender.index(), int64(n+1))
			s.relay.Registry().Update(map[string]*Entry{id: e}, false)
		}, true},
		{"lost, new entry at the address", lost, func(s *fixture, id string, n int) {
			e := entry(s.sender.index(), int64(n))
			e.Target.Name = fmt.Sprint("new", n)
			s.relay.Registry().Update(map[string]*Entry{e.Target.Name: e}, false)
			s.relay.Registry().Update(map[string]*Entry{e.Target.Name: nil}, false)
		}, true},
		{"lost, no response", script{err: KindBroken, dark: true}, func(*fixture, string, int) {}, true},
		{"silent, entry lapsed, new address", silent, func(s *fixture, id string, n int) {
			s.relay.Registry().Update(map[string]*Entry{id: nil}, false)
			s.relay.Registry().Update(map[string]*Entry{fmt.Sprint("new", n): entryAt(fmt.Sprint("new", n))}, false)
		}, true},
		{"silent, entry lapsed and written again", silent, func(s *fixture, id string, _ int) {
			s.relay.Registry().Update(map[string]*Entry{id: nil}, false)
			s.relay.Registry().Update(map[string]*Entry{id: entry(s.sender.index(), 1)}, false)
		}, false},
		{"silent, left", silent, func(s *fixture, id string, n int) {
			e := entryAt(id)
			e.Leaving = true
			s.relay.Registry().Update(map[string]*Entry{id: e}, false)
			s.relay.Registry().Update(map[string]*Entry{id: nil, fmt.Sprint("new", n): entryAt(fmt.Sprint("new", n))}, false)
		}, false},
		{"silent, entry lapsed, new entry at the address", silent, func(s *fixture, id string, n int) {
			s.relay.Registry().Update(map[string]*Entry{id: nil}, false)
			e := entry(s.sender.index(), int64(n))
			e.Target.Name = fmt.Sprint("new", n)
			s.relay.Registry().Update(map[string]*Entry{e.Target.Name: e}, false)
		}, true},
		{"silent, entry lapsed, new start time", silent, func(s *fixture, id string, n int) {
			s.relay.Registry().Update(map[string]*Entry{id: nil}, false)
			s.relay.Registry().Update(map[string]*Entry{id: entry(s.sender.index(), int64(n+10))}, false)
		}, true},
		{"lost, another instance responds", lost, func(s *fixture, id string, _ int) {
			s.relay.Registry().markDisplaced(id)
			s.relay.Registry().Update(map[string]*Entry{id: entry(s.sender.index(), 1)}, false)
		}, true},
		{"lost, not restarted", lost, func(*fixture, string, int) {}, false},
		{"lost, restarted much later", lost, func(s *fixture, id string, n int) {
			time.Sleep(unresolvedAge + time.Second)
			e := entry(s.sender.index(), int64(n+1))
			s.relay.Registry().Update(map[string]*Entry{id: e}, false)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixture(t, c.failure, c.failure, c.failure, c.failure)
				for n := range 3 {
					s.relay.Registry().Update(map[string]*Entry{fmt.Sprint("t", n): entry(n, 1)}, false)
				}
				for n := range 3 {
					s.serve(t.Context(), t, "once", nil)
					time.Sleep(time.Second)
					c.restart(s, s.sender.target, n+1)
					time.Sleep(3 * time.Second)
				}
				got := s.serve(t.Context(), t, "once", nil)
				require.Equal(t, c.stopped, strings.Contains(got, "quarantined"), got)
			})
		})
	}
}

// TestCallersLeaveSilentTargets guards against missing crashes of targets that go silent, as callers
// leave before the deadline.
func TestCallersLeaveSilentTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := script{delay: time.Hour}
		s := newFixture(t, silent, silent, silent)
		for range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			callerLeaves, leave := context.WithCancel(context.WithoutCancel(ctx))
			go func() {
				<-ctx.Done()
				leave()
			}()
			s.serve(callerLeaves, t, "fixed", nil)
			cancel()
			s.relay.Registry().markDisplaced(s.sender.target)
			time.Sleep(3 * time.Second)
		}
		for n := range 3 {
			s.relay.Registry().Update(map[string]*Entry{fmt.Sprint("t", n): entry(n, 0)}, false)
		}
		require.Contains(t, s.serve(t.Context(), t, "fixed", nil), "refused 503 quarantined")
	})
}

// TestStreamSurvivesCrashes guards against refusing a stream because servers died under it: its events
// arrived, so it did not crash them.
func TestStreamSurvivesCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cut := script{status: 200, body: events1, cut: true, ended: true}
		s := newFixture(t, cut, cut, cut, cut, cut, script{status: 200, body: events123})
		for range 5 {
			s.serve(t.Context(), t, "fixed", nil)
			time.Sleep(3 * time.Second)
		}
		require.Equal(t, "200 length -1: id: 1|data: a||id: 2|data: b||id: 3|data: c||", s.serve(t.Context(), t, "fixed", nil))
	})
}

// TestSuspectsAreSpread guards against following a request that crashes targets from one to the next:
// requests of one prefix that were running in a crash are not sent to the same target again.
func TestSuspectsAreSpread(t *testing.T) {
	chosen := map[string]bool{}
	for n := range 20 {
		synctest.Test(t, func(t *testing.T) {
			s := newFixture(t, crash, script{status: 200, body: events123})
			s.relay.Configure(cachedTable(2))
			for range n {
				s.relay.options.Random.Float() // Each request sees other random numbers.
			}
			s.serve(t.Context(), t, "stream", func(q *Request) {
				q.PromptParts = []PromptPart{{ID: "shared", Tokens: 1000}, {ID: "own", Tokens: 10}}
			})
			require.Len(t, s.sender.sent, 2)
			chosen[s.sender.target] = true
		})
	}
	require.Greater(t, len(chosen), 1, "all second attempts went to one target")
}

// withParts gives a request a body of its own and shared parts before its own part.
func withParts(body string, shared ...string) func(q *Request) {
	return func(q *Request) {
		q.Body = []byte(body)
		for _, id := range shared {
			q.PromptParts = append(q.PromptParts, PromptPart{ID: id, Tokens: 100})
		}
		q.PromptParts = append(q.PromptParts, PromptPart{ID: body, Tokens: 10})
	}
}

// TestCrashingPartIsStopped guards against sending targets different requests that share a part on which
// each target ends after the first event: the third crash stops it, and requests
// with the other parts are served. The last part is a request's own.
func TestCrashingPartIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cut := script{status: 200, body: events1, cut: true, ended: true}
		s := newFixture(t)
		for n := range 3 {
			s.sender.scripts = []script{cut, {status: 200, body: events123}}
			require.Contains(t, s.serve(t.Context(), t, "fixed", withParts(fmt.Sprint(n), "first", "bad", "other")), "cut")
			require.Contains(t, s.serve(t.Context(), t, "fixed", withParts(fmt.Sprint("sound", n), "first", "other")), "200")
			time.Sleep(3 * time.Second)
		}
		s.sender.scripts = []script{{status: 200, body: events123}, {status: 200, body: events123}}
		left := s.budgets.left
		require.Regexp(t, "^refused 503 quarantined, retry after 1m[0-9.]*s$", s.serve(t.Context(), t, "fixed", withParts("new", "first", "bad")))
		require.Equal(t, left, s.budgets.left)
		require.Contains(t, s.serve(t.Context(), t, "fixed", withParts("sound", "first", "other")), "200")
		require.Contains(t, s.serve(t.Context(), t, "fixed", withParts("bad")), "200")
	})
}

// TestUnframedResponses guards against taking the end of a target's process for the end of a response that
// has neither a length nor chunks: a stream without an event is broken off, as is one that ends within an
// event, and a response of that kind does not clear a request.
func TestUnframedResponses(t *testing.T) {
	for _, c := range []struct {
		name, body, want string
		cleared          bool
		unframed         bool
	}{
		{"whole, framed", events123, "200 length -1: id: 1|data: a||id: 2|data: b||id: 3|data: c||", true, false},
		{"whole, unframed", events123, "200 until the close: id: 1|data: a||id: 2|data: b||id: 3|data: c||", false, true},
		{"no event, framed", "", "200 length 0: ", true, false},
		{"no event, unframed", "", "refused 502 failed, retry after 0s", false, true},
		{"ends within an event", events1 + "id: 2\nda", "200 until the close: id: 1|data: a||... cut", false, true},
		{"ends before the blank line", events1 + "id: 2\ndata: b\n", "200 until the close: id: 1|data: a||... cut", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixture(t, crash, script{status: 200, body: c.body, unframed: c.unframed})
				s.serve(t.Context(), t, "fixed", nil)
				time.Sleep(3 * time.Second)
				require.Equal(t, c.want, s.serve(t.Context(), t, "fixed", nil))
				require.Equal(t, c.cleared, s.relay.options.Quarantine.(localQuarantine).Empty())
			})
		})
	}
}

// TestFailureClearsNoPart guards against taking a failure that a target responds with for a response to the
// prompt: it clears the request, but not the parts that crash targets.
func TestFailureClearsNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cut := script{status: 200, body: events1, cut: true, ended: true}
		s := newFixture(t)
		for n := range 3 {
			s.sender.scripts = []script{{status: 404, body: "none"}, cut}
			require.Contains(t, s.serve(t.Context(), t, "fixed", withParts(fmt.Sprint("failed", n), "bad")), "404")
			require.Contains(t, s.serve(t.Context(), t, "fixed", withParts(fmt.Sprint(n), "bad")), "cut")
			time.Sleep(3 * time.Second)
		}
		require.Contains(t, s.serve(t.Context(), t, "fixed", withParts("new", "bad")), "quarantined")
	})
}

// TestUnreadCrashes guards against requests that reach targets at a router that starts, before it has read
// which of them crash targets.
func TestUnreadCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixtureWith(t, func(o *Options) {
			q := newLocalQuarantine(o.Timer)
			q.unloaded = true
			o.Quarantine = q
		}, script{status: 200, body: events123})
		require.Equal(t, "refused 503 unready, retry after 500ms", s.serve(t.Context(), t, "fixed", nil))
		require.Empty(t, s.sender.sent)
	})
}

// TestCompletionsDuringAWait guards against blaming a part for an attempt that broke off long before there
// is evidence of a crash, although requests with the part have completed since.
func TestCompletionsDuringAWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t)
		for n := range 3 {
			s.sender.scripts = []script{{err: KindBroken}, {status: 200, body: events123}}
			s.serve(t.Context(), t, "fixed", withParts(fmt.Sprint("a", n), "part"))
			broken := s.sender.target
			s.serve(t.Context(), t, "fixed", withParts(fmt.Sprint("b", n), "part"))
			s.relay.Registry().markDisplaced(broken)
			s.relay.Registry().Update(map[string]*Entry{broken: entryAt(broken)}, false)
			time.Sleep(3 * time.Second)
		}
		s.sender.scripts = []script{{status: 200, body: events123}}
		require.Contains(t, s.serve(t.Context(), t, "fixed", withParts("last", "part")), "200")
	})
}
