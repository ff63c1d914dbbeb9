package jvfleet_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvfleet"
)

// TestStopReturnsTokens guards against a planned stop that waits for answers until its time is over, so that
// nothing of it is left in which the router returns what it holds: some answers last longer than the stop may
// take, and all that would end before its last sixth end whole.
func TestStopReturnsTokens(t *testing.T) {
	for _, limit := range []time.Duration{3 * time.Second, 6 * time.Second, 10 * time.Second} {
		t.Run(limit.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulatedFleet(t, func(o *jvfleet.Options) { o.Timing.StopTimeout = limit })
				defer s.close()
				bundle := fleetBundle()
				bundle.Profiles[0].TimeoutMillis = 10 * limit.Milliseconds()
				_, err := s.client.Publish(context.Background(), "slow", bundle, s.sim.Router("a1").Catalog().Version())
				require.NoError(t, err)
				time.Sleep(time.Second)
				s.sim.SetTokenTime(limit / 30)
				first := s.chat("b1", "measure", "text")
				require.True(t, first.served(), "%+v", first)
				require.Greater(t, first.elapsed, limit, "an answer lasts longer than a stop")
				early, late := make(chan response, 5), make(chan response, 5)
				for n := range 5 {
					go func() { early <- s.chat("a1", fmt.Sprint("early", n), "text") }()
				}
				time.Sleep(first.elapsed - limit*3/4) // These answers end after three quarters of the stop.
				for n := range 5 {
					go func() { late <- s.chat("a1", fmt.Sprint("late", n), "text") }()
				}
				time.Sleep(limit / 20)
				held := s.unspentOfA1()
				stoppedAt := time.Now()
				halfway := make(chan int64, 1)
				time.AfterFunc(limit/2, func() { halfway <- s.unspentOfA1() })
				s.sim.Router("a1").Stop(context.Background())
				took := time.Since(stoppedAt)
				require.Less(t, <-halfway, held*2/3, "tokens that no request needs are returned beside the drain")
				for range 5 {
					r := <-early
					require.True(t, r.served(), "%+v", r)
					<-late
				}
				time.Sleep(time.Second)
				require.Zero(t, s.unspentOfA1(), "tokens that the stopped VM did not return after %s", took)
				require.Less(t, took, limit, "the process is still running when it is killed")
				require.GreaterOrEqual(t, took, limit*5/6, "answers are broken off before the last sixth")
				require.Empty(t, s.violation())
			})
		})
	}
}

// TestStopReportsCopiesOfBills guards against bills that are lost when a router is killed and the witnesses that have the
// copies of its latest ones are stopped before they count it as missing.
func TestStopReportsCopiesOfBills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		time.Sleep(5 * time.Second)
		const requests = 3
		for n := range requests {
			r := s.chat("a1", fmt.Sprint("key", n), "text")
			require.True(t, r.served(), "%+v", r)
		}
		s.sim.Kill("a1")
		s.sim.Router("a2").Stop(context.Background())
		s.sim.Router("b1").Stop(context.Background())
		time.Sleep(20 * time.Second)
		require.Equal(t, int64(requests), s.billedRequests())
		require.Empty(t, s.violation())
	})
}

// TestBillsWithoutWitnesses guards against bills that are lost when a router is killed soon after its witnesses were, before
// it has named others.
func TestBillsWithoutWitnesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		time.Sleep(5 * time.Second)
		for _, v := range []string{"a2", "b1", "b2"} {
			s.sim.Kill(v)
		}
		r := s.chat("a1", "key", "text")
		require.True(t, r.served(), "%+v", r)
		s.sim.Kill("a1")
		time.Sleep(20 * time.Second)
		require.Equal(t, int64(1), s.billedRequests())
		require.Empty(t, s.violation())
	})
}

// TestStopRefusesNew guards against a router that takes a request while it stops, which it may have to break off: each one
// that comes after the signal is refused at once as not run, and another router serves it.
func TestStopRefusesNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		s.sim.SetTokenTime(100 * time.Millisecond)
		go s.chat("a1", "open", "text")
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			s.sim.Router("a1").Stop(context.Background())
		}()
		for n := 0; ; n++ {
			synctest.Wait()
			select {
			case <-stopped:
				require.Positive(t, n)
				require.Empty(t, s.violation())
				return
			default:
			}
			r := s.chat("a1", "", "text")
			require.Equal(t, "notrun unavailable 0s", fmt.Sprint(r.outcome, " ", r.problem, " ", r.elapsed))
			require.True(t, s.chat("b1", "", "text").served())
		}
	})
}
