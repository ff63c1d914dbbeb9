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

// held returns what the origins of a1 hold and have not reported spent.
func (s *scene) held() (left int64) {
	s.client.View(func(state *jvledger.State) {
		for origin, a := range state.Budgets["quick"].Accounts {
			if o := state.Origins[origin]; o != nil && o.VM == "a1" {
				left += a.Unspent()
			}
		}
	})
	return left
}

// TestPlannedStop: a planned stop cuts no request and gives the grants back.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, nil)
		defer s.close()
		s.world.SetToken(100 * time.Millisecond)
		answers := make(chan told, 10)
		for n := range 10 {
			go func() { answers <- s.chat("a1", fmt.Sprint("k", n), fmt.Sprint("text ", n)) }()
		}
		time.Sleep(500 * time.Millisecond)
		require.Positive(t, s.held())
		s.world.Fleet("a1").Stop(context.Background())
		for range 10 {
			d := <-answers
			require.True(t, d.served(), "%+v", d)
		}
		time.Sleep(time.Second)
		require.Zero(t, s.held(), "tokens that the stopped VM did not give back")
		require.Equal(t, int64(10), s.billed())
		require.Empty(t, s.fault())
	})
}

// TestReclaim: what a dead router held is free again once both witnesses have promised, but
// for the tranche that it had open.
func TestReclaim(t *testing.T) {
	for _, c := range []struct {
		name    string
		suspect time.Duration
		free    bool
	}{
		{"without witnesses the grant stays written off", 1000 * time.Hour, false},
		{"with witnesses it is free again", 10 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScene(t, func(o *jvfleet.Options) {
					o.Timing.SuspectAfter = c.suspect
					o.ClaimPolicy.ClaimRequests = 200
				})
				defer s.close()
				require.True(t, s.chat("a1", "k", "hello").served())
				time.Sleep(3 * time.Second)
				before := s.held()
				s.world.Kill("a1")
				time.Sleep(2 * time.Minute)
				after := s.held()
				t.Logf("%d tokens held when it died, %d stranded after two minutes", before, after)
				if !c.free {
					require.Equal(t, before, after)
					return
				}
				require.Less(t, after, before/2)
				require.Empty(t, s.fault())
			})
		})
	}
}

// TestWakesAfterReclaim: a router that was only paused, and whose grants were reclaimed
// meanwhile, goes on under a new origin and overspends nothing.
func TestWakesAfterReclaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, nil)
		defer s.close()
		require.True(t, s.chat("a1", "k", "hello").served())
		time.Sleep(3 * time.Second)
		s.world.Pause("a1")
		s.world.Unlist("a1")
		s.world.Hook(nil)
		time.Sleep(time.Minute)
		s.world.Resume("a1")
		time.Sleep(10 * time.Second)
		for n := range 20 {
			require.True(t, s.chat("a1", fmt.Sprint("k", n), fmt.Sprint("text ", n)).served())
		}
		time.Sleep(5 * time.Second)
		require.Empty(t, s.fault())
	})
}

// TestConfiguration: of two operators who race one is told that the other won; a publication
// whose answer was lost and a late duplicate of an old one change nothing; what was accepted
// is in force on every router within seconds.
func TestConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, nil)
		defer s.close()
		ctx := context.Background()
		other := jvoperator.NewClient(jvoperator.Options{
			Operator: "other", Stream: "fleet", Log: s.world.Log(), Timer: s.world.Timer,
			Chance: jvchance.NewSource(sha256.Sum256([]byte("other"))), Logger: logr.Discard(),
		})
		defer other.Close()
		require.NoError(t, other.WaitReady(ctx))
		old := s.world.Fleet("b1").Catalog().Version()
		mine, theirs := sceneBundle(), sceneBundle()
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
		want, _ := s.world.Fleet("a1").Catalog().Profile("quick")
		page, err := s.world.Log().Read(ctx, "fleet", 0, 0)
		require.NoError(t, err)
		for _, e := range page.Entries {
			_, err := s.world.Log().Append(ctx, "fleet", e.Data)
			require.NoError(t, err)
		}
		time.Sleep(2 * time.Second)
		for _, v := range vms {
			got, _ := s.world.Fleet(v.vm).Catalog().Profile("quick")
			require.Equal(t, want, got, v.vm)
		}
		require.Empty(t, s.fault())
	})
}

// TestStartsWhileLogIsAway: a router that starts during an outage takes the state from a peer
// of its zone and serves with what peers lend it; the configuration does not revert.
func TestStartsWhileLogIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, nil)
		defer s.close()
		for _, vm := range []string{"a1", "a2", "b1"} {
			require.True(t, s.chat(vm, "", "warm "+vm).served())
		}
		time.Sleep(2 * time.Second)
		version := s.world.Fleet("a1").Catalog().Version()
		s.world.LogDown(true)
		time.Sleep(10 * time.Second)
		s.world.Kill("a1")
		time.Sleep(time.Second)
		s.start("a1", "a", nil)
		time.Sleep(10 * time.Second)
		require.Empty(t, s.world.Fleet("a1").UnreadyReason())
		require.Equal(t, version, s.world.Fleet("a1").Catalog().Version())
		d := s.chat("a1", "", "during the outage")
		require.True(t, d.served(), "%+v", d)
		d = s.book("a1", "k", "tin")
		require.Equal(t, "unknown", d.outcome)
		require.Positive(t, d.retry)
		s.world.Heal()
		time.Sleep(time.Minute)
		require.Empty(t, s.fault())
	})
}

