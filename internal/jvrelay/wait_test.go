package jvrelay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEndWaits guards against requests that wait when the drain of a stop ends and get no response: those that
// may have run get a 502 and count as broken by no target, and a begun stream goes on.
func TestEndWaits(t *testing.T) {
	for _, c := range []struct {
		name   string
		route  string
		script script
		want   string
	}{
		{"repeatable", "safe", script{status: 200, body: "answer", delay: time.Second}, "refused 502 failed, retry after 0s"},
		{"running", "once", script{status: 200, body: "answer", delay: time.Second}, "refused 502 failed, retry after 0s"},
		{"response begun", "once", script{status: 200, body: "ans", hang: true}, "refused 502 failed, retry after 0s"},
		{"stream begun", "fixed", script{status: 200, body: "id: 1\ndata: x\n\n", hang: true}, "200 length -1: id: 1|data: x||... cut"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixture(t, c.script)
				go func() {
					time.Sleep(100 * time.Millisecond)
					s.relay.Stop(time.Now(), PlanStop(3*time.Second))
					s.relay.EndWaits()
				}()
				begin := time.Now()
				require.Equal(t, c.want, s.serve(t.Context(), t, c.route, nil))
				if c.name == "stream begun" {
					require.Equal(t, 2*time.Second, time.Since(begin), "it ends at its deadline")
					return
				}
				require.Equal(t, 100*time.Millisecond, time.Since(begin))
				require.Empty(t, s.relay.crashes.unresolved)
			})
		})
	}
}

// TestEndWaitsRefusesNew guards against a request that arrives after the waits of a stop have ended, and is sent to a target.
func TestEndWaitsRefusesNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, script{status: 200, body: "answer"})
		s.relay.Stop(time.Now(), PlanStop(3*time.Second))
		s.relay.EndWaits()
		require.Equal(t, "refused 503 stopping, retry after 50ms", s.serve(t.Context(), t, "once", nil))
		require.Empty(t, s.sender.sent)
	})
}
