package jvprocess

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// TestConnectionsShowOneProcess checks since when connections show that a server is the same process.
func TestConnectionsShowOneProcess(t *testing.T) {
	const pause = 5 * clockTick
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	timer := jvtimer.NewService()
	t.Cleanup(timer.Close)
	all := NewConnections(timer)
	open := func() (*Connection, func(), func()) {
		client, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		server, err := listener.Accept()
		require.NoError(t, err)
		c := all.Opened("a", client)
		time.Sleep(pause)
		receive := func() {
			_, _ = server.Write([]byte{1})
			_, err := client.Read(make([]byte, 1))
			require.NoError(t, err)
			time.Sleep(pause)
		}
		end := func() {
			c.Close()
			c.Close()
			_ = client.Close()
			_ = server.Close()
		}
		t.Cleanup(end)
		return c, receive, end
	}
	first, firstReceive, firstEnd := open()
	require.Equal(t, first.openedAt, first.Since())
	second, secondReceive, secondEnd := open()
	require.Equal(t, second.openedAt, second.Since(), "the first one has received nothing since")
	firstReceive()
	require.Equal(t, first.openedAt, second.Since())
	firstEnd()
	require.Equal(t, first.openedAt, second.Since())
	third, _, _ := open()
	require.Equal(t, third.openedAt, third.Since())
	secondReceive()
	require.Equal(t, first.openedAt, third.Since(), "by way of the second one")
	secondEnd()
	require.Equal(t, first.openedAt, third.Since())
	fourth, _, _ := open()
	require.Equal(t, fourth.openedAt, fourth.Since())
}
