package jvfleet_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfake"
	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvoperator"
	"github.com/jasminevale/jasminevale/internal/jvstandin"
)

const (
	callerKey     = "caller-key"
	prepaidTokens = 100_000
	// callerTimeout is the time after which a caller gives up on a router that does not respond.
	callerTimeout = 15 * time.Second
)

// simulatedFleet is six real routers in one simulation, with a client of an operator.
type simulatedFleet struct {
	t      *testing.T
	sim    *jvfake.Simulation
	client *jvoperator.Client
}

// vms are the VMs of a simulated fleet with their zones.
var vms = []struct{ vm, zone string }{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}, {"c2", "c"}}

// newSimulatedFleet starts a router on each VM, publishes a configuration and tops up a budget. If
// change is not nil, it changes the options of each router.
func newSimulatedFleet(t *testing.T, change func(o *jvfleet.Options)) *simulatedFleet {
	t.Helper()
	s := &simulatedFleet{t: t, sim: jvfake.NewSimulation(t.Name())}
	for _, v := range vms {
		s.startRouter(v.vm, v.zone, change)
	}
	s.client = jvoperator.NewClient(jvoperator.Options{
		Operator: "test",
		Stream:   "fleet",
		Log:      s.sim.Log(),
		Timer:    s.sim.Timer,
		Chance:   jvchance.NewSource(sha256.Sum256([]byte(t.Name()))),
		Logger:   logr.Discard(),
	})
	ctx := context.Background()
	require.NoError(t, s.client.WaitReady(ctx))
	_, err := s.client.Publish(ctx, "first", fleetBundle(), 0)
	require.NoError(t, err)
	require.NoError(t, s.client.Topup(ctx, "first", "quick", prepaidTokens))
	time.Sleep(5 * time.Second)
	return s
}

func (s *simulatedFleet) startRouter(vm, zone string, change func(o *jvfleet.Options)) {
	o := s.sim.Options(vm, zone)
	if change != nil {
		change(&o)
	}
	s.sim.Start(o)
}

func (s *simulatedFleet) close() {
	s.client.Close()
	s.sim.Close()
}

func fleetBundle() jvoperator.Bundle {
	engines := jvconfig.Pool{Name: "engines", Kind: jvconfig.PoolEngine}
	desk := jvconfig.Pool{Name: "desk", Kind: jvconfig.PoolService, DeadlineMillis: 10_000, MaxAttempts: 3, Calls: []jvconfig.CallRule{
		{Method: "GET", Prefix: "/stock"},
		{Method: "POST", Prefix: "/bookings", Once: true},
	}}
	for _, zone := range []string{"a", "b", "c"} {
		for n := 1; n <= 2; n++ {
			engine, service := fmt.Sprintf("engine-%s%d", zone, n), fmt.Sprintf("desk-%s%d", zone, n)
			engines.Targets = append(engines.Targets, jvconfig.Target{Name: engine, Zone: zone, Address: engine + ":1", Slots: 8})
			desk.Targets = append(desk.Targets, jvconfig.Target{Name: service, Zone: zone, Address: service + ":1", Slots: 8})
		}
	}
	return jvoperator.Bundle{
		Workspaces: []jvconfig.Workspace{{Name: "w", Keys: []string{jvconfig.KeyDigest(callerKey)}, Services: []string{"desk"}}},
		Pools:      []jvconfig.Pool{engines, desk},
		Profiles: []jvconfig.Profile{{
			Name: "quick", Workspace: "w", Pool: "engines", Work: jvconfig.WorkQuick, Model: "quick",
			MaxOutput: 40, DeadlineMillis: 10_000, Priority: 5, MaxAttempts: 3, AheadPercent: 20,
		}},
	}
}

// response is the response to one caller, or the problem unreachable where there was none.
type response struct {
	outcome    string
	problem    string
	message    string
	text       string
	body       string
	retryAfter time.Duration
	elapsed    time.Duration
}

func (r response) served() bool { return r.outcome == "done" && r.problem == "" }

