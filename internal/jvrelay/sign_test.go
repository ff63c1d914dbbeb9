package jvrelay

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
)

// TestLeavingTargetsAreLeft guards against requests to a target after a response in which it said that it leaves: whole,
// refused, of an error, retries of the same request, streams, and attempts for other routers.
func TestLeavingTargetsAreLeft(t *testing.T) {
	whole := script{status: 200, body: "answer"}
	for _, c := range []struct {
		name  string
		route string
		first script
	}{
		{"whole", "once", script{status: 200, body: "answer", leaving: true}},
		{"error", "once", script{status: 500, body: "failed", leaving: true}},
		{"refused", "once", script{status: 503, refused: true, leaving: true}},
		{"broken off", "safe", script{status: 200, body: "ans", cut: true, leaving: true}},
		{"stream", "stream", script{status: 200, body: events123, leaving: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixture(t, c.first)
				s.serve(t.Context(), t, c.route, nil)
				left := s.sender.target
				require.True(t, s.relay.targets.Leaves(left))
				for range 20 {
					s.sender.scripts = []script{whole}
					s.serve(t.Context(), t, "once", nil)
					require.NotEqual(t, left, s.sender.target)
					s.sender.scripts = []script{whole}
					r, err := s.relay.ServePeer(t.Context(), Dispatch{
						Request: &Request{ID: "q", Method: "POST", Host: "h", URI: "/once/x", Header: http.Header{}}, Timeout: time.Second, Selection: Selection{Pool: "p"},
					}, "r1")
					require.NoError(t, err)
					_, _ = io.ReadAll(r.Body)
					require.NoError(t, r.Body.Close())
					require.NotEqual(t, left, s.sender.target)
				}
			})
		})
	}
}

// TestLeavingIsRetriedElsewhere guards against a request that is refused although others of the pool would run it.
func TestLeavingIsRetriedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, script{status: 503, refused: true, leaving: true}, script{status: 200, body: "answer"})
		require.Equal(t, "200 length 6: answer", s.serve(t.Context(), t, "once", nil))
	})
}

// TestForwardedLeaving guards against another router's next attempt at a target that has said that it leaves in a
// response which this router has passed on.
func TestForwardedLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCutFixture(t, script{status: 200, body: "answer", leaving: true}, script{status: 200, body: "answer"})
		f.relay.Registry().Update(map[string]*Entry{"t9": {Pool: "p", Target: jvconfig.Target{Name: "t9", Zone: "a", Address: "t9:1", Slots: 4, Version: "v1"}}}, false)
		f.relay.options.Reach.Failed("t9")
		for range 2 {
			require.Equal(t, "200 length 6: answer", f.serve(t.Context(), t, "once", nil))
		}
		require.Contains(t, f.forwarder.sent[0], "avoiding []")
		require.Contains(t, f.forwarder.sent[1], "avoiding [t9]")
	})
}

// TestLeavingIsNoCrash guards against quarantining requests that were running on a target that ends after it has said
// that it leaves, while its entry still shows it as ready.
func TestLeavingIsNoCrash(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newFixture(t, script{status: 200, body: "ans", hang: true, leaving: leaving})
			s.serve(t.Context(), t, "once", nil)
			id := s.sender.target
			synctest.Wait() // The detector's timer fires at the deadline as well.
			require.Len(t, s.relay.crashes.unresolved[id], 1)
			s.relay.Registry().Update(map[string]*Entry{id: nil}, false)
			require.Equal(t, leaving, s.relay.crashes.lapsed[id] == nil)
		})
	}
}

// TestNamedTimes guards against requests to a target in the time that it has named, against a request that is refused
// although others would run it, and against callers that come back before the first target wants requests.
func TestNamedTimes(t *testing.T) {
	busy := func(d time.Duration) script { return script{status: 503, refused: true, retryAfter: d} }
	whole := script{status: 200, body: "answer"}
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, busy(5*time.Second), whole)
		require.Equal(t, "200 length 6: answer", s.serve(t.Context(), t, "once", nil), "it goes elsewhere at once")
		wants := map[string]bool{}
		for range 20 {
			s.sender.scripts = []script{whole}
			s.serve(t.Context(), t, "once", nil)
			wants[s.sender.target] = true
		}
		require.Len(t, wants, 2)
		require.Equal(t, 1, s.relay.targets.CountBackoff())
	})
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, busy(5*time.Second), busy(4*time.Second), busy(6*time.Second))
		start := time.Now()
		require.Regexp(t, `^refused 503 overloaded, retry after 4\.[0-9]*s$`, s.serve(t.Context(), t, "once", nil))
		require.Regexp(t, `^refused 503 overloaded, retry after 4\.[0-9]*s$`, s.serve(t.Context(), t, "safe", nil))
		require.Zero(t, time.Since(start))
		require.Len(t, s.sender.sent, 3)
	})
}
