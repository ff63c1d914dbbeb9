package jvforward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvmemory"
	"github.com/jasminevale/jasminevale/internal/jvrelay"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// TestForwardWithoutMemory guards against an attempt that counts as one that may have run although the other router had no
// memory for its body and sent it to no target, and against memory that is not returned.
func TestForwardWithoutMemory(t *testing.T) {
	timer := jvtimer.NewService()
	defer timer.Close()
	forever := func() time.Duration { return time.Hour }
	account := jvmemory.NewAccount(jvmemory.AccountOptions{
		Bytes: 4 << 20, Timer: timer, IdleTime: forever, ShortTime: forever, Crowded: func() bool { return false },
	})
	served := 0
	server := httptest.NewServer(NewServer(ServerOptions{
		Name: "b", Signer: signerFake{"word"}, MaxBodyBytes: func() int64 { return 8 << 20 }, Now: time.Now, Logger: logr.Discard(), Account: account,
		Serve: func(context.Context, jvrelay.Dispatch, string) (*jvrelay.Response, error) {
			served++
			return nil, jvfault.Newf("serve", jvrelay.KindRefused, "x")
		},
	}))
	defer server.Close()
	for _, c := range []struct {
		size int
		want jvrelay.Kind
	}{
		{6 << 20, jvrelay.KindUnsent},
		{1 << 20, jvrelay.KindRefused},
	} {
		client := &Client{Name: "a", Signer: signerFake{"word"}, NewNonce: func() string { return string(c.want) }, Pooled: http.DefaultTransport, Unpooled: http.DefaultTransport}
		d := newDispatch()
		d.Timeout = time.Minute
		d.Request.Body = make([]byte, c.size)
		_, err := client.Forward(t.Context(), jvmember.Member{Name: "b", Address: server.Listener.Addr().String()}, d)
		require.Equal(t, c.want, jvfault.KindOf[jvrelay.Kind](err), "%v", err)
	}
	require.Equal(t, 1, served)
	require.Eventually(t, func() bool { return account.View().Requests == 0 }, time.Minute, time.Millisecond)
}
