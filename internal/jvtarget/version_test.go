package jvtarget

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// versionTable is a table with one target of each of two versions, with one slot each.
type versionTable struct {
	*Table
	leaving map[string]bool
}

func newVersionTable(t *testing.T) versionTable {
	timer := jvtimer.NewService()
	t.Cleanup(timer.Close)
	v := versionTable{Table: NewTable("z", timer, func() float64 { return 0 }).WithLateDrain(time.Second), leaving: map[string]bool{}}
	v.apply()
	return v
}

// apply gives the targets to the table, with those that are leaving now.
func (v versionTable) apply() {
	v.SetPools(map[string][]jvconfig.Target{"p": {
		{Name: "old", Zone: "z", Address: "a:1", Slots: 1, Version: "v1"},
		{Name: "new", Zone: "z", Address: "b:1", Slots: 1, Version: "v2"},
		{Name: "unknown", Zone: "z", Address: "c:1", Slots: 1},
	}}, func(name string) bool { return v.leaving[name] })
}

// acquire returns the name of the target of an attempt, or the kind of refusal.
func (v versionTable) acquire(attempt, version string, avoid ...string) (Lease, string) {
	q := Request{Pool: "p", Attempt: attempt, Bound: true, Version: version, Avoid: avoid, Deadline: time.Now().Add(3 * time.Second)}
	lease, err := v.Acquire(context.Background(), q)
	if err != nil {
		var refusal *Refusal
		_ = requireAs(err, &refusal)
		return lease, string(refusal.Cause.Kind)
	}
	return lease, lease.Target.Name
}

func requireAs(err error, refusal **Refusal) bool {
	r, ok := err.(*Refusal) //nolint:errorlint // Acquire returns it unwrapped.
	*refusal = r
	return ok
}

// TestBoundToVersion guards against streams that go on at a target of another version (incident ORDER, issue 24),
// or wait for one that will never be there.
func TestBoundToVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVersionTable(t)
		started := time.Now()
		lease, got := v.acquire("1", "v1")
		require.Equal(t, "old", got)
		lease.Release(ResultSucceeded)
		for _, version := range []string{"v3", ""} {
			_, got = v.acquire("2", version)
			require.Equal(t, string(KindNoTarget), got, version)
		}
		_, got = v.acquire("3", "v1", "old")
		require.Equal(t, string(KindNoTarget), got)
		require.Zero(t, time.Since(started))
	})
}

// TestBoundRequestsWait guards against requests that wait for a version and hold up those that can use others, and
// against new requests that take the slots for which resumed streams wait.
func TestBoundRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVersionTable(t)
		old, _ := v.acquire("1", "v1")
		resumed := make(chan string, 1)
		go func() {
			_, got := v.acquire("2", "v1")
			resumed <- got
		}()
		synctest.Wait()
		free := func(attempt string) (Lease, error) {
			return v.Acquire(context.Background(), Request{Pool: "p", Attempt: attempt, Deadline: time.Now().Add(3 * time.Second)})
		}
		first, err := free("3")
		require.NoError(t, err)
		second, err := free("4")
		require.NoError(t, err)
		require.ElementsMatch(t, []string{"new", "unknown"}, []string{first.Target.Name, second.Target.Name})
		began := make(chan string, 1)
		go func() {
			lease, _ := free("5")
			began <- lease.Target.Name
		}()
		synctest.Wait()
		old.Release(ResultSucceeded)
		require.Equal(t, "old", <-resumed)
		first.Release(ResultSucceeded)
		require.Equal(t, first.Target.Name, <-began)
	})
}

// TestLateDrain guards against refusing streams whose version has only targets left that are about to leave, and
// against sending them there when their time is over.
func TestLateDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVersionTable(t)
		v.leaving["old"] = true
		v.apply()
		lease, got := v.acquire("1", "v1")
		require.Equal(t, "old", got)
		lease.Release(ResultSucceeded)
		_, err := v.Acquire(context.Background(), Request{Pool: "p", Attempt: "2", Avoid: []string{"new", "unknown"}, Deadline: time.Now().Add(time.Second)})
		require.Error(t, err, "a new request")
		time.Sleep(time.Second)
		_, got = v.acquire("3", "v1")
		require.Equal(t, string(KindNoTarget), got)
	})
}
