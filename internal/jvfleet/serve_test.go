package jvfleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestServesEveryKindOfRequest guards against a kind of request that is not served although nothing
// fails: model requests, bookings and lookups, and copies of the first two at another router.
func TestServesEveryKindOfRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedFleet(t, nil)
		defer s.close()
		r := s.chat("a1", "k1", "hello")
		require.True(t, r.served(), "%+v", r)
		require.Empty(t, checkHello(r))
		r = s.chat("b1", "k1", "hello")
		require.True(t, r.served(), "%+v", r)
		r = s.book("a1", "k2", "tin")
		require.True(t, r.served(), "%+v", r)
		r = s.book("c2", "k2", "tin")
		require.True(t, r.served(), "%+v", r)
		require.Equal(t, 1, s.sim.Executions("k2"))
		r = s.lookUp("b2", "/stock/1")
		require.True(t, r.served(), "%+v", r)
		time.Sleep(5 * time.Second)
		require.Equal(t, int64(1), s.billedRequests())
		require.Empty(t, s.violation())
	})
}
