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

// attempts counts, by target, the attempts and calls that reach it from now on.
func (s *scene) attempts() func() map[string]int {
	var mu sync.Mutex
	counts := map[string]int{}
	s.world.Hook(func(e jvfake.Event) {
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

func sum(counts map[string]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// TestPoison: a request that crashes its targets is stopped after two crashes, fleet-wide,
// and its copies are answered at once.
func TestPoison(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, nil)
		defer s.close()
		for _, v := range vms {
			s.world.CrashOn("engine-"+v.vm, "poison")
		}
		counts := s.attempts()
		d := s.chat("a1", "k1", "poison")
		require.Equal(t, "quarantined", d.name, "%+v", d)
		require.Equal(t, 2, sum(counts()), "attempts until the request was stopped")
		time.Sleep(time.Second)
		for _, vm := range []string{"a1", "a2", "b1", "c2"} {
			d := s.chat(vm, "k1", "poison")
			require.Equal(t, "quarantined", d.name, "%+v", d)
			require.Zero(t, d.took, "the answer was held back")
			d = s.chat(vm, "another", "poison")
			require.Equal(t, "quarantined", d.name, "another key, the same body: %+v", d)
		}
		require.Equal(t, 2, sum(counts()))
		d = s.chat("a1", "k2", "hello")
		require.True(t, d.served(), "%+v", d)
	})
}

// TestPoisonBooking: a booking that crashes its target is sent once and never again.
func TestPoisonBooking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, nil)
		defer s.close()
		for _, v := range vms {
			s.world.CrashOn("desk-"+v.vm, "poison")
		}
		counts := s.attempts()
		for _, vm := range []string{"a1", "a1", "b1", "c1"} {
			d := s.book(vm, "k", "poison")
			require.Equal(t, "unknown", d.outcome, "%+v", d)
		}
		require.Equal(t, 1, sum(counts()))
	})
}

// TestLeavingTarget: a target that an operator drains, or that the VM list shows as leaving,
// gets no new work a few seconds later, and its streams finish.
func TestLeavingTarget(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(s *scene)
	}{
		{"drained by an operator", func(s *scene) {
			_, err := s.client.Drain(context.Background(), "d", "engine-a1", "test", false)
			require.NoError(s.t, err)
		}},
		{"leaving on the VM list", func(s *scene) { s.world.ListTarget("engine-a1", "a", jvplatform.VMLeaving) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScene(t, nil)
				defer s.close()
				before := s.attempts()
				for n := range 30 {
					require.True(t, s.chat("a1", "", fmt.Sprint("before ", n)).served())
				}
				require.Positive(t, before()["engine-a1"], "the target had no work before it left")
				s.world.SetToken(time.Second)
				stream := make(chan told, 1)
				streaming := make(chan struct{})
				var once sync.Once
				s.world.Hook(func(e jvfake.Event) {
					if e.Step == jvfake.StepToken && e.Target == "engine-a1" && e.Token == 1 {
						once.Do(func() { close(streaming) })
					}
				})
				go s.fill("a1", stream)
				<-streaming
				c.leave(s)
				time.Sleep(3 * time.Second)
				s.world.SetToken(time.Millisecond)
				counts := s.attempts()
				for n := range 30 {
					require.True(t, s.chat("a1", "", fmt.Sprint("after ", n)).served())
				}
				require.Zero(t, counts()["engine-a1"], "new work for a leaving target")
				require.True(t, (<-stream).served(), "the target's stream was cut")
			})
		})
	}
}

// fill sends requests until one of them runs on engine-a1; it passes on the answers of all.
func (s *scene) fill(vm string, into chan<- told) {
	var running sync.WaitGroup
	answers := make([]told, 12)
	for n := range answers {
		running.Add(1)
		go func() {
			defer running.Done()
			answers[n] = s.chat(vm, "", fmt.Sprint("stream ", n))
		}()
	}
	running.Wait()
	for _, d := range answers {
		if !d.served() {
			into <- d
			return
		}
	}
	into <- answers[0]
}

// TestOverload: where those who wait ahead would take until the deadline, a request is
// refused at once and told when to come back.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, nil)
		defer s.close()
		s.world.SetToken(100 * time.Millisecond)
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
				d := s.chat("a1", "", fmt.Sprint("flood ", n))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case d.served():
					served++
				case d.name == "overloaded":
					refused++
					require.Zero(t, d.took, "the refusal was held back")
					require.Positive(t, d.retry)
					require.Equal(t, "notrun", d.outcome)
				default:
					require.Fail(t, "unexpected answer", "%+v", d)
				}
			}()
			time.Sleep(time.Millisecond)
		}
		running.Wait()
		require.Positive(t, served)
		require.Positive(t, refused)
	})
}

// TestRetryBudget: when every attempt of a pool fails, retries stay within their budget, so
// that the pool is not finished off by them.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, nil)
		defer s.close()
		for _, v := range vms {
			s.world.Cross("engine-"+v.vm, 1_000_000)
		}
		counts := s.attempts()
		const requests = 200
		for n := range requests {
			d := s.chat("a1", "", fmt.Sprint("text ", n))
			require.False(t, d.served())
			require.Positive(t, d.retry, "%+v", d)
		}
		o := jvfleet.DefaultOptions()
		most := requests + int(requests*o.RetryShare) + int(o.RetrySaved)
		require.LessOrEqual(t, sum(counts()), most)
		require.Empty(t, s.fault())
	})
}

// TestLookupThatMayHaveRun: a lookup whose first attempt may have run, and for which no other
// target is left, is not told that it did not run.
func TestLookupThatMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, nil)
		defer s.close()
		bundle := sceneBundle()
		bundle.Pools[1].DeadlineMillis = 30_000 // Longer than a connection into a partition takes to fail.
		_, err := s.client.Publish(context.Background(), "longer", bundle, 0)
		require.NoError(t, err)
		for _, v := range vms[1:] {
			_, err := s.client.Drain(context.Background(), "d-"+v.vm, "desk-"+v.vm, "test", false)
			require.NoError(t, err)
		}
		time.Sleep(2 * time.Second)
		reached := armed(s, matrixStep{at: reaches(jvfake.StepCalled)}, func(s *scene, _ jvfake.Event) {
			s.world.Cut("a1", "targets")
		})
		d := s.lookUp("a1", "/stock/1")
		require.True(t, reached())
		require.False(t, d.served())
		require.Equal(t, "unknown", d.outcome, "%+v", d)
	})
}
