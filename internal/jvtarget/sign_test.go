package jvtarget

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// testLateDrain is how long leaving targets get requests that are bound to their version.
const testLateDrain = 2 * time.Second

// inSignTable runs a test with a table of the targets t0 and t1, whose processes started at 1.
func inSignTable(t *testing.T, test func(t *testing.T, table *Table)) {
	synctest.Test(t, func(t *testing.T) {
		timer := jvtimer.NewService()
		defer timer.Close()
		table := NewTable("a", timer, func() float64 { return 0 }).WithLateDrain(testLateDrain)
		setEntries(table, map[string]Process{"t0": {StartedAtMillis: 1}, "t1": {StartedAtMillis: 1}})
		test(t, table)
	})
}

// setEntries applies the targets' entries. The version of each is its name.
func setEntries(table *Table, entries map[string]Process) {
	var targets []jvconfig.Target
	for name := range entries {
		targets = append(targets, jvconfig.Target{Name: name, Zone: "a", Address: name + ":1", Slots: 2, Version: name})
	}
	table.SetProcesses(entries)
	table.SetPools(map[string][]jvconfig.Target{"p": targets}, func(name string) bool { return entries[name].Leaving })
}

// acquireNow returns the names of all targets that have a slot for a request now.
func acquireNow(table *Table, q Request) map[string]bool {
	names := map[string]bool{}
	var leases []Lease
	table.mu.Lock()
	defer table.mu.Unlock()
	for n := range 100 {
		q.Attempt = fmt.Sprint("a", n)
		lease, kind := table.pools["p"].acquire(table, q)
		if kind != "" {
			break
		}
		names[lease.Target.Name] = true
		leases = append(leases, lease)
	}
	for _, l := range leases {
		g := table.pools["p"].targets[l.Target.Name]
		delete(g.running, l.Attempt)
		delete(g.traffic.starts, l.Attempt)
	}
	return names
}

// TestLeavingOutlastsEntries guards against sending requests to a target that has said it leaves, because its entry
// is written again, lapses and returns, or moves, and against leaving out its next process.
func TestLeavingOutlastsEntries(t *testing.T) {
	ready, leaving := Process{StartedAtMillis: 1}, Process{StartedAtMillis: 1, Leaving: true}
	unknown := Process{}
	absent := Process{StartedAtMillis: -1}
	for _, c := range []struct {
		name string
		// first is the entry when the target says that it leaves, as an attempt of the process sentTo shows.
		first  Process
		sentTo int64
		later  []Process
		used   bool
	}{
		{"written again", ready, 1, []Process{ready, ready}, false},
		{"lapses and returns", ready, 1, []Process{absent, ready}, false},
		{"draining and ready", ready, 1, []Process{leaving, ready}, false},
		{"restarts", ready, 1, []Process{{StartedAtMillis: 2}}, true},
		{"restarts after a lapse", ready, 1, []Process{absent, {StartedAtMillis: 2}}, true},
		{"start missing", ready, 1, []Process{unknown, ready}, false},
		{"start missing after a lapse", ready, 1, []Process{absent, unknown}, true},
		{"start unknown, written again", unknown, 0, []Process{unknown}, false},
		{"start unknown, lapses and returns", unknown, 0, []Process{absent, unknown}, true},
		{"start unknown, draining and ready", unknown, 0, []Process{leaving, unknown}, true},
		{"start unknown, still draining", unknown, 0, []Process{{Leaving: true}, {Leaving: true}}, false},
		{"start unknown to a peer", ready, 0, []Process{absent, ready}, false},
		{"lapsed before the response", absent, 1, []Process{ready}, false},
		{"response of an earlier process", Process{StartedAtMillis: 2}, 1, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSignTable(t, func(t *testing.T, table *Table) {
				set := func(p Process) {
					entries := map[string]Process{"t1": ready}
					if p != absent {
						entries["t0"] = p
					}
					setEntries(table, entries)
				}
				set(c.first)
				table.RecordLeaving("p", "t0", c.sentTo)
				for _, p := range c.later {
					set(p)
				}
				require.Equal(t, c.used, acquireNow(table, Request{Pool: "p"})["t0"])
				require.True(t, acquireNow(table, Request{Pool: "p"})["t1"])
			})
		})
	}
}

// TestLeavingServesBoundStreams checks that a target that has said it leaves still gets streams that can go on nowhere
// else, for a time that a later entry doesn't prolong.
func TestLeavingServesBoundStreams(t *testing.T) {
	inSignTable(t, func(t *testing.T, table *Table) {
		bound := Request{Pool: "p", Bound: true, Version: "t0"}
		require.True(t, table.RecordLeaving("p", "t0", 1))
		require.False(t, table.RecordLeaving("p", "t0", 1), "already known")
		require.Equal(t, map[string]bool{"t1": true}, acquireNow(table, Request{Pool: "p"}))
		time.Sleep(testLateDrain / 2)
		require.Equal(t, map[string]bool{"t0": true}, acquireNow(table, bound))
		setEntries(table, map[string]Process{"t0": {StartedAtMillis: 1, Leaving: true}, "t1": {StartedAtMillis: 1}})
		require.Equal(t, map[string]bool{"t0": true}, acquireNow(table, bound))
		time.Sleep(testLateDrain / 2)
		require.Empty(t, acquireNow(table, bound))
	})
}

// TestLeavingEndsWaiting guards against requests that wait until their deadline for targets that have said they leave.
func TestLeavingEndsWaiting(t *testing.T) {
	inSignTable(t, func(t *testing.T, table *Table) {
		table.RecordLeaving("p", "t1", 1)
		start := table.timer.Now()
		q := Request{Pool: "p", Deadline: start.Add(time.Minute)}
		for n := range 2 {
			q.Attempt = fmt.Sprint(n)
			_, err := table.Acquire(context.Background(), q)
			require.NoError(t, err)
		}
		failed := make(chan error, 1)
		go func() {
			_, err := table.Acquire(context.Background(), Request{Pool: "p", Attempt: "2", Deadline: q.Deadline})
			failed <- err
		}()
		synctest.Wait()
		table.RecordLeaving("p", "t0", 1)
		require.ErrorContains(t, <-failed, "2 leaving")
		require.Zero(t, table.timer.Since(start))
	})
}

// TestSignsAreBounded guards against memory that grows with the number of targets that ever left.
func TestSignsAreBounded(t *testing.T) {
	inSignTable(t, func(t *testing.T, table *Table) {
		table.RecordLeaving("p", "t0", 1)
		for n := range 2 * maxSigns {
			time.Sleep(time.Millisecond)
			table.RecordLeaving("p", fmt.Sprint("gone", n), 1)
		}
		require.Len(t, table.signs.byTarget, maxSigns)
		require.True(t, table.Leaves("t0"), "it has an entry")
		require.True(t, table.Leaves(fmt.Sprint("gone", 2*maxSigns-1)))
		require.Equal(t, 1, table.CountAnnouncedLeaving())
	})
}

// TestUnknownStartKeepsSign guards against forgetting that a target leaves when another router that doesn't know the start
// of its process says so once more while the entry has lapsed.
func TestUnknownStartKeepsSign(t *testing.T) {
	inSignTable(t, func(t *testing.T, table *Table) {
		ready := Process{StartedAtMillis: 1}
		table.RecordLeaving("p", "t0", 1)
		setEntries(table, map[string]Process{"t1": ready})
		table.RecordLeaving("p", "t0", 0)
		setEntries(table, map[string]Process{"t0": ready, "t1": ready})
		require.True(t, table.Leaves("t0"))
	})
}
