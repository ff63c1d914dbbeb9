package jvrelay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestServePeerForeignResponse guards against a target that answers with other requests' responses and gets ever more
// attempts of other routers: each counted as one that it has served.
func TestServePeerForeignResponse(t *testing.T) {
	for _, c := range []struct {
		name     string
		script   script
		failures int
	}{
		{"the attempt's", script{status: 200, body: "answer"}, 0},
		{"another request's", script{status: 200, body: "answer", unsigned: true}, 1},
		{"a refusal", script{status: 503, refused: true}, 0},
		{"a refusal that may be another request's", script{status: 503, unsigned: true, unidentified: true}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixture(t, c.script)
				r, err := s.relay.ServePeer(t.Context(), Dispatch{
					Request: &Request{ID: "q", Method: "POST", Host: "h", URI: "/once/x", Header: http.Header{}}, Timeout: time.Second,
					Selection: Selection{Pool: "p"},
				}, "r1")
				require.NoError(t, err)
				require.NoError(t, r.Body.Close())
				failures := 0
				for _, g := range s.relay.targets.Views()["p"].Targets {
					failures += g.Failures
				}
				require.Equal(t, c.failures, failures)
			})
		})
	}
}

// TestStatusWithoutRefusal guards against a caller that gets "not run" for a request that ran: a server's own response has
// a status that promises this, and the server doesn't say that it did not run the request.
func TestStatusWithoutRefusal(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for route, want := range map[string]string{
			"once": "refused 502 failed, retry after 0s", "fixed": "refused 502 failed, retry after 0s",
			"safe": "200 length 6: answer", "stream": "200 length -1: id: 1|data: a||id: 2|data: b||id: 3|data: c||",
		} {
			synctest.Test(t, func(t *testing.T) {
				whole := script{status: 200, body: "answer"}
				if route == "stream" {
					whole.body = events123
				}
				s := newFixture(t, script{status: status, body: "late"}, whole)
				require.Equal(t, want, s.serve(t.Context(), t, route, nil), "%d on %s", status, route)
			})
		}
	}
}

// TestUnprovenRefusal guards against a full server that is paused as a faulty one, and against "not run" for a request that
// may have run: the refusal may be that of an earlier request on its connection.
func TestUnprovenRefusal(t *testing.T) {
	unproven := script{status: 503, unsigned: true, unidentified: true}
	for route, want := range map[string]string{"once": "refused 502 failed, retry after 0s", "safe": "200 length 6: answer"} {
		synctest.Test(t, func(t *testing.T) {
			s := newFixture(t, unproven, script{status: 200, body: "answer"})
			require.Equal(t, want, s.serve(t.Context(), t, route, nil), route)
			for _, g := range s.relay.targets.Views()["p"].Targets {
				require.Zero(t, g.Failures, g.Target)
			}
		})
	}
}
