package jvgrant

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestElapsed: while fewer than half of the other routers' clocks are wrong, the time that
// they give is never too short.
func TestElapsed(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		others := rapid.IntRange(leastClocks, 9).Draw(r, "others")
		wrong := rapid.IntRange(0, (others-1)/2).Draw(r, "wrong")
		start := time.Unix(1_000_000, 0)
		stamp := rapid.IntRange(3000, 4000).Draw(r, "stamp")
		born := stamp + rapid.IntRange(0, 3000).Draw(r, "down")
		var list []sighting
		add := func(o, offset, at, step int) {
			clock := start.Add(time.Duration(at) * time.Millisecond)
			if o < wrong {
				clock = clock.Add(time.Duration(step) * time.Millisecond)
			}
			list = append(list, sighting{origin: fmt.Sprint("r", o), offset: uint64(offset), seen: uint64(offset), clock: clock})
		}
		step := rapid.IntRange(-5000, 5000)
		for o := range others {
			add(o, o, rapid.IntRange(0, stamp).Draw(r, "before"), step.Draw(r, "step"))
			add(o, 200+o, born+rapid.IntRange(0, 2000).Draw(r, "after"), step.Draw(r, "step"))
		}
		got, ok := elapsed(list, "own", 100, 150)
		require.True(r, ok)
		require.GreaterOrEqual(r, got, time.Duration(born-stamp)*time.Millisecond)
	})
}

// TestElapsedNeedsWitnesses: too few other routers prove nothing.
func TestElapsedNeedsWitnesses(t *testing.T) {
	at := time.Unix(1, 0)
	list := []sighting{{"a", 1, 0, at}, {"b", 2, 1, at}, {"a", 9, 8, at}, {"b", 10, 9, at}}
	_, ok := elapsed(list, "own", 5, 6)
	require.False(t, ok)
	list = append(list, sighting{"c", 3, 2, at})
	_, ok = elapsed(list, "own", 5, 6)
	require.True(t, ok, "two of three wrote after the start, and one may be wrong")
	_, ok = elapsed(list, "own", 5, 9)
	require.False(t, ok, "only one of three wrote after the start")
}
