package jvedge_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvedge"
	"github.com/jasminevale/jasminevale/internal/jvpressure"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// unreadBody fails a test that reads it.
type unreadBody struct{ t *testing.T }

// Read implements io.Reader.
func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body of a refused request is read")
	return 0, http.ErrBodyReadAfterClose
}

// TestAdmission guards against a router that reads and runs requests for which it has no place or no processor time: they
// get 503 with Retry-After and the outcome notrun, and places are free again when requests end.
func TestAdmission(t *testing.T) {
	timer := jvtimer.NewService()
	defer timer.Close()
	delay := time.Duration(0)
	o := jvpressure.DefaultGateOptions()
	o.Limits.Requests = 1
	o.Timer = timer
	o.Delay = func() time.Duration { return delay }
	var inside func()
	ran := 0
	workspace := func(key string) string { return strings.TrimSuffix(key, "-key") }
	handler := jvedge.Admit(jvpressure.NewGate(o), workspace, logr.Discard(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ran++
		if inside != nil {
			inside()
		}
		w.WriteHeader(http.StatusOK)
	}))
	send := func() *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", unreadBody{t})
		r.Header.Set("Authorization", "Bearer bakers-key")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w
	}
	requireRefused := func(w *httptest.ResponseRecorder) {
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Equal(t, "1", w.Header().Get("Retry-After"))
		require.Equal(t, "notrun", w.Header().Get("Jv-Outcome"))
		var problem struct {
			Name    string `json:"name"`
			Outcome string `json:"outcome"`
			Retry   int    `json:"retry"`
		}
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &problem))
		require.Equal(t, "overloaded notrun", problem.Name+" "+problem.Outcome)
		require.Equal(t, 1, problem.Retry)
	}
	inside = func() {
		inside = nil
		requireRefused(send()) // While the only place is taken.
	}
	require.Equal(t, http.StatusOK, send().Code)
	require.Equal(t, http.StatusOK, send().Code)
	delay = o.MaxDelay
	requireRefused(send())
	delay = 0
	require.Equal(t, http.StatusOK, send().Code)
	require.Equal(t, 3, ran)
}
