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

// matrixStep is one row of a matrix: a point on a request's way.
type matrixStep struct {
	name string
	at   func(e jvfake.Event) bool
}

// matrixFault is one column: what happens to the first router, a1, at that point.
type matrixFault struct {
	name  string
	bring func(s *scene, e jvfake.Event)
	// lasts is how long the fault goes on after the last retry; 0 means half a minute.
	lasts time.Duration
}

func (f matrixFault) last() time.Duration { return max(f.lasts, 30*time.Second) }

// calmly slows down what routers do beside serving, so that an hour passes quickly.
func calmly(o *jvfleet.Options) {
	o.Timing.MembersInterval = 5 * time.Second
	o.Timing.LoadInterval = 5 * time.Second
	o.Timing.BudgetInterval = 500 * time.Millisecond
	o.Journal.ReadWait = 20 * time.Second
	o.Workers = 16
}

func appends(step jvfake.Step, kind string) func(jvfake.Event) bool {
	return func(e jvfake.Event) bool { return e.Step == step && slices.Contains(e.RecordKinds, kind) }
}

func reaches(step jvfake.Step) func(jvfake.Event) bool {
	return func(e jvfake.Event) bool { return e.Step == step }
}

// commonFaults can come at any step.
var commonFaults = []matrixFault{
	{name: "kill", bring: func(s *scene, _ jvfake.Event) { s.world.Kill("a1") }},
	{name: "kill and replace", bring: func(s *scene, _ jvfake.Event) {
		s.world.Kill("a1")
		go func() {
			time.Sleep(500 * time.Millisecond)
			s.start("a1", "a", calmly)
		}()
	}},
	{name: "pause 5 s", bring: func(s *scene, _ jvfake.Event) {
		s.world.Pause("a1")
		go func() {
			time.Sleep(5 * time.Second)
			s.world.Resume("a1")
		}()
	}},
	{name: "pause an hour", lasts: time.Hour, bring: func(s *scene, _ jvfake.Event) { s.world.Pause("a1") }},
	{name: "cut from log", bring: func(s *scene, _ jvfake.Event) { s.world.Disconnect("a1", "log") }},
	{name: "cut from peers", bring: func(s *scene, _ jvfake.Event) { s.world.Disconnect("a1", "peers") }},
	{name: "cut from targets", bring: func(s *scene, _ jvfake.Event) { s.world.Disconnect("a1", "targets") }},
	{name: "cut from all", bring: func(s *scene, _ jvfake.Event) { s.world.Disconnect("a1", "log", "vms", "peers", "targets") }},
	{name: "log down", bring: func(s *scene, _ jvfake.Event) { s.world.SetLogDown(true) }},
	{name: "answer lost", bring: func(s *scene, e jvfake.Event) {
		part := "targets"
		if len(e.RecordKinds) > 0 {
			part = "log"
		}
		s.world.Disconnect("a1", part)
		go func() {
			time.Sleep(3 * time.Second)
			s.world.Heal()
		}()
	}},
	{name: "target crashes", bring: func(s *scene, _ jvfake.Event) {
		for _, zone := range []string{"a", "b", "c"} {
			s.world.Crash("engine-" + zone + "1")
			s.world.Crash("engine-" + zone + "2")
			s.world.Crash("desk-" + zone + "1")
			s.world.Crash("desk-" + zone + "2")
		}
	}},
	{name: "planned stop", bring: func(s *scene, _ jvfake.Event) {
		f := s.world.Router("a1")
		go f.Stop(context.Background())
	}},
}

// armed brings a fault about once, at the first event of a1 that the step names.
func armed(s *scene, step matrixStep, fault func(s *scene, e jvfake.Event)) func() bool {
	var once sync.Once
	hit := false
	s.world.Hook(func(e jvfake.Event) {
		if e.VM != "a1" || !step.at(e) {
			return
		}
		once.Do(func() {
			hit = true
			fault(s, e)
		})
	})
	return func() bool { return hit }
}

