package jvfleet_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvoperator"
)

// unspentOfA1 returns the tokens that origins of a1 hold unspent according to the log.
func (s *simulatedFleet) unspentOfA1() (unspent int64) {
	s.client.View(func(state *jvledger.State) {
		for origin, a := range state.Budgets["quick"].Accounts {
			if o := state.Origins[origin]; o != nil && o.VM == "a1" {
				unspent += a.Unspent()
			}
		}
	})
	return unspent
}

// TestPlannedStop guards against a planned stop that breaks off answers or strands tokens: a router
// stops while it streams ten answers.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		s.sim.SetTokenTime(100 * time.Millisecond)
		responses := make(chan response, 10)
		for n := range 10 {
			go func() { responses <- s.chat("a1", fmt.Sprint("k", n), fmt.Sprint("text ", n)) }()
		}
		time.Sleep(500 * time.Millisecond)
		require.Positive(t, s.unspentOfA1())
		s.sim.Router("a1").Stop(context.Background())
		for range 10 {
			r := <-responses
			require.True(t, r.served(), "%+v", r)
		}
		time.Sleep(time.Second)
		require.Zero(t, s.unspentOfA1(), "tokens that the stopped VM did not return")
		require.Equal(t, int64(10), s.billedRequests())
		require.Empty(t, s.violation())
	})
}

// TestReclaim guards against stranding the tokens of a killed router: once both witnesses have
// promised, all but its open tranche must be free again.
func TestReclaim(t *testing.T) {
	for _, c := range []struct {
		name    string
		suspect time.Duration
		free    bool
	}{
		{"without witnesses the tokens stay stranded", 1000 * time.Hour, false},
		{"with witnesses the tokens are free again", 10 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulatedFleet(t, func(o *jvfleet.Options) {
					o.Timing.SuspectAfter = c.suspect
					o.ClaimPolicy.ClaimRequests = 200
				})
				defer s.close()
				require.True(t, s.chat("a1", "k", "hello").served())
				time.Sleep(3 * time.Second)
				before := s.unspentOfA1()
				s.sim.Kill("a1")
				time.Sleep(2 * time.Minute)
				after := s.unspentOfA1()
				t.Logf("%d tokens held when the router was killed, %d stranded after two minutes", before, after)
				if !c.free {
					require.Equal(t, before, after)
					return
				}
				require.Less(t, after, before/2)
				require.Empty(t, s.violation())
			})
		})
	}
}

// TestWakesAfterReclaim guards against a router that spends tokens which were reclaimed while it
// was paused: after the pause it must serve under a new origin without overspending.
func TestWakesAfterReclaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		require.True(t, s.chat("a1", "k", "hello").served())
		time.Sleep(3 * time.Second)
		s.sim.Pause("a1")
		s.sim.Unlist("a1")
		s.sim.Hook(nil)
		time.Sleep(time.Minute)
		s.sim.Resume("a1")
		time.Sleep(10 * time.Second)
		for n := range 20 {
			require.True(t, s.chat("a1", fmt.Sprint("k", n), fmt.Sprint("text ", n)).served())
		}
		time.Sleep(5 * time.Second)
		require.Empty(t, s.violation())
	})
}

// TestConfiguration guards against lost, reverted or differing configurations. Two operators
// publish on the same version at once, and all batches are appended again, as by retries after a
// lost response and by late duplicates. One operator must get a conflict, and the accepted
// configuration must be in force on every router within seconds.
func TestConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		ctx := context.Background()
		other := jvoperator.NewClient(jvoperator.Options{
			Operator: "other", Stream: "fleet", Log: s.sim.Log(), Timer: s.sim.Timer,
			Chance: jvchance.NewSource(sha256.Sum256([]byte("other"))), Logger: logr.Discard(),
		})
		defer other.Close()
		require.NoError(t, other.WaitReady(ctx))
		old := s.sim.Router("b1").Catalog().Version()
		mine, theirs := fleetBundle(), fleetBundle()
		mine.Profiles[0] = mine.Profiles[0].WithMaxOutput(30)
		theirs.Profiles[0] = theirs.Profiles[0].WithMaxOutput(20)
		results := make(chan error, 2)
		go func() {
			_, err := s.client.Publish(ctx, "mine", mine, old)
			results <- err
		}()
		go func() {
			_, err := other.Publish(ctx, "theirs", theirs, old)
			results <- err
		}()
		conflicts := 0
		for range 2 {
			if err := <-results; err != nil {
				require.Equal(t, jvoperator.KindConflict, jvfault.KindOf[jvoperator.Kind](err), "%v", err)
				conflicts++
			}
		}
		require.Equal(t, 1, conflicts)
		time.Sleep(2 * time.Second)
		want, _ := s.sim.Router("a1").Catalog().Profile("quick")
		page, err := s.sim.Log().Read(ctx, "fleet", 0, 0)
		require.NoError(t, err)
		for _, e := range page.Entries {
			_, err := s.sim.Log().Append(ctx, "fleet", e.Data)
			require.NoError(t, err)
		}
		time.Sleep(2 * time.Second)
		for _, v := range vms {
			got, _ := s.sim.Router(v.vm).Catalog().Profile("quick")
			require.Equal(t, want, got, v.vm)
		}
		require.Empty(t, s.violation())
	})
}

