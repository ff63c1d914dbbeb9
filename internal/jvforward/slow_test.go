package jvforward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvrelay"
)

// TestSlowBody guards against an authenticated attempt that is dropped since its body takes longer than the time that
// a stranger has for a head.
func TestSlowBody(t *testing.T) {
	f := newFixture(t)
	served := make(chan string, 1)
	f.serve = func(_ context.Context, d jvrelay.Dispatch, _ string) (*jvrelay.Response, error) {
		served <- string(d.Request.Body)
		return &jvrelay.Response{Status: 200, Body: io.NopCloser(strings.NewReader("answer")), End: jvend.Proven}, nil
	}
	d := newDispatch()
	d.Timeout = time.Minute
	f.client.Unpooled = &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &slowConn{Conn: c}, err
	}}
	d.NewConnection = true
	r, err := f.client.Forward(t.Context(), f.to, d)
	require.NoError(t, err)
	defer func() { _ = r.Body.Close() }()
	require.Equal(t, "body", <-served)
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.Equal(t, "answer", string(body))
}

// slowConn pauses before the last bytes of a body.
type slowConn struct{ net.Conn }

// Write implements net.Conn.
func (c *slowConn) Write(p []byte) (int, error) {
	text := string(p)
	if !strings.HasSuffix(text, "body") {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:len(p)-1])
	if err != nil {
		return n, err
	}
	time.Sleep(headTimeout + headTimeout/4)
	last, err := c.Conn.Write(p[len(p)-1:])
	return n + last, err
}