// book sends a booking, a call that must not be repeated.
func (s *simulatedFleet) book(vm, key, text string) response {
	return s.send(vm, func(rt *jvfleet.Router) (*jvfleet.Request, *jvfleet.Problem) {
		return rt.AdmitCall(jvfleet.Incoming{
			Authorization: "Bearer " + callerKey, Key: key, Service: "desk", Method: "POST", Path: "/bookings", Body: []byte(text),
		})
	})
}

// lookUp sends an idempotent call.
func (s *simulatedFleet) lookUp(vm, path string) response {
	return s.send(vm, func(rt *jvfleet.Router) (*jvfleet.Request, *jvfleet.Problem) {
		return rt.AdmitCall(jvfleet.Incoming{Authorization: "Bearer " + callerKey, Service: "desk", Method: "GET", Path: path})
	})
}

// messages returns the messages of a chat request in JSON.
func messages(text string) []byte {
	data, _ := json.Marshal([]map[string]string{{"role": "user", "content": text}})
	return data
}

// chat sends a model request for the profile quick.
func (s *simulatedFleet) chat(vm, key, text string) response { return s.chatOn("quick", vm, key, text) }

// chatOn sends a model request for a profile.
func (s *simulatedFleet) chatOn(profile, vm, key, text string) response {
	return s.send(vm, func(rt *jvfleet.Router) (*jvfleet.Request, *jvfleet.Problem) {
		body := fmt.Sprintf(`{"model":%q,"messages":%s}`, profile, messages(text))
		q, _, p := rt.AdmitChat(jvfleet.Incoming{Authorization: "Bearer " + callerKey, Key: key, Body: []byte(body)})
		return q, p
	})
}

// send has a request admitted and served by the router of a VM, and reads the answer to its end.
func (s *simulatedFleet) send(vm string, admit func(*jvfleet.Router) (*jvfleet.Request, *jvfleet.Problem)) response {
	started := s.sim.Timer.Now()
	rt := s.sim.Router(vm)
	if rt == nil {
		return response{problem: "unreachable"}
	}
	q, p := admit(rt)
	if p != nil {
		return response{outcome: string(p.Outcome), problem: string(p.Name), message: p.Message, retryAfter: p.RetryAfter}
	}
	fl, p := rt.Serve(q)
	if p != nil {
		return response{outcome: string(p.Outcome), problem: string(p.Name), message: p.Message, retryAfter: p.RetryAfter}
	}
	defer fl.Detach()
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	var text strings.Builder
	for from := int64(0); ; {
		events, end, err := fl.Read(ctx, from)
		if err != nil || s.sim.Router(vm) != rt {
			return response{problem: "unreachable"}
		}
		for _, e := range events {
			text.WriteString(e.Text)
		}
		from += int64(len(events))
		if end != nil {
			return response{
				outcome: end.Outcome, problem: end.Problem, message: end.Message, text: text.String(), body: string(end.Body),
				retryAfter: time.Duration(end.RetryAfter) * time.Second, elapsed: s.sim.Timer.Since(started),
			}
		}
	}
}

// budgetTotals returns the totals of the profile quick's budget in the log.
func (s *simulatedFleet) budgetTotals() (t jvledger.BudgetTotals) {
	s.client.View(func(state *jvledger.State) { t = state.BudgetTotals("quick") })
	return t
}

// billedRequests returns the number of requests for the profile quick that the log has billed.
func (s *simulatedFleet) billedRequests() (n int64) {
	s.client.View(func(state *jvledger.State) {
		if b := state.BillTotals["w"]["quick"]; b != nil {
			n = b.Requests
		}
	})
	return n
}

// violation returns a guarantee that the state in the log or the engines' use violates, or "".
func (s *simulatedFleet) violation() (violated string) {
	s.client.View(func(state *jvledger.State) {
		switch {
		case state.UnbalancedProfile() != "":
			violated = "a budget does not add up"
		case state.Breaches > 0:
			violated = "a router reported more tokens than it held"
		}
	})
	if used := s.sim.UsedTokens("quick"); used > prepaidTokens {
		violated = fmt.Sprintf("%d tokens used of %d", used, prepaidTokens)
	}
	return violated
}

// checkHello returns what is wrong with the text of an answer to "hello", or "" if it is complete.
func checkHello(r response) string {
	return jvstandin.CheckAnswer(messages("hello"), 40, r.text)
}
