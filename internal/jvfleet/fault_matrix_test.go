package jvfleet_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvfake"
	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvledger"
)

// matrixStep is a row of a matrix: a point in the handling of a request.
type matrixStep struct {
	name    string
	matches func(e jvfake.Event) bool
}

// matrixFault is a column of a matrix: the fault that is injected at that point, mostly at a1, the
// first router that the caller tries.
type matrixFault struct {
	name   string
	inject func(s *simulatedFleet, e jvfake.Event)
	// minDuration is the time for which the fault lasts after the last retry, at least 30 s.
	minDuration time.Duration
}

func (f matrixFault) duration() time.Duration { return max(f.minDuration, 30*time.Second) }

// slowMaintenance lengthens the intervals of maintenance, so that tests simulate an hour quickly.
func slowMaintenance(o *jvfleet.Options) {
	o.Timing.MembersInterval = 5 * time.Second
	o.Timing.LoadInterval = 5 * time.Second
	o.Timing.BudgetInterval = 500 * time.Millisecond
	o.Journal.ReadWait = 20 * time.Second
	o.Workers = 16
}

// atAppend matches a step of an append with a record of a kind.
func atAppend(step jvfake.Step, kind string) func(jvfake.Event) bool {
	return func(e jvfake.Event) bool { return e.Step == step && slices.Contains(e.RecordKinds, kind) }
}

func atStep(step jvfake.Step) func(jvfake.Event) bool {
	return func(e jvfake.Event) bool { return e.Step == step }
}

// commonFaults are the faults that are injected at every step of both matrices.
var commonFaults = []matrixFault{
	{name: "kill", inject: func(s *simulatedFleet, _ jvfake.Event) { s.sim.Kill("a1") }},
	{name: "kill and replace", inject: func(s *simulatedFleet, _ jvfake.Event) {
		s.sim.Kill("a1")
		go func() {
			time.Sleep(500 * time.Millisecond)
			s.startRouter("a1", "a", slowMaintenance)
		}()
	}},
	{name: "pause 5 s", inject: func(s *simulatedFleet, _ jvfake.Event) {
		s.sim.Pause("a1")
		go func() {
			time.Sleep(5 * time.Second)
			s.sim.Resume("a1")
		}()
	}},
	{name: "pause an hour", minDuration: time.Hour, inject: func(s *simulatedFleet, _ jvfake.Event) { s.sim.Pause("a1") }},
	{name: "cut from log", inject: func(s *simulatedFleet, _ jvfake.Event) { s.sim.Disconnect("a1", "log") }},
	{name: "cut from peers", inject: func(s *simulatedFleet, _ jvfake.Event) { s.sim.Disconnect("a1", "peers") }},
	{name: "cut from targets", inject: func(s *simulatedFleet, _ jvfake.Event) { s.sim.Disconnect("a1", "targets") }},
	{name: "cut from all", inject: func(s *simulatedFleet, _ jvfake.Event) { s.sim.Disconnect("a1", "log", "vms", "peers", "targets") }},
	{name: "log down", inject: func(s *simulatedFleet, _ jvfake.Event) { s.sim.SetLogDown(true) }},
	{name: "answer lost", inject: func(s *simulatedFleet, e jvfake.Event) {
		part := "targets"
		if len(e.RecordKinds) > 0 {
			part = "log"
		}
		s.sim.Disconnect("a1", part)
		go func() {
			time.Sleep(3 * time.Second)
			s.sim.Heal()
		}()
	}},
	{name: "target crashes", inject: func(s *simulatedFleet, _ jvfake.Event) {
		for _, zone := range []string{"a", "b", "c"} {
			s.sim.Crash("engine-" + zone + "1")
			s.sim.Crash("engine-" + zone + "2")
			s.sim.Crash("desk-" + zone + "1")
			s.sim.Crash("desk-" + zone + "2")
		}
	}},
	{name: "planned stop", inject: func(s *simulatedFleet, _ jvfake.Event) {
		rt := s.sim.Router("a1")
		go rt.Stop(context.Background())
	}},
}

// injectAt injects a fault once, at the first event of a1 that the step matches. The function that
// it returns reports whether it did.
func injectAt(s *simulatedFleet, step matrixStep, fault func(s *simulatedFleet, e jvfake.Event)) func() bool {
	var once sync.Once
	injected := false
	s.sim.Hook(func(e jvfake.Event) {
		if e.VM != "a1" || !step.matches(e) {
			return
		}
		once.Do(func() {
			injected = true
			fault(s, e)
		})
	})
	return func() bool { return injected }
}

// matrixCell runs one cell and returns "passed", "not reached" if no event matched the step, or
// "RED: " and the guarantee that was violated.
type matrixCell func(t *testing.T, step matrixStep, fault matrixFault) string

