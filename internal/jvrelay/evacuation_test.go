package jvrelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvroute"
)

// TestEvacuations guards against an evacuation that ends before the operator revokes it: by other changes, by a listing of a
// log that came back from an earlier copy, or by a change that comes twice; and against one that never ends.
func TestEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t).relay
		steps := []struct {
			name     string
			changes  map[string]bool
			complete bool
			renew    bool
			wait     time.Duration
			want     []string
		}{
			{name: "first listing", changes: map[string]bool{"a": true}, complete: true, want: []string{"a"}},
			{name: "another zone", changes: map[string]bool{"b": true}, want: []string{"a", "b"}},
			{name: "once more", changes: map[string]bool{"b": true}, want: []string{"a", "b"}},
			{name: "no change", want: []string{"a", "b"}, wait: time.Minute},
			{name: "one is revoked", changes: map[string]bool{"a": false}, want: []string{"b"}},
			{name: "the copy lacks it", renew: true, want: []string{"b"}},
			{name: "written again", changes: map[string]bool{"b": true}, want: []string{"b"}, wait: time.Minute},
			{name: "the copy has an older one", changes: map[string]bool{"a": true}, renew: true, want: []string{"a", "b"}},
			{name: "not written again", want: []string{"a"}, wait: time.Minute},
			{name: "a listing without it", complete: true, want: nil},
		}
		for _, s := range steps {
			if s.renew {
				r.RenewEvacuations(s.changes)
			} else {
				r.UpdateEvacuations(s.changes, s.complete)
			}
			time.Sleep(s.wait)
			synctest.Wait()
			require.Equal(t, s.want, r.Dump().Evacuated, s.name)
		}
	})
}

// TestEvacuationOfAllTargets guards against a request that is held, or said to have run, while all targets of its pool are in
// evacuated zones.
func TestEvacuationOfAllTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.relay.UpdateEvacuations(map[string]bool{"a": true}, true)
		startedAt := time.Now()
		require.Equal(t, "refused 503 overloaded, retry after 200ms", f.serve(context.Background(), t, "safe", nil))
		require.Zero(t, time.Since(startedAt))
		require.Empty(t, f.sender.sent)
	})
}

// TestColdEntries guards against a cold target that gets as many requests as a warm one: at its first record, when it turns
// cold again, after a later configuration; and against one that stays limited after its cold time, or as another process.
func TestColdEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.relay.Configure(table(2).WithPools([]jvroute.Pool{{Name: "p", ColdRate: 24}}))
		limits := f.relay.options.Limits
		update := func(born int64, sequence uint64, cold time.Duration) {
			f.relay.Registry().Update(map[string]*Entry{"t0": {
				Pool: "p", Target: jvconfig.Target{Name: "t0", Zone: "a", Address: "t0:1", Slots: 4, Version: "v1"},
				StartedAtMillis: born, Sequence: sequence, ColdFor: cold,
			}}, false)
		}
		cold := func() bool {
			_, limited := limits.Wait("t0")
			return limited
		}
		update(1, 1, 3*time.Second)
		require.True(t, cold())
		require.Equal(t, 1, limits.CountCold())
		time.Sleep(2 * time.Second)
		update(1, 1, 3*time.Second) // A listing has the same record once more.
		update(1, 2, unknownCold)
		time.Sleep(1500 * time.Millisecond)
		require.False(t, cold())
		update(1, 3, time.Second)
		require.True(t, cold(), "cold again")
		f.relay.Configure(table(3))
		require.False(t, cold(), "the configuration has no bound any more")
		f.relay.Configure(table(4).WithPools([]jvroute.Pool{{Name: "p", ColdRate: 24}}))
		require.True(t, cold())
		update(2, 1, 0)
		require.False(t, cold(), "another process is warm")
		f.relay.Registry().hearCold("t0", 1, time.Minute)
		require.False(t, cold(), "a response of the process before")
		f.relay.Registry().hearCold("t0", 2, time.Minute)
		require.True(t, cold())
		f.relay.Registry().Update(map[string]*Entry{"t0": nil}, false)
		require.False(t, cold(), "the target is gone")
	})
}