// matrixCell runs one cell and returns "passed", "not reached", or what was broken.
type matrixCell func(t *testing.T, step matrixStep, fault matrixFault) string

// runMatrix runs all cells, several at a time, and returns their table.
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

var onceSteps = []matrixStep{
	{"before the claim is appended", appends(jvfake.StepAppend, "take")},
	{"claim in the log, not read back", appends(jvfake.StepAppended, "take")},
	{"before the dispatch", reaches(jvfake.StepCall)},
	{"ran, answer not received", reaches(jvfake.StepCalled)},
	{"answered, outcome not appended", appends(jvfake.StepAppend, "finish")},
	{"outcome in the log, not read back", appends(jvfake.StepAppended, "finish")},
}

// onceFaults are those of commonFaults and a copy at another router.
func onceFaults() []matrixFault {
	copied := func(vms ...string) func(*scene, jvfake.Event) {
		return func(s *scene, _ jvfake.Event) {
			for _, vm := range vms {
				go func() { s.book(vm, "key", "tin") }()
			}
		}
	}
	return append(slices.Clone(commonFaults),
		matrixFault{name: "copy in the zone", bring: copied("a2")},
		matrixFault{name: "copies in all zones", bring: copied("a2", "b1", "b2", "c1", "c2")},
	)
}

// onceCell books through a1 while a fault comes, retries everywhere with the same key, and
// compares what was told with how often the booking ran.
func onceCell(t *testing.T, step matrixStep, fault matrixFault) string {
	s := newScene(t, calmly)
	defer s.close()
	hit := armed(s, step, fault.bring)
	var answers []told
	for _, vm := range []string{"a1", "b1", "a2", "c1"} {
		answers = append(answers, s.book(vm, "key", "tin"))
		time.Sleep(time.Second)
	}
	time.Sleep(fault.last())
	s.world.Heal()
	time.Sleep(time.Minute)
	for _, vm := range []string{"c2", "b2", "b1"} {
		answers = append(answers, s.book(vm, "key", "tin"))
	}
	if !hit() {
		return "not reached"
	}
	if broken := judgeOnce(answers, s.world.Executions("key")); broken != "" {
		return "RED: " + broken
	}
	if d := s.book("c1", "fresh", "tin"); !d.served() {
		return fmt.Sprintf("RED: a new booking is not served after all is well: %+v", d)
	}
	if broken := s.fault(); broken != "" {
		return "RED: " + broken
	}
	return "passed"
}

func judgeOnce(answers []told, runs int) string {
	if runs > 1 {
		return fmt.Sprintf("the booking ran %d times", runs)
	}
	for i, d := range answers {
		switch {
		case d.served() && runs == 0:
			return fmt.Sprintf("answer %d says done, and it never ran", i)
		case d.outcome == "notrun" && runs > 0:
			return fmt.Sprintf("answer %d says notrun (%s), and it ran", i, d.message)
		case d.served() && !strings.Contains(d.body, `"key":"key"`):
			return fmt.Sprintf("answer %d is of another call: %s", i, d.body)
		}
	}
	return ""
}

var modelSteps = []matrixStep{
	{"before the budget is claimed", appends(jvfake.StepAppend, "claim")},
	{"claim in the log, not read back", appends(jvfake.StepAppended, "claim")},
	{"before the attempt", reaches(jvfake.StepGenerate)},
	{"at the first token", func(e jvfake.Event) bool { return e.Step == jvfake.StepToken && e.TokenIndex == 0 }},
	{"in mid-stream", func(e jvfake.Event) bool { return e.Step == jvfake.StepToken && e.TokenIndex == 7 }},
	{"after the last token", reaches(jvfake.StepDone)},
	{"before the bill is appended", appends(jvfake.StepAppend, "report")},
	{"bill in the log, not read back", appends(jvfake.StepAppended, "report")},
}

