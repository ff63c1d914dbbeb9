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

// binDir is the directory of the programs under test; TestMain builds them where it is not set.
var binDir = os.Getenv("JV_BIN")

func TestMain(m *testing.M) {
	if binDir == "" {
		dir, err := os.MkdirTemp("", "jv")
		if err != nil {
			panic(err)
		}
		binDir = dir
		for _, program := range []string{"jvctl", "jvrouter", "jvstand"} {
			out, err := exec.Command("go", "build", "-o", filepath.Join(dir, program), "github.com/jasminevale/jasminevale/cmd/"+program).CombinedOutput()
			if err != nil {
				panic(string(out))
			}
		}
	}
	os.Exit(m.Run())
}

// profileTokens is the number of prepaid tokens of each profile.
const profileTokens = 1_000_000

// startFleet starts a fleet of two zones with prepaid budgets and stops it when the test ends.
func startFleet(t *testing.T, change func(o *jvharness.Options)) *jvharness.Cluster {
	t.Helper()
	o := jvharness.DefaultOptions(binDir, t.TempDir())
	o.Zones = []string{"a", "b"}
	if change != nil {
		change(&o)
	}
	c, err := jvharness.Start(o)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	for _, p := range o.Profiles {
		require.NoError(t, c.Client.Topup(context.Background(), "first-"+p.Name, p.Name, profileTokens))
	}
	return c
}

// newCaller returns a caller that makes up to maxAttempts attempts for a job, each at the next router.
func newCaller(c *jvharness.Cluster, maxAttempts int) *jvcaller.Caller {
	return &jvcaller.Caller{Routers: c.Routers(), Key: jvharness.Key, HTTP: &http.Client{}, MaxAttempts: maxAttempts, Pause: 300 * time.Millisecond}
}

