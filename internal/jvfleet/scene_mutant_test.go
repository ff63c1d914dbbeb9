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

// TestPromiseMutants: for each promise, a deliberate fault makes the comparison that proves
// it fail.
func TestPromiseMutants(t *testing.T) {
	for _, c := range []struct {
		promise string
		lie     jvfake.Lie
		change  func(o *jvfleet.Options)
		// noticed runs requests and tells whether the comparison noticed the fault.
		noticed func(s *scene) bool
	}{
		{"1: spend within prepaid", jvfake.LieLargeUse, nil, func(s *scene) bool {
			for range 5 {
				s.chat("a1", "", "hello")
			}
			return s.fault() != ""
		}},
		{"2: billed exactly once", jvfake.LieBillTwice, nil, func(s *scene) bool {
			s.chat("a1", "", "hello")
			time.Sleep(5 * time.Second)
			return s.billed() != 1
		}},
		{"3: the caller's own answer", jvfake.LieOtherAnswer, nil, func(s *scene) bool {
			return whole(s.chat("a1", "", "hello")) != ""
		}},
		{"3: the whole answer", jvfake.LieShortAnswer, nil, func(s *scene) bool {
			return whole(s.chat("a1", "", "hello")) != ""
		}},
		{"4: not run is true", "", nil, func(s *scene) bool {
			s.book("a1", "key", "tin")
			return judgeOnce([]told{{outcome: "notrun"}}, s.world.Runs("key")) != ""
		}},
		{"5: a booking at most once", jvfake.LieCallTwice, nil, func(s *scene) bool {
			return judgeOnce([]told{s.book("a1", "key", "tin")}, s.world.Runs("key")) != ""
		}},
		{"6: no work for a leaving target", "", nil, func(s *scene) bool {
			counts := s.attempts()
			for range 30 {
				s.chat("a1", "", "hello")
			}
			return counts()["engine-a1"] > 0 // Nobody told it to leave.
		}},
		{"7: a planned stop cuts nothing", "", func(o *jvfleet.Options) { o.Timing.StopLimit = time.Millisecond }, func(s *scene) bool {
			s.world.SetToken(100 * time.Millisecond)
			answer := make(chan told, 1)
			go func() { answer <- s.chat("a1", "", "hello") }()
			time.Sleep(500 * time.Millisecond)
			s.world.Fleet("a1").Stop(context.Background())
			return !(<-answer).served()
		}},
		{"8: configuration never reverts", "", nil, func(s *scene) bool {
			return s.revert()
		}},
	} {
		t.Run(c.promise, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScene(t, c.change)
				defer s.close()
				s.world.Tell(c.lie)
				require.True(t, c.noticed(s), "the comparison did not notice the fault")
			})
		})
	}
}

// revert publishes a change and then forges an old publication onto the new version, as a
// fold without the check of the base would take it; it tells whether a router went back.
func (s *scene) revert() bool {
	ctx := context.Background()
	newer := sceneBundle()
	newer.Profiles[0] = newer.Profiles[0].WithMaxOutput(30)
	version, err := s.client.Publish(ctx, "newer", newer, 0)
	require.NoError(s.t, err)
	time.Sleep(time.Second)
	want, _ := s.world.Fleet("b1").Catalog().Profile("quick")
	page, err := s.world.Log().Read(ctx, "fleet", 0, 0)
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
		_, err = s.world.Log().Append(ctx, "fleet", jvcodec.Encode(&b))
		require.NoError(s.t, err)
	}
	time.Sleep(time.Second)
	got, _ := s.world.Fleet("b1").Catalog().Profile("quick")
	return got != want
}
