package jvedge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// TestShutdownEndsWithItsTime guards against a stop that waits for a response beyond the time that is left before
// the process is killed, and for one port after another.
func TestShutdownEndsWithItsTime(t *testing.T) {
	begun, release := make(chan struct{}, 2), make(chan struct{})
	defer close(release)
	timer := jvtimer.NewService()
	defer timer.Close()
	var servers []*Server
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		s := NewServer(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			begun <- struct{}{}
			<-release
		}), DefaultLimits(), nil, timer)
		go func() { _ = s.Serve() }()
		servers = append(servers, s)
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		<-begun
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	Shutdown(ctx, servers)
}

// TestAnnounceClose checks that responses end their connections once the router stops, and not before.
func TestAnnounceClose(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	stopping := false
	timer := jvtimer.NewService()
	defer timer.Close()
	s := NewServer(l, AnnounceClose(func() bool { return stopping }, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "answer")
	})), DefaultLimits(), nil, timer)
	go func() { _ = s.Serve() }()
	defer Shutdown(t.Context(), []*Server{s})
	for _, stopping = range []bool{false, true} {
		response, err := http.Get("http://" + l.Addr().String())
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, "answer", string(body))
		require.Equal(t, stopping, response.Close)
	}
}
