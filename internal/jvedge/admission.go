package jvedge

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvpressure"
)

// admission refuses requests before their bodies are read while the process is short of a resource.
type admission struct {
	gate      *jvpressure.Gate
	workspace func(key string) string
	logger    logr.Logger
	next      http.Handler
}

// Admit wraps a handler so that a gate admits its requests. workspace returns the name of a key's workspace, or "" for an
// unknown key.
func Admit(gate *jvpressure.Gate, workspace func(key string) string, logger logr.Logger, next http.Handler) http.Handler {
	return &admission{gate: gate, workspace: workspace, logger: logger, next: next}
}

// ServeHTTP implements http.Handler.
func (a *admission) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	flow := jvpressure.Flow{Workspace: a.workspace(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))}
	refusal := a.gate.Enter(jvpressure.Request{Flow: flow})
	if refusal != nil {
		a.refuse(w, flow, refusal)
		return
	}
	defer a.gate.Leave(flow, false)
	a.next.ServeHTTP(w, r)
}

func (a *admission) refuse(w http.ResponseWriter, flow jvpressure.Flow, refusal *jvpressure.Refusal) {
	if refusal.Logged {
		a.logger.Info("request refused unread", "reason", refusal.Kind, "workspace", flow.Workspace)
	}
	seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	writeProblem(w, http.StatusServiceUnavailable, jvfleet.ProblemOverloaded, "this VM has too much to do: another one may take the request", seconds)
}