// TestStartsWhileLogIsAway guards against a router that can't start while the log is unreachable:
// it must take the state from a peer of its zone, serve with borrowed tokens, and have the same
// configuration as before.
func TestStartsWhileLogIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		for _, vm := range []string{"a1", "a2", "b1"} {
			require.True(t, s.chat(vm, "", "warm "+vm).served())
		}
		time.Sleep(2 * time.Second)
		version := s.sim.Router("a1").Catalog().Version()
		s.sim.SetLogDown(true)
		time.Sleep(10 * time.Second)
		s.sim.Kill("a1")
		time.Sleep(time.Second)
		s.startRouter("a1", "a", nil)
		time.Sleep(10 * time.Second)
		require.Empty(t, s.sim.Router("a1").UnreadyReason())
		require.Equal(t, version, s.sim.Router("a1").Catalog().Version())
		r := s.chat("a1", "", "during the outage")
		require.True(t, r.served(), "%+v", r)
		r = s.book("a1", "k", "tin")
		require.Equal(t, "unknown", r.outcome)
		require.Positive(t, r.retryAfter)
		s.sim.Heal()
		time.Sleep(time.Minute)
		require.Empty(t, s.violation())
	})
}

// TestLongPartition guards against a zone that serves nothing or overspends while it is
// disconnected from the log and from other zones for an hour, during which the budget is topped up.
func TestLongPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, slowMaintenance)
		defer s.close()
		for _, v := range vms {
			require.True(t, s.chat(v.vm, "", "warm "+v.vm).served())
		}
		time.Sleep(5 * time.Second)
		for _, vm := range []string{"a1", "a2"} {
			s.sim.Disconnect(vm, "log", "vms")
			for _, other := range []string{"b1", "b2", "c1", "c2"} {
				s.sim.DisconnectPair(vm, other)
			}
		}
		served := map[string]int{}
		for n := range 60 {
			time.Sleep(time.Minute)
			for _, vm := range []string{"a1", "b1", "c1"} {
				if s.chat(vm, "", fmt.Sprint(vm, n)).served() {
					served[vm]++
				}
			}
			if n == 20 {
				require.NoError(t, s.client.Topup(context.Background(), "second", "quick", 50_000))
			}
		}
		t.Logf("served of 60 each: %v", served)
		require.Equal(t, 60, served["b1"])
		require.Equal(t, 60, served["c1"])
		require.Positive(t, served["a1"])
		s.sim.Heal()
		time.Sleep(time.Minute)
		require.True(t, s.chat("a1", "", "healed").served())
		require.Empty(t, s.violation())
	})
}

// TestHorizon guards against routers that diverge or can't start after the log has dropped old
// entries: a router that was down meanwhile must start from a snapshot and know the keys in it.
func TestHorizon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		frequentSnapshots := func(o *jvfleet.Options) {
			o.Journal.CheckpointEntries = 40
		}
		s := newSimulatedFleet(t, frequentSnapshots)
		defer s.close()
		for n := range 60 {
			require.True(t, s.book("b1", fmt.Sprint("k", n), "tin").served())
			time.Sleep(200 * time.Millisecond)
		}
		s.sim.Kill("a1")
		time.Sleep(time.Second)
		s.sim.Trim("fleet", 20)
		s.startRouter("a1", "a", frequentSnapshots)
		time.Sleep(10 * time.Second)
		require.Empty(t, s.sim.Router("a1").UnreadyReason())
		r := s.book("a1", "k3", "tin")
		require.True(t, r.served(), "%+v", r)
		require.Equal(t, 1, s.sim.Executions("k3"))
		for _, v := range vms {
			require.Zero(t, s.sim.Router(v.vm).Dump(jvfleet.DumpQuery{}).Log.Diverged)
		}
	})
}

