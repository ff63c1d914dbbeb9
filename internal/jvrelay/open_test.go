package jvrelay

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"
)

// TestOpenRequests guards against a stop whose log doesn't show which requests it broke off: those that are
// open at the end of the drain have a line each, and those that ended are counted.
func TestOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines []string
		s := newFixtureWith(t, func(o *Options) {
			o.Logger = funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
		}, script{status: 200, body: "id: 1\ndata: x\n\n", hang: true}, script{status: 200, body: "id: 1\ndata: x\n\n"})
		ctx, leave := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.serve(ctx, t, "stream", nil)
		}()
		time.Sleep(300 * time.Millisecond)
		s.relay.Stop(time.Now(), PlanStop(8*time.Second))
		time.Sleep(100 * time.Millisecond)
		lines = nil
		s.relay.EndDrain()
		require.Len(t, lines, 1)
		for _, want := range []string{`"msg"="request open at the end of the drain"`, `"route"="stream"`, `"phase"="streaming" "events"=1 "age"=400 "after"=-300`} {
			require.Contains(t, lines[0], want)
		}
		require.Equal(t, StopCounts{Open: 1}, s.relay.StopCounts())
		leave()
		<-done
		s.serve(t.Context(), t, "stream", nil)
		require.Equal(t, StopCounts{Taken: 1, Cut: 1, Whole: 1}, s.relay.StopCounts())
		s.relay.RegisterGauges()
		var metrics bytes.Buffer
		s.relay.Meter().Write(&metrics)
		require.Contains(t, metrics.String(), `jv_relay_stop_requests{result="cut"} 1`)
	})
}