func modelFaults() []matrixFault {
	copied := func(vms ...string) func(*scene, jvfake.Event) {
		return func(s *scene, _ jvfake.Event) {
			for _, vm := range vms {
				go func() { s.chat(vm, "key", "hello") }()
			}
		}
	}
	each := func(do func(s *scene, engine string)) func(*scene, jvfake.Event) {
		return func(s *scene, e jvfake.Event) {
			for _, zone := range []string{"a", "b", "c"} {
				do(s, "engine-"+zone+"1")
				do(s, "engine-"+zone+"2")
			}
		}
	}
	return append(slices.Clone(commonFaults),
		matrixFault{name: "engine falls silent", bring: each(func(s *scene, engine string) { s.world.StallAnswers(engine, 1) })},
		matrixFault{name: "answer crossed", bring: each(func(s *scene, engine string) { s.world.CrossAnswers(engine, 1) })},
		matrixFault{name: "copy in the zone", bring: copied("a2")},
		matrixFault{name: "copies in all zones", bring: copied("a2", "b1", "b2", "c1", "c2")},
	)
}

// modelCell asks through a1 while a fault comes, retries everywhere with the same key, and
// checks that answers are whole, billed once, and paid for.
func modelCell(t *testing.T, step matrixStep, fault matrixFault) string {
	s := newScene(t, calmly)
	defer s.close()
	hit := armed(s, step, fault.bring)
	var answers []told
	for _, vm := range []string{"a1", "b1", "a2", "c1"} {
		answers = append(answers, s.chat(vm, "key", "hello"))
		time.Sleep(time.Second)
	}
	time.Sleep(fault.last())
	s.world.Heal()
	time.Sleep(time.Minute)
	// A key is remembered for the fold's bill window, so after an hour it is a new request.
	later := "key"
	if fault.lasts > time.Duration(jvledger.DefaultRules().BillWindow)*time.Millisecond {
		later = "another-key"
	}
	answers = append(answers, s.chat("c2", later, "hello"))
	time.Sleep(10 * time.Second)
	if !hit() {
		return "not reached"
	}
	keys := map[string]bool{}
	for i, d := range answers {
		if d.served() {
			key := "key"
			if i == len(answers)-1 {
				key = later
			}
			keys[key] = true
			if wrong := whole(d); wrong != "" {
				return fmt.Sprintf("RED: answer %d is not whole: %s", i, wrong)
			}
		}
	}
	served := int64(len(keys))
	if billed := s.billed(); billed != served {
		return fmt.Sprintf("RED: billed %d times, %d keys served: %+v", billed, served, answers)
	}
	if last := answers[len(answers)-1]; !last.served() {
		return fmt.Sprintf("RED: not served after all is well: %+v", last)
	}
	if broken := s.fault(); broken != "" {
		return "RED: " + broken
	}
	if used, totals := s.world.UsedTokens("quick"), s.totals(); used > totals.Spent+totals.Stranded+totals.Granted {
		return fmt.Sprintf("RED: %d tokens used, %+v booked", used, totals)
	}
	return "passed"
}

// TestFaultMatrix brings every fault about at every step and writes docs/FAULTS.md.
func TestFaultMatrix(t *testing.T) {
	page := "# Fault matrix\n\nMade by `TestFaultMatrix` in internal/jvfleet (`make golden` writes it anew). Six real routers in three\n" +
		"availability zones run on fakes; at the step of the row, the fault of the column comes to the router\n" +
		"that the caller asked first. The caller then retries with the same key at three other routers, half a\n" +
		"minute or the length of the pause passes, all is healed, and what callers were told is compared with what targets did.\n\n"
	page += runMatrix(t, "A booking that must run at most once", onceSteps, onceFaults(), onceCell)
	page += "\n"
	page += runMatrix(t, "A model request: whole, billed once, paid for", modelSteps, modelFaults(), modelCell)
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "FAULTS", []byte(page))
}
