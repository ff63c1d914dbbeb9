package jvfleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvfake"
	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
)

// countAttempts counts the attempts and calls at each target from now on.
func (s *simulatedFleet) countAttempts() func() map[string]int {
	var mu sync.Mutex
	counts := map[string]int{}
	s.sim.Hook(func(e jvfake.Event) {
		if e.Step == jvfake.StepGenerate || e.Step == jvfake.StepCall {
			mu.Lock()
			counts[e.Target]++
			mu.Unlock()
		}
	})
	return func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		return counts
	}
}

func sumCounts(counts map[string]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// TestPoison guards against a request that crashes one target after another: after two crashes it
// must be quarantined on every router, and its copies, also under other keys, must be refused at
// once.
func TestPoison(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		for _, v := range vms {
			s.sim.CrashOn("engine-"+v.vm, "poison")
		}
		counts := s.countAttempts()
		r := s.chat("a1", "k1", "poison")
		require.Equal(t, "quarantined", r.problem, "%+v", r)
		require.Equal(t, 2, sumCounts(counts()), "attempts until the request was stopped")
		time.Sleep(time.Second)
		for _, vm := range []string{"a1", "a2", "b1", "c2"} {
			r := s.chat(vm, "k1", "poison")
			require.Equal(t, "quarantined", r.problem, "%+v", r)
			require.Zero(t, r.elapsed, "the refusal was delayed")
			r = s.chat(vm, "another", "poison")
			require.Equal(t, "quarantined", r.problem, "another key, the same body: %+v", r)
		}
		require.Equal(t, 2, sumCounts(counts()))
		r = s.chat("a1", "k2", "hello")
		require.True(t, r.served(), "%+v", r)
	})
}

// TestPoisonBooking guards against dispatching a booking again after it crashed its target: retries
// at any router must get the outcome unknown.
func TestPoisonBooking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		for _, v := range vms {
			s.sim.CrashOn("desk-"+v.vm, "poison")
		}
		counts := s.countAttempts()
		for _, vm := range []string{"a1", "a1", "b1", "c1"} {
			r := s.book(vm, "k", "poison")
			require.Equal(t, "unknown", r.outcome, "%+v", r)
		}
		require.Equal(t, 1, sumCounts(counts()))
	})
}

// TestLeavingTarget guards against new work for a target that an operator drains or that the VM
// list shows as leaving, and against breaking off its streams: a few seconds later it must get no
// attempt, and the streams that it has must end complete.
func TestLeavingTarget(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(s *simulatedFleet)
	}{
		{"drained by an operator", func(s *simulatedFleet) {
			_, err := s.client.Drain(context.Background(), "d", "engine-a1", "test", false)
			require.NoError(s.t, err)
		}},
		{"leaving on the VM list", func(s *simulatedFleet) { s.sim.ListTarget("engine-a1", "a", jvplatform.VMLeaving) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulatedFleet(t, nil)
				defer s.close()
				before := s.countAttempts()
				for n := range 30 {
					require.True(t, s.chat("a1", "", fmt.Sprint("before ", n)).served())
				}
				require.Positive(t, before()["engine-a1"], "the target had no work before it left")
				s.sim.SetTokenTime(time.Second)
				stream := make(chan response, 1)
				streaming := make(chan struct{})
				var once sync.Once
				s.sim.Hook(func(e jvfake.Event) {
					if e.Step == jvfake.StepToken && e.Target == "engine-a1" && e.TokenIndex == 1 {
						once.Do(func() { close(streaming) })
					}
				})
				go s.sendStreams("a1", stream)
				<-streaming
				c.leave(s)
				time.Sleep(3 * time.Second)
				s.sim.SetTokenTime(time.Millisecond)
				counts := s.countAttempts()
				for n := range 30 {
					require.True(t, s.chat("a1", "", fmt.Sprint("after ", n)).served())
				}
				require.Zero(t, counts()["engine-a1"], "new work for a leaving target")
				require.True(t, (<-stream).served(), "the target's stream was broken off")
			})
		})
	}
}

// sendStreams sends 12 requests at once, so that some run on each target. It sends the first
// response that was not served to results, or if all were served the first one.
func (s *simulatedFleet) sendStreams(vm string, results chan<- response) {
	var running sync.WaitGroup
	responses := make([]response, 12)
	for n := range responses {
		running.Add(1)
		go func() {
			defer running.Done()
			responses[n] = s.chat(vm, "", fmt.Sprint("stream ", n))
		}()
	}
	running.Wait()
	for _, r := range responses {
		if !r.served() {
			results <- r
			return
		}
	}
	results <- responses[0]
}

// TestOverload guards against requests that wait in the queue until their deadline passes: if the
// requests ahead take until then, a request must be refused at once with a retry delay.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		s.sim.SetTokenTime(100 * time.Millisecond)
		for n := range 3 {
			require.True(t, s.chat("a1", "", fmt.Sprint("learn ", n)).served())
		}
		var running sync.WaitGroup
		var mu sync.Mutex
		served, refused := 0, 0
		for n := range 400 {
			running.Add(1)
			go func() {
				defer running.Done()
				r := s.chat("a1", "", fmt.Sprint("flood ", n))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case r.served():
					served++
				case r.problem == "overloaded":
					refused++
					require.Zero(t, r.elapsed, "the refusal was delayed")
					require.Positive(t, r.retryAfter)
					require.Equal(t, "notrun", r.outcome)
				default:
					require.Fail(t, "unexpected response", "%+v", r)
				}
			}()
			time.Sleep(time.Millisecond)
		}
		running.Wait()
		require.Positive(t, served)
		require.Positive(t, refused)
	})
}

// TestRetryBudget guards against retries that overload a failing pool: if every attempt fails,
// retries must stay within the retry budget.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		for _, v := range vms {
			s.sim.CrossAnswers("engine-"+v.vm, 1_000_000)
		}
		counts := s.countAttempts()
		const requests = 200
		for n := range requests {
			r := s.chat("a1", "", fmt.Sprint("text ", n))
			require.False(t, r.served())
			require.Positive(t, r.retryAfter, "%+v", r)
		}
		o := jvfleet.DefaultOptions()
		maxAttempts := requests + int(requests*o.RetryShare) + int(o.MaxSavedRetries)
		require.LessOrEqual(t, sumCounts(counts()), maxAttempts)
		require.Empty(t, s.violation())
	})
}

// TestLookupThatMayHaveRun guards against the outcome notrun for a lookup whose first attempt may
// have run and for which no other target is left.
func TestLookupThatMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		bundle := fleetBundle()
		bundle.Pools[1].TimeoutMillis = 30_000 // Longer than the 10 s after which a connection into a partition fails.
		_, err := s.client.Publish(context.Background(), "longer", bundle, 0)
		require.NoError(t, err)
		for _, v := range vms[1:] {
			_, err := s.client.Drain(context.Background(), "d-"+v.vm, "desk-"+v.vm, "test", false)
			require.NoError(t, err)
		}
		time.Sleep(2 * time.Second)
		injected := injectAt(s, matrixStep{matches: atStep(jvfake.StepCalled)}, func(s *simulatedFleet, _ jvfake.Event) {
			s.sim.Disconnect("a1", "targets")
		})
		r := s.lookUp("a1", "/stock/1")
		require.True(t, injected())
		require.False(t, r.served())
		require.Equal(t, "unknown", r.outcome, "%+v", r)
	})
}
