package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvcaller"
	"github.com/jasminevale/jasminevale/internal/jvharness"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvstandin"
)

// binFolder holds the programs under test.
var binFolder = os.Getenv("JV_BIN")

func TestMain(m *testing.M) {
	if binFolder == "" {
		dir, err := os.MkdirTemp("", "jv")
		if err != nil {
			panic(err)
		}
		binFolder = dir
		for _, program := range []string{"jvctl", "jvrouter", "jvstand"} {
			out, err := exec.Command("go", "build", "-o", filepath.Join(dir, program), "github.com/jasminevale/jasminevale/cmd/"+program).CombinedOutput()
			if err != nil {
				panic(string(out))
			}
		}
	}
	os.Exit(m.Run())
}

// budget is what every profile of an end-to-end fleet is topped up with, in tokens.
const budget = 1_000_000

// fleet starts a small fleet for one test.
func fleet(t *testing.T, change func(o *jvharness.Options)) *jvharness.Cluster {
	t.Helper()
	o := jvharness.DefaultOptions(binFolder, t.TempDir())
	o.Zones = []string{"a", "b"}
	if change != nil {
		change(&o)
	}
	c, err := jvharness.Start(o)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	for _, p := range o.Profiles {
		require.NoError(t, c.Client.Topup(context.Background(), "first-"+p.Name, p.Name, budget))
	}
	return c
}

func callers(c *jvharness.Cluster, tries int) *jvcaller.Caller {
	return &jvcaller.Caller{Routers: c.Routers(), Key: jvharness.Key, HTTP: &http.Client{}, MaxAttempts: tries, Pause: 300 * time.Millisecond}
}

// send runs jobs at once and returns their results in order.
func send(caller *jvcaller.Caller, jobs []jvcaller.Job) []jvcaller.Result {
	results := make([]jvcaller.Result, len(jobs))
	var running sync.WaitGroup
	for i, j := range jobs {
		running.Add(1)
		go func() {
			defer running.Done()
			results[i] = caller.Run(context.Background(), j)
		}()
	}
	running.Wait()
	return results
}

// chats returns streamed jobs that all ask one router first.
func chats(prefix string, count int) []jvcaller.Job {
	var jobs []jvcaller.Job
	for n := range count {
		jobs = append(jobs, jvcaller.Job{
			Kind: jvcaller.KindChat, Number: n, Key: fmt.Sprint(prefix, "-chat-", n), Profile: "chat", MaxTokens: 64, PromptBytes: 300,
		})
	}
	return jobs
}

func bookings(prefix string, count, first int) []jvcaller.Job {
	var jobs []jvcaller.Job
	for n := range count {
		jobs = append(jobs, jvcaller.Job{
			Kind: jvcaller.KindBooking, Number: n, Key: fmt.Sprint(prefix, "-booking-", n), Service: jvharness.Service, FirstRouter: first,
		})
	}
	return jobs
}

// judgePromises compares all results with the stand-ins' own counts.
func judgePromises(t *testing.T, c *jvharness.Cluster, results []jvcaller.Result) {
	t.Helper()
	counts, err := c.Counts()
	require.NoError(t, err)
	require.Zero(t, counts.DuplicateExecutions(), "calls that ran more than once")
	for profile, tokens := range counts.Tokens {
		require.LessOrEqual(t, tokens, int64(budget), "tokens used of profile %s", profile)
	}
	for _, r := range results {
		require.Empty(t, r.Defect, "%+v", r.Job)
		if r.Outcome == "notrun" && !r.Job.IsModel() {
			require.Zero(t, counts.Executions[r.Job.Key], "told notrun, and it ran")
		}
		if r.Served() && !r.Job.IsModel() && r.Job.Kind != jvcaller.KindLookup {
			require.Equal(t, int64(1), counts.Executions[r.Job.Key], "told done, and it did not run once")
		}
	}
	c.Client.View(func(s *jvledger.State) {
		require.Empty(t, s.UnbalancedProfile())
		require.Zero(t, s.Breaches)
	})
}

func requireServed(t *testing.T, results []jvcaller.Result) {
	t.Helper()
	for _, r := range results {
		require.True(t, r.Served(), "%s %s: outcome %q, %s: %s", r.Job.Kind, r.Job.Key, r.Outcome, r.Problem, r.Message)
	}
}

// slowTokens makes streams long enough to be broken in the middle.
func slowTokens(o *jvharness.Options) { o.EngineFlags = []string{"--token=20ms"} }

