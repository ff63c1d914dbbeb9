package jvfleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfake"
	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// TestPromiseMutants guards against comparisons that miss faults: the comparison for each guarantee
// must fail once a mutant violates the guarantee, or options or a forged response that act as one.
func TestPromiseMutants(t *testing.T) {
	for _, c := range []struct {
		guarantee string
		mutant    jvfake.Mutant
		change    func(o *jvfleet.Options)
		// detects sends requests and reports whether the comparison detects the mutant.
		detects func(s *simulatedFleet) bool
	}{
		{"1: spend within prepaid", jvfake.MutantExcessUsage, nil, func(s *simulatedFleet) bool {
			for range 5 {
				s.chat("a1", "", "hello")
			}
			return s.violation() != ""
		}},
		{"2: billed exactly once", jvfake.MutantDuplicateBill, nil, func(s *simulatedFleet) bool {
			s.chat("a1", "", "hello")
			time.Sleep(5 * time.Second)
			return s.billedRequests() != 1
		}},
		{"3: the caller's own answer", jvfake.MutantWrongAnswer, nil, func(s *simulatedFleet) bool {
			return checkHello(s.chat("a1", "", "hello")) != ""
		}},
		{"3: the whole answer", jvfake.MutantShortAnswer, nil, func(s *simulatedFleet) bool {
			return checkHello(s.chat("a1", "", "hello")) != ""
		}},
		{"4: not run is true", "", nil, func(s *simulatedFleet) bool {
			s.book("a1", "key", "tin")
			return checkExecutions([]response{{outcome: "notrun"}}, s.sim.Executions("key")) != ""
		}},
		{"5: a booking at most once", jvfake.MutantDuplicateCall, nil, func(s *simulatedFleet) bool {
			return checkExecutions([]response{s.book("a1", "key", "tin")}, s.sim.Executions("key")) != ""
		}},
		{"6: no work for a leaving target", "", nil, func(s *simulatedFleet) bool {
			counts := s.countAttempts()
			for range 30 {
				s.chat("a1", "", "hello")
			}
			return counts()["engine-a1"] > 0 // The target gets work, since nothing marks it as leaving.
		}},
		{"7: a planned stop cuts nothing", "", func(o *jvfleet.Options) { o.Timing.StopLimit = time.Millisecond }, func(s *simulatedFleet) bool {
			s.sim.SetTokenTime(100 * time.Millisecond)
			answer := make(chan response, 1)
			go func() { answer <- s.chat("a1", "", "hello") }()
			time.Sleep(500 * time.Millisecond)
			s.sim.Router("a1").Stop(context.Background())
			return !(<-answer).served()
		}},
		{"8: configuration never reverts", "", nil, func(s *simulatedFleet) bool {
			return s.configReverts()
		}},
	} {
		t.Run(c.guarantee, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulatedFleet(t, c.change)
				defer s.close()
				s.sim.SetMutant(c.mutant)
				require.True(t, c.detects(s), "the comparison did not detect the mutant")
			})
		})
	}
}

// configReverts publishes a change and then appends the first publication again, forged to have the
// new version as its base. This has the effect of a state machine that does not check the base. It
// reports whether a router reverted to the first publication.
func (s *simulatedFleet) configReverts() bool {
	ctx := context.Background()
	newer := fleetBundle()
	newer.Profiles[0] = newer.Profiles[0].WithMaxOutput(30)
	version, err := s.client.Publish(ctx, "newer", newer, 0)
	require.NoError(s.t, err)
	time.Sleep(time.Second)
	want, _ := s.sim.Router("b1").Catalog().Profile("quick")
	page, err := s.sim.Log().Read(ctx, "fleet", 0, 0)
	require.NoError(s.t, err)
	for _, e := range page.Entries {
		b, err := jvcodec.Decode[jvrecord.Batch](e.Data)
		require.NoError(s.t, err)
		if len(b.Records) == 0 || b.Records[0].Publish == nil || b.Records[0].Publish.ID != "first" {
			continue
		}
		p := b.Records[0].Publish
		b.Origin, p.ID = "forged", "forged"
		for i := range p.Items {
			p.Items[i].Base = 0
			if p.Items[i].Kind == jvrecord.ItemProfile {
				p.Items = []jvrecord.Item{p.Items[i]}
				p.Items[0].Base = version
				break
			}
		}
		_, err = s.sim.Log().Append(ctx, "fleet", jvcodec.Encode(&b))
		require.NoError(s.t, err)
	}
	time.Sleep(time.Second)
	got, _ := s.sim.Router("b1").Catalog().Profile("quick")
	return got != want
}
