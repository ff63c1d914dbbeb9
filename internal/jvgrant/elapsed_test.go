package jvgrant

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestElapsed guards against an elapsed time that is too short while fewer than half of the other
// routers' clocks are wrong.
func TestElapsed(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		others := rapid.IntRange(minPeerClocks, 9).Draw(r, "others")
		wrong := rapid.IntRange(0, (others-1)/2).Draw(r, "wrong")
		start := time.Unix(1_000_000, 0)
		created := rapid.IntRange(3000, 4000).Draw(r, "stamp")
		restarted := created + rapid.IntRange(0, 3000).Draw(r, "down")
		var list []clockObservation
		add := func(o, offset, at, step int) {
			clock := start.Add(time.Duration(at) * time.Millisecond)
			if o < wrong {
				clock = clock.Add(time.Duration(step) * time.Millisecond)
			}
			list = append(list, clockObservation{router: fmt.Sprint("r", o), offset: uint64(offset), readOffset: uint64(offset), clock: clock})
		}
		step := rapid.IntRange(-5000, 5000)
		for o := range others {
			add(o, o, rapid.IntRange(0, created).Draw(r, "before"), step.Draw(r, "step"))
			add(o, 200+o, restarted+rapid.IntRange(0, 2000).Draw(r, "after"), step.Draw(r, "step"))
		}
		got, ok := elapsed(list, "own", 100, 150)
		require.True(r, ok)
		require.GreaterOrEqual(r, got, time.Duration(restarted-created)*time.Millisecond)
	})
}

// TestElapsedNeedsEnoughClocks guards against an elapsed time from the clocks of too few routers.
func TestElapsedNeedsEnoughClocks(t *testing.T) {
	at := time.Unix(1, 0)
	list := []clockObservation{{"a", 1, 0, at}, {"b", 2, 1, at}, {"a", 9, 8, at}, {"b", 10, 9, at}}
	_, ok := elapsed(list, "own", 5, 6)
	require.False(t, ok)
	list = append(list, clockObservation{"c", 3, 2, at})
	_, ok = elapsed(list, "own", 5, 6)
	require.True(t, ok, "two of three published after the start, and one clock may be wrong")
	_, ok = elapsed(list, "own", 5, 9)
	require.False(t, ok, "only one of three published after the start")
}
