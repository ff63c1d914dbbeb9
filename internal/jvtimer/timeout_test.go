package jvtimer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTimeoutWaitsForTurn guards against a timeout that ends a call although its response waits in the socket, since the
// process was paused: it ends only once the process has handled what was ready.
func TestTimeoutWaitsForTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewService()
		var turns []func()
		s.Turns(func(done func()) { turns = append(turns, done) })
		ctx, cancel := s.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.Sleep(time.Second)
		synctest.Wait()
		for range 2 {
			require.NoError(t, ctx.Err())
			require.Len(t, turns, 1)
			next := turns[0]
			turns = nil
			next()
		}
		require.Error(t, ctx.Err())
		require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
	})
}

// TestTimeout checks the timeout of a process without a measurement, and that of a context whose parent ends.
func TestTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewService()
		ctx, cancel := s.WithTimeout(t.Context(), time.Second)
		time.Sleep(999 * time.Millisecond)
		require.NoError(t, ctx.Err())
		time.Sleep(time.Millisecond)
		synctest.Wait()
		require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
		cancel()
		parent, end := context.WithCancel(t.Context())
		ctx, cancel = s.WithTimeout(parent, time.Second)
		defer cancel()
		end()
		require.ErrorIs(t, context.Cause(ctx), context.Canceled)
	})
}
