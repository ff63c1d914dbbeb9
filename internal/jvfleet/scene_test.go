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
	callerKey = "caller-key"
	prepaid   = 100_000
	// patience is how long a caller waits for a router before it takes it for dead.
	patience = 15 * time.Second
)

// scene is several real routers on one fake world.
type scene struct {
	t      *testing.T
	world  *jvfake.World
	client *jvoperator.Client
}

// vms are the routers of a scene by zone.
var vms = []struct{ vm, zone string }{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}, {"c2", "c"}}

// newScene starts six routers in three zones with a configuration and a budget.
func newScene(t *testing.T, change func(o *jvfleet.Options)) *scene {
	t.Helper()
	s := &scene{t: t, world: jvfake.NewWorld(t.Name())}
	for _, v := range vms {
		s.start(v.vm, v.zone, change)
	}
	s.client = jvoperator.NewClient(jvoperator.Options{
		Operator: "test",
		Stream:   "fleet",
		Log:      s.world.Log(),
		Timer:    s.world.Timer,
		Chance:   jvchance.NewSource(sha256.Sum256([]byte(t.Name()))),
		Logger:   logr.Discard(),
	})
	ctx := context.Background()
	require.NoError(t, s.client.WaitReady(ctx))
	_, err := s.client.Publish(ctx, "first", sceneBundle(), 0)
	require.NoError(t, err)
	require.NoError(t, s.client.Topup(ctx, "first", "quick", prepaid))
	time.Sleep(5 * time.Second)
	return s
}

func (s *scene) start(vm, zone string, change func(o *jvfleet.Options)) {
	o := s.world.Options(vm, zone)
	if change != nil {
		change(&o)
	}
	s.world.Start(o)
}

func (s *scene) close() {
	s.client.Close()
	s.world.Close()
}

func sceneBundle() jvoperator.Bundle {
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

// told is what one caller was told in the end.
type told struct {
	outcome string
	name    string
	message string
	text    string
	body    string
	retry   time.Duration
	took    time.Duration
}

func (d told) served() bool { return d.outcome == "done" && d.name == "" }

// book sends a booking to a router.
func (s *scene) book(vm, key, text string) told {
	return s.send(vm, func(f *jvfleet.Router) (*jvfleet.Request, *jvfleet.Problem) {
		return f.AdmitCall(jvfleet.Incoming{
			Authorization: "Bearer " + callerKey, Key: key, Service: "desk", Method: "POST", Path: "/bookings", Body: []byte(text),
		})
	})
}

// lookUp sends a lookup to a router.
func (s *scene) lookUp(vm, path string) told {
	return s.send(vm, func(f *jvfleet.Router) (*jvfleet.Request, *jvfleet.Problem) {
		return f.AdmitCall(jvfleet.Incoming{Authorization: "Bearer " + callerKey, Service: "desk", Method: "GET", Path: path})
	})
}

func messages(text string) []byte {
	data, _ := json.Marshal([]map[string]string{{"role": "user", "content": text}})
	return data
}

// chat sends a model request to a router.
func (s *scene) chat(vm, key, text string) told { return s.ask("quick", vm, key, text) }

// ask sends a request on a profile to a router.
func (s *scene) ask(profile, vm, key, text string) told {
	return s.send(vm, func(f *jvfleet.Router) (*jvfleet.Request, *jvfleet.Problem) {
		body := fmt.Sprintf(`{"model":%q,"messages":%s}`, profile, messages(text))
		q, _, p := f.AdmitChat(jvfleet.Incoming{Authorization: "Bearer " + callerKey, Key: key, Body: []byte(body)})
		return q, p
	})
}

func (s *scene) send(vm string, admit func(*jvfleet.Router) (*jvfleet.Request, *jvfleet.Problem)) told {
	started := s.world.Timer.Now()
	f := s.world.Fleet(vm)
	if f == nil {
		return told{name: "unreachable"}
	}
	q, p := admit(f)
	if p != nil {
		return told{outcome: string(p.Outcome), name: string(p.Name), message: p.Message, retry: p.RetryAfter}
	}
	fl, p := f.Serve(q)
	if p != nil {
		return told{outcome: string(p.Outcome), name: string(p.Name), message: p.Message, retry: p.RetryAfter}
	}
	defer fl.Detach()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var text strings.Builder
	for from := int64(0); ; {
		events, end, err := fl.Read(ctx, from)
		if err != nil || s.world.Fleet(vm) != f {
			return told{name: "unreachable"}
		}
		for _, e := range events {
			text.WriteString(e.Text)
		}
		from += int64(len(events))
		if end != nil {
			return told{
				outcome: end.Outcome, name: end.Problem, message: end.Message, text: text.String(), body: string(end.Body),
				retry: time.Duration(end.RetryAfter) * time.Second, took: s.world.Timer.Since(started),
			}
		}
	}
}

// totals returns the budget of the profile quick as the log has it.
func (s *scene) totals() (t jvledger.BudgetTotals) {
	s.client.View(func(state *jvledger.State) { t = state.BudgetTotals("quick") })
	return t
}

// billed returns how many requests the log has billed.
func (s *scene) billed() (n int64) {
	s.client.View(func(state *jvledger.State) {
		if b := state.BillTotals["w"]["quick"]; b != nil {
			n = b.Requests
		}
	})
	return n
}

// fault returns the first promise that the state of the log or the engines breaks, or "".
func (s *scene) fault() (broken string) {
	s.client.View(func(state *jvledger.State) {
		switch {
		case state.UnbalancedProfile() != "":
			broken = "a budget does not add up"
		case state.Breaches > 0:
			broken = "a router reported more than it held"
		}
	})
	if used := s.world.Tokens("quick"); used > prepaid {
		broken = fmt.Sprintf("%d tokens used of %d", used, prepaid)
	}
	return broken
}

// whole tells what is wrong with an answer to "hello", or "".
func whole(d told) string {
	return jvstandin.CheckAnswer(messages("hello"), 40, d.text)
}