// TestRouterKilled: callers whose router dies in mid-stream get the whole answer on their retry.
func TestRouterKilled(t *testing.T) {
	c := fleet(t, slowTokens)
	go func() {
		time.Sleep(400 * time.Millisecond)
		c.Process("a1").Kill()
	}()
	results := send(callers(c, 6), append(chats("k", 20), bookings("k", 5, 0)...))
	requireServed(t, results)
	retried := 0
	for _, r := range results {
		if r.Attempts > 1 {
			retried++
		}
	}
	require.Positive(t, retried, "the router died before or after all streams")
	judgePromises(t, c, results)
}

// TestEngineKilled: an answer whose engine dies in mid-stream goes on, on another engine,
// from where it was.
func TestEngineKilled(t *testing.T) {
	c := fleet(t, slowTokens)
	go func() {
		time.Sleep(400 * time.Millisecond)
		c.Process("engine-a1").Kill()
		_ = c.StartTarget("engine-a1")
	}()
	results := send(callers(c, 1), chats("k", 20))
	requireServed(t, results)
	judgePromises(t, c, results)
}

// TestRouterFrozen: a router that is frozen and goes on later runs nothing twice.
func TestRouterFrozen(t *testing.T) {
	c := fleet(t, slowTokens)
	jobs := append(chats("k", 10), bookings("k", 20, 0)...)
	go func() {
		time.Sleep(200 * time.Millisecond)
		c.Process("a1").Signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		c.Process("a1").Signal(syscall.SIGCONT)
	}()
	first := send(callers(c, 1), jobs)
	copies := send(callers(c, 4), withFirst(jobs, 1))
	for _, r := range copies {
		require.NotEmpty(t, r.Outcome, "%+v", r)
	}
	judgePromises(t, c, append(first, copies...))
}

func withFirst(jobs []jvcaller.Job, first int) []jvcaller.Job {
	var moved []jvcaller.Job
	for _, j := range jobs {
		j.FirstRouter = first
		moved = append(moved, j)
	}
	return moved
}

// TestLogDown: while the platform's log is away, model requests are served from what the
// zone holds, bookings get their answer at once, and all is well when it is back.
func TestLogDown(t *testing.T) {
	c := fleet(t, nil)
	requireServed(t, send(callers(c, 3), chats("warm", 8)))
	require.NoError(t, c.SetFaults("platform", jvstandin.Faults{Down: true}))
	time.Sleep(6 * time.Second)
	during := send(callers(c, 1), chats("during", 10))
	requireServed(t, during)
	refused := send(callers(c, 1), bookings("during", 5, 1))
	for _, r := range refused {
		require.Equal(t, "unknown", r.Outcome, "%+v", r)
		require.Positive(t, r.RetryAfter, "told when to come back")
	}
	require.NoError(t, c.SetFaults("platform", jvstandin.Faults{}))
	after := send(callers(c, 20), bookings("during", 5, 1))
	requireServed(t, after)
	judgePromises(t, c, append(during, after...))
}

// TestLostAppends: appends whose answers are lost, or that take effect late, change nothing.
func TestLostAppends(t *testing.T) {
	c := fleet(t, nil)
	require.NoError(t, c.SetFaults("platform", jvstandin.Faults{LoseResponses: 10, LateRequests: 5, DelayMs: 1500}))
	results := send(callers(c, 6), append(chats("k", 10), bookings("k", 20, 0)...))
	copies := send(callers(c, 6), withFirst(bookings("k", 20, 0), 2))
	requireServed(t, copies)
	judgePromises(t, c, append(results, copies...))
}

// TestZoneCut: a zone that is cut from the platform answers bookings at once and tells no
// lies about them.
func TestZoneCut(t *testing.T) {
	c := fleet(t, nil)
	requireServed(t, send(callers(c, 3), chats("warm", 8)))
	require.NoError(t, c.SetFaults("platform", jvstandin.Faults{CutZones: []string{"a"}}))
	time.Sleep(6 * time.Second)
	cut := send(callers(c, 1), append(chats("cut", 5), bookings("cut", 10, 0)...))
	open := send(callers(c, 1), bookings("cut", 10, 2))
	requireServed(t, open)
	require.NoError(t, c.SetFaults("platform", jvstandin.Faults{}))
	after := send(callers(c, 20), bookings("cut", 10, 0))
	requireServed(t, after)
	judgePromises(t, c, append(append(cut, open...), after...))
}

// TestRouterStopped: a router that is stopped as planned under load cuts no answer.
func TestRouterStopped(t *testing.T) {
	c := fleet(t, slowTokens)
	go func() {
		time.Sleep(300 * time.Millisecond)
		c.Process("a1").Signal(syscall.SIGTERM)
	}()
	results := send(callers(c, 1), append(chats("k", 20), bookings("k", 5, 0)...))
	requireServed(t, results)
	require.True(t, c.Process("a1").Wait(30*time.Second), "the router did not end")
	judgePromises(t, c, results)
}