// TestLongPartition: a zone that is cut off for an hour serves what it holds, top-ups come
// meanwhile, and no budget is overspent.
func TestLongPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, calmly)
		defer s.close()
		for _, v := range vms {
			require.True(t, s.chat(v.vm, "", "warm "+v.vm).served())
		}
		time.Sleep(5 * time.Second)
		for _, vm := range []string{"a1", "a2"} {
			s.world.Cut(vm, "log", "vms")
			for _, other := range []string{"b1", "b2", "c1", "c2"} {
				s.world.CutPair(vm, other)
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
		s.world.Heal()
		time.Sleep(time.Minute)
		require.True(t, s.chat("a1", "", "healed").served())
		require.Empty(t, s.fault())
	})
}

// TestHorizon: with a log that keeps few records, a router that was cut off past the horizon
// and one that starts anew go on from a snapshot and agree with the others.
func TestHorizon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		few := func(o *jvfleet.Options) {
			o.Journal.CheckpointEntries = 40
		}
		s := newScene(t, few)
		defer s.close()
		for n := range 60 {
			require.True(t, s.book("b1", fmt.Sprint("k", n), "tin").served())
			time.Sleep(200 * time.Millisecond)
		}
		s.world.Kill("a1")
		time.Sleep(time.Second)
		s.world.Trim("fleet", 20)
		s.start("a1", "a", few)
		time.Sleep(10 * time.Second)
		require.Empty(t, s.world.Fleet("a1").UnreadyReason())
		d := s.book("a1", "k3", "tin")
		require.True(t, d.served(), "%+v", d)
		require.Equal(t, 1, s.world.Runs("k3"))
		for _, v := range vms {
			require.Zero(t, s.world.Fleet(v.vm).Dump(jvfleet.DumpQuery{}).Log.Diverged)
		}
	})
}

// TestOldKey: a key whose own time lies before the window in which keys are remembered is
// never run, and nobody is told that it did not run before.
func TestOldKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, func(o *jvfleet.Options) {
			calmly(o)
			o.Journal.Rules.RunLockWindow = (5 * time.Minute).Milliseconds()
		})
		defer s.close()
		key := keyAt(s.world.Timer.Now())
		require.True(t, s.book("a1", key, "tin").served())
		time.Sleep(11 * time.Minute)
		d := s.book("b1", key, "tin")
		require.Equal(t, "unknown", d.outcome, "%+v", d)
		require.Equal(t, 1, s.world.Runs(key))
		d = s.book("b1", keyAt(s.world.Timer.Now()), "tin")
		require.True(t, d.served(), "%+v", d)
	})
}

// keyAt returns a UUID of version 7 that carries a time.
func keyAt(t time.Time) string {
	var id uuid.UUID
	ms := t.UnixMilli()
	for i := range 6 {
		id[5-i] = byte(ms >> (8 * i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, 1
	return id.String()
}

// TestClaimGivenUp: a booking that was given up while the log was away, and whose claim the
// log took all the same, is served when its caller comes back with the same key.
func TestClaimGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, nil)
		defer s.close()
		s.world.LogDown(true)
		answers := make(chan told, 40)
		for n := range cap(answers) {
			go func() { answers <- s.book("a1", fmt.Sprint("k", n), "tin") }()
		}
		for range cap(answers) {
			d := <-answers
			require.Equal(t, "unknown", d.outcome, "%+v", d)
			require.Positive(t, d.retry)
		}
		s.world.Heal()
		time.Sleep(10 * time.Second)
		for n := range cap(answers) {
			key := fmt.Sprint("k", n)
			d := s.book("b1", key, "tin")
			require.True(t, d.served(), "%+v", d)
			require.Equal(t, 1, s.world.Runs(key))
		}
	})
}

// TestFrozenPeer: a zone mate that is frozen, and still on the VM list, costs requests no
// timeout once it has been silent for a few seconds.
func TestFrozenPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, nil)
		defer s.close()
		require.True(t, s.chat("a1", "", "warm").served())
		s.world.Pause("a2")
		time.Sleep(10 * time.Second)
		for n := range 20 {
			d := s.chat("a1", fmt.Sprint("k", n), fmt.Sprint("text ", n))
			require.True(t, d.served(), "%+v", d)
			require.Less(t, d.took, jvfleet.DefaultOptions().Timing.PeerTimeout, "the request waited for the frozen peer")
		}
		s.world.Resume("a2")
		time.Sleep(5 * time.Second)
		require.Empty(t, s.fault())
	})
}

// TestBudgetToItsEnd: a budget that is drawn on through every router in turn is used up until
// less than one worst case is left of it, in all VMs together.
func TestBudgetToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, nil)
		defer s.close()
		bundle := sceneBundle()
		small := bundle.Profiles[0]
		small.Name, small.Model = "small", "small"
		bundle.Profiles = append(bundle.Profiles, small)
		ctx := context.Background()
		_, err := s.client.Publish(ctx, "small", bundle, 0)
		require.NoError(t, err)
		const tokens = 3000
		require.NoError(t, s.client.Topup(ctx, "small", "small", tokens))
		time.Sleep(time.Second)
		worst := int64(len(messages("text 100"))) + small.MaxOutput
		for n := range 200 {
			d := s.ask("small", vms[n%len(vms)].vm, "", fmt.Sprint("text ", n))
			if d.served() {
				continue
			}
			require.Equal(t, "budget", d.name, "%+v", d)
			left := tokens - s.world.Tokens("small")
			for _, v := range vms {
				t.Logf("%s holds %+v", v.vm, s.world.Fleet(v.vm).Accounts()["small"])
			}
			require.Less(t, left, worst, "refused with %d tokens left", left)
			return
		}
		require.Fail(t, "the budget did not end")
	})
}