// sendAll runs jobs concurrently and returns their results in the order of the jobs.
func sendAll(caller *jvcaller.Caller, jobs []jvcaller.Job) []jvcaller.Result {
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

// chatJobs returns jobs with streamed answers, whose first attempts are at the router with index 0.
func chatJobs(prefix string, count int) []jvcaller.Job {
	var jobs []jvcaller.Job
	for n := range count {
		jobs = append(jobs, jvcaller.Job{
			Kind: jvcaller.KindChat, Number: n, Key: fmt.Sprint(prefix, "-chat-", n), Profile: "chat", MaxTokens: 64, PromptBytes: 300,
		})
	}
	return jobs
}

// bookingJobs returns bookings whose first attempts are at the router with index firstRouter.
func bookingJobs(prefix string, count, firstRouter int) []jvcaller.Job {
	var jobs []jvcaller.Job
	for n := range count {
		jobs = append(jobs, jvcaller.Job{
			Kind: jvcaller.KindBooking, Number: n, Key: fmt.Sprint(prefix, "-booking-", n), Service: jvharness.Service, FirstRouter: firstRouter,
		})
	}
	return jobs
}

// requireGuarantees compares the results with the stand-ins' own counts: no call ran more than
// once, no budget was overspent, and each answer and outcome is true.
func requireGuarantees(t *testing.T, c *jvharness.Cluster, results []jvcaller.Result) {
	t.Helper()
	counts, err := c.Counts()
	require.NoError(t, err)
	require.Zero(t, counts.DuplicateExecutions(), "calls that ran more than once")
	for profile, tokens := range counts.Tokens {
		require.LessOrEqual(t, tokens, int64(profileTokens), "tokens used of profile %s", profile)
	}
	for _, r := range results {
		require.Empty(t, r.Defect, "%+v", r.Job)
		if r.Outcome == "notrun" && !r.Job.IsModel() {
			require.Zero(t, counts.Executions[r.Job.Key], "outcome notrun, but the call ran")
		}
		if r.Served() && !r.Job.IsModel() && r.Job.Kind != jvcaller.KindLookup {
			require.Equal(t, int64(1), counts.Executions[r.Job.Key], "outcome done, but the call did not run exactly once")
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

// slowTokens slows the engines down, so that streams last long enough for a fault to interrupt them.
func slowTokens(o *jvharness.Options) { o.EngineFlags = []string{"--token=20ms"} }

// TestRouterKilled checks that callers whose router is killed during a stream get the whole
// answer when they retry with the same key at another router.
func TestRouterKilled(t *testing.T) {
	c := startFleet(t, slowTokens)
	go func() {
		time.Sleep(400 * time.Millisecond)
		c.Process("a1").Kill()
	}()
	results := sendAll(newCaller(c, 6), append(chatJobs("k", 20), bookingJobs("k", 5, 0)...))
	requireServed(t, results)
	retried := 0
	for _, r := range results {
		if r.Attempts > 1 {
			retried++
		}
	}
	require.Positive(t, retried, "no stream was in progress when the router was killed")
	requireGuarantees(t, c, results)
}

// TestEngineKilled checks that a router continues a stream on another engine, from the token
// that it had reached, when the engine is killed.
func TestEngineKilled(t *testing.T) {
	c := startFleet(t, slowTokens)
	go func() {
		time.Sleep(400 * time.Millisecond)
		c.Process("engine-a1").Kill()
		_ = c.StartTarget("engine-a1")
	}()
	results := sendAll(newCaller(c, 1), chatJobs("k", 20))
	requireServed(t, results)
	requireGuarantees(t, c, results)
}

// TestRouterFrozen checks that nothing runs twice when a router is frozen and continues later,
// and callers send the same jobs with the same keys to another router.
func TestRouterFrozen(t *testing.T) {
	c := startFleet(t, slowTokens)
	jobs := append(chatJobs("k", 10), bookingJobs("k", 20, 0)...)
	go func() {
		time.Sleep(200 * time.Millisecond)
		c.Process("a1").Signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		c.Process("a1").Signal(syscall.SIGCONT)
	}()
	first := sendAll(newCaller(c, 1), jobs)
	copies := sendAll(newCaller(c, 4), withFirstRouter(jobs, 1))
	for _, r := range copies {
		require.NotEmpty(t, r.Outcome, "%+v", r)
	}
	requireGuarantees(t, c, append(first, copies...))
}

// withFirstRouter returns copies of jobs whose first attempts are at the router with index firstRouter.
func withFirstRouter(jobs []jvcaller.Job, firstRouter int) []jvcaller.Job {
	var copies []jvcaller.Job
	for _, j := range jobs {
		j.FirstRouter = firstRouter
		copies = append(copies, j)
	}
	return copies
}

// TestLogDown checks that while the platform's log is unreachable, model requests are served
// from the tokens granted to the zone and bookings get the outcome unknown with a Retry-After
// at once, and that the bookings are served when the log is reachable again.
func TestLogDown(t *testing.T) {
	c := startFleet(t, nil)
	requireServed(t, sendAll(newCaller(c, 3), chatJobs("warm", 8)))
	require.NoError(t, c.SetFaults("platform", jvstandin.Faults{Down: true}))
	time.Sleep(6 * time.Second)
	during := sendAll(newCaller(c, 1), chatJobs("during", 10))
	requireServed(t, during)
	refused := sendAll(newCaller(c, 1), bookingJobs("during", 5, 1))
	for _, r := range refused {
		require.Equal(t, "unknown", r.Outcome, "%+v", r)
		require.Positive(t, r.RetryAfter, "Retry-After")
	}
	require.NoError(t, c.SetFaults("platform", jvstandin.Faults{}))
	after := sendAll(newCaller(c, 20), bookingJobs("during", 5, 1))
	requireServed(t, after)
	requireGuarantees(t, c, append(during, after...))
}

// TestLostAppends checks that no guarantee is violated when appends to the log take effect
// although their responses are lost, or take effect late.
func TestLostAppends(t *testing.T) {
	c := startFleet(t, nil)
	require.NoError(t, c.SetFaults("platform", jvstandin.Faults{LoseResponses: 10, LateRequests: 5, DelayMs: 1500}))
	results := sendAll(newCaller(c, 6), append(chatJobs("k", 10), bookingJobs("k", 20, 0)...))
	copies := sendAll(newCaller(c, 6), withFirstRouter(bookingJobs("k", 20, 0), 2))
	requireServed(t, copies)
	requireGuarantees(t, c, append(results, copies...))
}

// TestZoneDisconnected checks that a zone disconnected from the platform answers bookings at
// once with true outcomes while routers of another zone serve the same bookings, and serves
// them itself when it is connected again.
func TestZoneDisconnected(t *testing.T) {
	c := startFleet(t, nil)
	requireServed(t, sendAll(newCaller(c, 3), chatJobs("warm", 8)))
	require.NoError(t, c.SetFaults("platform", jvstandin.Faults{DisconnectedZones: []string{"a"}}))
	time.Sleep(6 * time.Second)
	disconnected := sendAll(newCaller(c, 1), append(chatJobs("cut", 5), bookingJobs("cut", 10, 0)...))
	connected := sendAll(newCaller(c, 1), bookingJobs("cut", 10, 2))
	requireServed(t, connected)
	require.NoError(t, c.SetFaults("platform", jvstandin.Faults{}))
	after := sendAll(newCaller(c, 20), bookingJobs("cut", 10, 0))
	requireServed(t, after)
	requireGuarantees(t, c, append(append(disconnected, connected...), after...))
}

// TestRouterStopped checks that a router that is stopped gracefully under load finishes all
// responses before it exits.
func TestRouterStopped(t *testing.T) {
	c := startFleet(t, slowTokens)
	go func() {
		time.Sleep(300 * time.Millisecond)
		c.Process("a1").Signal(syscall.SIGTERM)
	}()
	results := sendAll(newCaller(c, 1), append(chatJobs("k", 20), bookingJobs("k", 5, 0)...))
	requireServed(t, results)
	require.True(t, c.Process("a1").Wait(30*time.Second), "the router did not exit in time")
	requireGuarantees(t, c, results)
}

// TestMachineLimits checks that a fleet whose settings name the resources of its VMs serves, and that the limits are in force.
func TestMachineLimits(t *testing.T) {
	c := startFleet(t, func(o *jvharness.Options) {
		o.Limits = map[string]int64{"descriptors": 400, "memory": 256, "cores": 4000}
	})
	results := sendAll(newCaller(c, 4), append(chatJobs("limits", 20), bookingJobs("limits", 20, 1)...))
	for _, r := range results {
		require.True(t, r.Served(), "%+v", r)
	}
	requireGuarantees(t, c, results)
	log, err := os.ReadFile(c.Process("a1").LogPath)
	require.NoError(t, err)
	require.Contains(t, string(log), `"msg":"limits"`)
}