// TestOldKey guards against running a booking again after its run lock has expired: a key that was
// created before the run lock window must get the outcome unknown, since it may have run before.
func TestOldKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, func(o *jvfleet.Options) {
			slowMaintenance(o)
			o.Journal.Rules.RunLockWindow = (5 * time.Minute).Milliseconds()
		})
		defer s.close()
		key := uuidAt(s.sim.Timer.Now())
		require.True(t, s.book("a1", key, "tin").served())
		time.Sleep(11 * time.Minute)
		r := s.book("b1", key, "tin")
		require.Equal(t, "unknown", r.outcome, "%+v", r)
		require.Equal(t, 1, s.sim.Executions(key))
		r = s.book("b1", uuidAt(s.sim.Timer.Now()), "tin")
		require.True(t, r.served(), "%+v", r)
	})
}

// uuidAt returns a UUID of version 7 that was created at a time.
func uuidAt(t time.Time) string {
	var id uuid.UUID
	ms := t.UnixMilli()
	for i := range 6 {
		id[5-i] = byte(ms >> (8 * i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, 1
	return id.String()
}

// TestClaimGivenUp guards against a key that stays locked: a router refuses bookings while the log
// is unreachable, and the log accepts their run locks later. Retries with the same keys must be
// served.
func TestClaimGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		s.sim.SetLogDown(true)
		responses := make(chan response, 40)
		for n := range cap(responses) {
			go func() { responses <- s.book("a1", fmt.Sprint("k", n), "tin") }()
		}
		for range cap(responses) {
			r := <-responses
			require.Equal(t, "unknown", r.outcome, "%+v", r)
			require.Positive(t, r.retryAfter)
		}
		s.sim.Heal()
		time.Sleep(10 * time.Second)
		for n := range cap(responses) {
			key := fmt.Sprint("k", n)
			r := s.book("b1", key, "tin")
			require.True(t, r.served(), "%+v", r)
			require.Equal(t, 1, s.sim.Executions(key))
		}
	})
}

// TestFrozenPeer guards against requests that wait the peer timeout for a peer of the zone that is
// frozen and still on the VM list: once it has been silent for a few seconds, requests must not
// wait for it.
func TestFrozenPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		require.True(t, s.chat("a1", "", "warm").served())
		s.sim.Pause("a2")
		time.Sleep(10 * time.Second)
		for n := range 20 {
			r := s.chat("a1", fmt.Sprint("k", n), fmt.Sprint("text ", n))
			require.True(t, r.served(), "%+v", r)
			require.Less(t, r.elapsed, jvfleet.DefaultOptions().Timing.PeerTimeout, "the request waited for the frozen peer")
		}
		s.sim.Resume("a2")
		time.Sleep(5 * time.Second)
		require.Empty(t, s.violation())
	})
}

// TestBudgetToItsEnd guards against refusals while tokens are left that other VMs hold: a budget
// that is used through every router in turn must be served from until all VMs together hold less
// than one worst case.
func TestBudgetToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		bundle := fleetBundle()
		small := bundle.Profiles[0]
		small.Name, small.Model = "small", "small"
		bundle.Profiles = append(bundle.Profiles, small)
		ctx := context.Background()
		_, err := s.client.Publish(ctx, "small", bundle, 0)
		require.NoError(t, err)
		const tokens = 3000
		require.NoError(t, s.client.Topup(ctx, "small", "small", tokens))
		time.Sleep(time.Second)
		worstCase := int64(len(messages("text 100"))) + small.MaxOutput
		for n := range 200 {
			r := s.chatOn("small", vms[n%len(vms)].vm, "", fmt.Sprint("text ", n))
			if r.served() {
				continue
			}
			require.Equal(t, "budget", r.problem, "%+v", r)
			left := tokens - s.sim.UsedTokens("small")
			for _, v := range vms {
				t.Logf("%s holds %+v", v.vm, s.sim.Router(v.vm).Accounts()["small"])
			}
			require.Less(t, left, worstCase, "refused with %d tokens left", left)
			return
		}
		require.Fail(t, "the budget was not used up")
	})
}
