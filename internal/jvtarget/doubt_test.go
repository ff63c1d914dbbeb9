package jvtarget

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// firstTargets returns the targets that get the next n requests, which go on.
func firstTargets(t *testing.T, table *Table, n int) []string {
	var names []string
	for i := range n {
		name, _ := take(t, table, fmt.Sprint("first", i))
		names = append(names, name)
	}
	return names
}

// TestDoubt checks that a target of which only another router says that it leaves is used last.
func TestDoubt(t *testing.T) {
	inSignTable(t, func(t *testing.T, table *Table) {
		require.True(t, table.RecordDoubt("t0", 1))
		require.Equal(t, []string{"t1", "t1", "t0", "t0", ""}, firstTargets(t, table, 5))
		require.Equal(t, 1, table.CountDoubted())
	})
}

// TestDoubtEmptiesNoPool guards against a router whose wrong messages take targets out of service: all targets are doubted,
// messages are repeated, or they are about other processes.
func TestDoubtEmptiesNoPool(t *testing.T) {
	inSignTable(t, func(t *testing.T, table *Table) {
		require.True(t, table.RecordDoubt("t0", 1))
		require.True(t, table.RecordDoubt("t1", 1))
		require.Len(t, acquireNow(table, Request{Pool: "p"}), 2)
	})
	inSignTable(t, func(t *testing.T, table *Table) {
		for range 100 {
			table.RecordDoubt("t0", 1)
			time.Sleep(doubtTime / 100)
		}
		require.False(t, table.RecordDoubt("t0", 1))
		require.False(t, table.Doubted("t0"))
	})
	inSignTable(t, func(t *testing.T, table *Table) {
		for _, born := range []int64{0, 2, -1} {
			require.False(t, table.RecordDoubt("t0", born))
		}
		require.False(t, table.RecordDoubt("t7", 1))
		require.Empty(t, table.signs.byTarget)
	})
}

// TestDoubtEnds checks that a target is used as before once it responds to this router without a word of leaving, and
// that its own word counts in place of the doubt.
func TestDoubtEnds(t *testing.T) {
	inSignTable(t, func(t *testing.T, table *Table) {
		sentBefore := table.timer.Now()
		time.Sleep(time.Millisecond)
		table.RecordDoubt("t0", 1)
		table.RecordResponse("p", "t0", sentBefore)
		require.True(t, table.Doubted("t0"), "the response may have begun before")
		time.Sleep(time.Millisecond)
		table.RecordResponse("p", "t0", table.timer.Now())
		require.False(t, table.Doubted("t0"))
		require.False(t, table.RecordDoubt("t0", 1))
	})
	inSignTable(t, func(t *testing.T, table *Table) {
		table.RecordDoubt("t0", 1)
		table.RecordLeaving("p", "t0", 1)
		require.False(t, table.Doubted("t0"))
		require.Equal(t, []string{"t1", "t1", ""}, firstTargets(t, table, 3))
	})
	inSignTable(t, func(t *testing.T, table *Table) {
		table.RecordDoubt("t0", 1)
		setEntries(table, map[string]Process{"t0": {StartedAtMillis: 2}, "t1": {StartedAtMillis: 1}})
		require.False(t, table.Doubted("t0"))
	})
}
