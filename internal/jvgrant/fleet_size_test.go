package jvgrant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestIntervalsByFleetSize guards against a load on the store that grows with the number of routers,
// and against reads so rare that a running router no longer counts as live.
func TestIntervalsByFleetSize(t *testing.T) {
	const small = 12
	read := DefaultOptions().ReadInterval
	for _, c := range []struct {
		routers      int
		round        time.Duration
		read, urgent time.Duration
		roundDelay   time.Duration
	}{
		{routers: 1, round: 200 * time.Millisecond, read: read, urgent: urgentReadInterval},
		{routers: small, round: 200 * time.Millisecond, read: read, urgent: urgentReadInterval},
		{routers: 60, round: time.Second, read: 2500 * time.Millisecond, urgent: 1250 * time.Millisecond, roundDelay: 96 * time.Millisecond},
		{routers: 330, round: 5500 * time.Millisecond, read: maxReadInterval, urgent: maxReadInterval / 2, roundDelay: 636 * time.Millisecond},
	} {
		f := fleetSize{routers: c.routers, small: small}
		require.Equal(t, c.round, f.scale(200*time.Millisecond), c.routers)
		require.Equal(t, c.read, f.readInterval(read, false), c.routers)
		require.Equal(t, c.urgent, f.readInterval(read, true), c.routers)
		require.Equal(t, c.roundDelay, f.roundDelay(0), c.routers)
		require.LessOrEqual(t, 2*f.readInterval(read, false), livenessTimeout, "a router's statements are read at least twice before it no longer counts as live")
	}
	f := fleetSize{routers: small, small: small}
	require.Equal(t, 2*minIdleDelay, f.roundDelay(1))
	require.Equal(t, maxIdleDelay, f.roundDelay(9))
}