// runMatrix runs all cells, several at a time, and returns the table of their verdicts.
func runMatrix(t *testing.T, title string, steps []matrixStep, faults []matrixFault, cell matrixCell) string {
	t.Helper()
	verdicts := make([][]string, len(steps))
	t.Run(title, func(t *testing.T) {
		for i, step := range steps {
			verdicts[i] = make([]string, len(faults))
			for n, fault := range faults {
				t.Run(step.name+"/"+fault.name, func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { verdicts[i][n] = cell(t, step, fault) })
					require.NotContains(t, verdicts[i][n], "RED")
				})
			}
		}
	})
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n| step |", title)
	for _, f := range faults {
		fmt.Fprintf(&b, " %s |", f.name)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(faults)) + "\n")
	for i, step := range steps {
		fmt.Fprintf(&b, "| %s |", step.name)
		for _, v := range verdicts[i] {
			fmt.Fprintf(&b, " %s |", strings.SplitN(v, ":", 2)[0])
		}
		b.WriteString("\n")
	}
	return b.String()
}

// onceSteps are the steps of a call that must not be repeated.
var onceSteps = []matrixStep{
	{"before the claim is appended", atAppend(jvfake.StepAppend, "take")},
	{"claim in the log, not read back", atAppend(jvfake.StepAppended, "take")},
	{"before the dispatch", atStep(jvfake.StepCall)},
	{"ran, answer not received", atStep(jvfake.StepCalled)},
	{"answered, outcome not appended", atAppend(jvfake.StepAppend, "finish")},
	{"outcome in the log, not read back", atAppend(jvfake.StepAppended, "finish")},
}

// onceFaults returns the common faults and copies of the call at other routers.
func onceFaults() []matrixFault {
	sendCopies := func(vms ...string) func(*simulatedFleet, jvfake.Event) {
		return func(s *simulatedFleet, _ jvfake.Event) {
			for _, vm := range vms {
				go func() { s.book(vm, "key", "tin") }()
			}
		}
	}
	return append(slices.Clone(commonFaults),
		matrixFault{name: "copy in the zone", inject: sendCopies("a2")},
		matrixFault{name: "copies in all zones", inject: sendCopies("a2", "b1", "b2", "c1", "c2")},
	)
}

// runOnceCell sends a booking to a1 while a fault is injected, retries it at other routers with the
// same key, and compares the responses with the number of times that the booking ran.
func runOnceCell(t *testing.T, step matrixStep, fault matrixFault) string {
	s := newSimulatedFleet(t, slowMaintenance)
	defer s.close()
	injected := injectAt(s, step, fault.inject)
	var responses []response
	for _, vm := range []string{"a1", "b1", "a2", "c1"} {
		responses = append(responses, s.book(vm, "key", "tin"))
		time.Sleep(time.Second)
	}
	time.Sleep(fault.duration())
	s.sim.Heal()
	time.Sleep(time.Minute)
	for _, vm := range []string{"c2", "b2", "b1"} {
		responses = append(responses, s.book(vm, "key", "tin"))
	}
	if !injected() {
		return "not reached"
	}
	if violated := checkExecutions(responses, s.sim.Executions("key")); violated != "" {
		return "RED: " + violated
	}
	if r := s.book("c1", "fresh", "tin"); !r.served() {
		return fmt.Sprintf("RED: a new booking is not served after all faults ended: %+v", r)
	}
	if violated := s.violation(); violated != "" {
		return "RED: " + violated
	}
	return "passed"
}

// checkExecutions returns how the responses contradict the number of times that the booking ran, or
// "".
func checkExecutions(responses []response, executions int) string {
	if executions > 1 {
		return fmt.Sprintf("the booking ran %d times", executions)
	}
	for i, r := range responses {
		switch {
		case r.served() && executions == 0:
			return fmt.Sprintf("response %d has the outcome done, but the booking did not run", i)
		case r.outcome == "notrun" && executions > 0:
			return fmt.Sprintf("response %d has the outcome notrun (%s), but the booking ran", i, r.message)
		case r.served() && !strings.Contains(r.body, `"key":"key"`):
			return fmt.Sprintf("response %d is that of another call: %s", i, r.body)
		}
	}
	return ""
}

// modelSteps are the steps of a model request.
var modelSteps = []matrixStep{
	{"before the budget is claimed", atAppend(jvfake.StepAppend, "claim")},
	{"claim in the log, not read back", atAppend(jvfake.StepAppended, "claim")},
	{"before the attempt", atStep(jvfake.StepGenerate)},
	{"at the first token", func(e jvfake.Event) bool { return e.Step == jvfake.StepToken && e.TokenIndex == 0 }},
	{"in mid-stream", func(e jvfake.Event) bool { return e.Step == jvfake.StepToken && e.TokenIndex == 7 }},
	{"after the last token", atStep(jvfake.StepDone)},
	{"before the bill is appended", atAppend(jvfake.StepAppend, "report")},
	{"bill in the log, not read back", atAppend(jvfake.StepAppended, "report")},
}

