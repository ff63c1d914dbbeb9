package jvfleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSceneServes: each kind of request is served through real routers on fakes.
func TestSceneServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, nil)
		defer s.close()
		d := s.chat("a1", "k1", "hello")
		require.True(t, d.served(), "%+v", d)
		require.Empty(t, whole(d))
		d = s.chat("b1", "k1", "hello")
		require.True(t, d.served(), "%+v", d)
		d = s.book("a1", "k2", "tin")
		require.True(t, d.served(), "%+v", d)
		d = s.book("c2", "k2", "tin")
		require.True(t, d.served(), "%+v", d)
		require.Equal(t, 1, s.world.Executions("k2"))
		d = s.lookUp("b2", "/stock/1")
		require.True(t, d.served(), "%+v", d)
		time.Sleep(5 * time.Second)
		require.Equal(t, int64(1), s.billed())
		require.Empty(t, s.fault())
	})
}
