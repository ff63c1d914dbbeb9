package jvgrant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPace: the calls of all routers together stay about the same, and none is heard of so
// seldom that it counts as gone.
func TestPace(t *testing.T) {
	const small = 12
	read := DefaultOptions().ReadInterval
	for _, c := range []struct {
		routers        int
		round          time.Duration
		read, pressing time.Duration
		rest           time.Duration
	}{
		{routers: 1, round: 200 * time.Millisecond, read: read, pressing: pressingRead},
		{routers: small, round: 200 * time.Millisecond, read: read, pressing: pressingRead},
		{routers: 60, round: time.Second, read: 2500 * time.Millisecond, pressing: 1250 * time.Millisecond, rest: 96 * time.Millisecond},
		{routers: 330, round: 5500 * time.Millisecond, read: mostRead, pressing: mostRead / 2, rest: 636 * time.Millisecond},
	} {
		p := pace{routers: c.routers, small: small}
		require.Equal(t, c.round, p.stretch(200*time.Millisecond), c.routers)
		require.Equal(t, c.read, p.read(read, false), c.routers)
		require.Equal(t, c.pressing, p.read(read, true), c.routers)
		require.Equal(t, c.rest, p.rest(0), c.routers)
		require.LessOrEqual(t, 2*p.read(read, false), liveFor, "a router counts as gone after two reads without it")
	}
	p := pace{routers: small, small: small}
	require.Equal(t, 2*leastPause, p.rest(1))
	require.Equal(t, mostPause, p.rest(9))
}