// modelFaults returns the common faults, faults of engines, and copies of the request at other
// routers.
func modelFaults() []matrixFault {
	sendCopies := func(vms ...string) func(*simulatedFleet, jvfake.Event) {
		return func(s *simulatedFleet, _ jvfake.Event) {
			for _, vm := range vms {
				go func() { s.chat(vm, "key", "hello") }()
			}
		}
	}
	atEngines := func(do func(s *simulatedFleet, engine string)) func(*simulatedFleet, jvfake.Event) {
		return func(s *simulatedFleet, e jvfake.Event) {
			for _, zone := range []string{"a", "b", "c"} {
				do(s, "engine-"+zone+"1")
				do(s, "engine-"+zone+"2")
			}
		}
	}
	return append(slices.Clone(commonFaults),
		matrixFault{name: "engine falls silent", inject: atEngines(func(s *simulatedFleet, engine string) { s.sim.StallAnswers(engine, 1) })},
		matrixFault{name: "answer crossed", inject: atEngines(func(s *simulatedFleet, engine string) { s.sim.CrossAnswers(engine, 1) })},
		matrixFault{name: "copy in the zone", inject: sendCopies("a2")},
		matrixFault{name: "copies in all zones", inject: sendCopies("a2", "b1", "b2", "c1", "c2")},
	)
}

// runModelCell sends a model request to a1 while a fault is injected, retries it at other routers
// with the same key, and checks that the answers are complete and billed once, and that the tokens
// used are accounted for in the budget.
func runModelCell(t *testing.T, step matrixStep, fault matrixFault) string {
	s := newSimulatedFleet(t, slowMaintenance)
	defer s.close()
	injected := injectAt(s, step, fault.inject)
	var responses []response
	for _, vm := range []string{"a1", "b1", "a2", "c1"} {
		responses = append(responses, s.chat(vm, "key", "hello"))
		time.Sleep(time.Second)
	}
	time.Sleep(fault.duration())
	s.sim.Heal()
	time.Sleep(time.Minute)
	// The state machine keeps a key for the bill window; after a longer fault it is a new request.
	lastKey := "key"
	if fault.minDuration > time.Duration(jvledger.DefaultRules().BillWindow)*time.Millisecond {
		lastKey = "another-key"
	}
	responses = append(responses, s.chat("c2", lastKey, "hello"))
	time.Sleep(10 * time.Second)
	if !injected() {
		return "not reached"
	}
	keys := map[string]bool{}
	for i, r := range responses {
		if r.served() {
			key := "key"
			if i == len(responses)-1 {
				key = lastKey
			}
			keys[key] = true
			if wrong := checkHello(r); wrong != "" {
				return fmt.Sprintf("RED: answer %d is not complete: %s", i, wrong)
			}
		}
	}
	served := int64(len(keys))
	if billed := s.billedRequests(); billed != served {
		return fmt.Sprintf("RED: billed %d times, %d keys served: %+v", billed, served, responses)
	}
	if last := responses[len(responses)-1]; !last.served() {
		return fmt.Sprintf("RED: not served after all faults ended: %+v", last)
	}
	if violated := s.violation(); violated != "" {
		return "RED: " + violated
	}
	if used, totals := s.sim.UsedTokens("quick"), s.budgetTotals(); used > totals.Spent+totals.Stranded+totals.Granted {
		return fmt.Sprintf("RED: %d tokens used, but the budget has %+v", used, totals)
	}
	return "passed"
}

// TestFaultMatrix guards against faults at a single step of a request that make the fleet violate a
// guarantee to its callers: it injects every fault at every step. With -update it writes
// docs/FAULTS.md.
func TestFaultMatrix(t *testing.T) {
	page := "# Fault matrix\n\nMade by `TestFaultMatrix` in internal/jvfleet (`make golden` writes it anew). Six real routers in three\n" +
		"availability zones run on fakes; at the step of the row, the fault of the column is injected at the router\n" +
		"that the caller tries first. The caller then retries with the same key at three other routers. After half a\n" +
		"minute or the length of the pause all faults end, and the responses are compared with what the targets ran.\n\n"
	page += runMatrix(t, "A booking that must run at most once", onceSteps, onceFaults(), runOnceCell)
	page += "\n"
	page += runMatrix(t, "A model request: whole, billed once, paid for", modelSteps, modelFaults(), runModelCell)
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "FAULTS", []byte(page))
}
