package jvtarget

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// TestEvacuatedZones guards against requests that reach an evacuated availability zone: new ones, those that are bound to
// a version which only its targets have, those that waited for one of them, and those of a table that gets its targets
// later.
func TestEvacuatedZones(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		timer := jvtimer.NewService()
		defer timer.Close()
		table := NewTable("a", timer, func() float64 { return 0 }).WithLateDrain(time.Second)
		table.SetEvacuated([]string{"b"})
		inService := func(string) bool { return false }
		table.SetPools(map[string][]jvconfig.Target{"p": {
			{Name: "t0", Zone: "a", Slots: 1, Version: "v1"}, {Name: "t1", Zone: "b", Slots: 1, Version: "v2"},
		}}, inService)
		acquire := func(q Request) (Lease, error) {
			q.Pool, q.Deadline = "p", timer.Now().Add(2*time.Second)
			return table.Acquire(context.Background(), q)
		}
		first, err := acquire(Request{Attempt: "1"})
		require.NoError(t, err)
		require.Equal(t, "t0", first.Target.Name)
		_, err = acquire(Request{Attempt: "2", Bound: true, Version: "v2"})
		require.Equal(t, KindNoTarget, jvfault.KindOf[Kind](err))

		result := make(chan error, 1)
		go func() {
			_, err := acquire(Request{Attempt: "3"})
			result <- err
		}()
		synctest.Wait()
		table.SetEvacuated([]string{"a", "b"})
		require.Equal(t, KindNoTarget, jvfault.KindOf[Kind](<-result), "it waited for a target that may not get it any more")
		require.False(t, table.MayAccept(Request{Pool: "p"}))
		first.Release(ResultSucceeded)

		table.SetEvacuated([]string{"a"})
		lease, err := acquire(Request{Attempt: "4"})
		require.NoError(t, err)
		require.Equal(t, "t1", lease.Target.Name)
		table.SetEvacuated(nil)
		lease, err = acquire(Request{Attempt: "5"})
		require.NoError(t, err)
		require.Equal(t, "t0", lease.Target.Name)
	})
}
