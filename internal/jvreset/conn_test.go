package jvreset

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// testTimeout limits a read that should end at once.
const testTimeout = 20 * time.Second

// newConnPair returns a connection and that of its caller.
func newConnPair(t *testing.T) (*Conn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	timer := jvtimer.NewService()
	t.Cleanup(timer.Close)
	raw, ok := accepted.(*net.TCPConn)
	require.True(t, ok)
	c := NewConn(accepted, raw, timer)
	t.Cleanup(func() {
		_ = c.Conn.Close()
		_ = caller.Close()
	})
	return c, caller
}

// discards returns whether the close of a connection discards what was written.
func (c *Conn) discards(t *testing.T) bool {
	raw, err := c.raw.SyscallConn()
	require.NoError(t, err)
	var l *unix.Linger
	require.NoError(t, raw.Control(func(fd uintptr) { l, err = unix.GetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER) }))
	require.NoError(t, err)
	return l.Onoff != 0
}

// TestConnCloses guards against a connection that resets after the end of a response, at the latest when the next one
// follows, and against one that does not reset before.
func TestConnCloses(t *testing.T) {
	for _, c := range []struct {
		name string
		use  func(c *Conn)
		want error
	}{
		{"unused", func(*Conn) {}, nil},
		{"begun", func(c *Conn) { c.ResetUnlessEnded() }, unix.ECONNRESET},
		{"ended", func(c *Conn) { c.ResetUnlessEnded(); c.Ended() }, nil},
		{"ended twice", func(c *Conn) { c.ResetUnlessEnded(); c.Ended(); c.Ended() }, nil},
		{"begun again", func(c *Conn) { c.ResetUnlessEnded(); c.Ended(); c.ResetUnlessEnded() }, unix.ECONNRESET},
		{"framed, then idle", func(c *Conn) { c.Ended(); c.Idle() }, nil},
		{"ended, then idle, then begun", func(c *Conn) { c.ResetUnlessEnded(); c.Ended(); c.Idle(); c.ResetUnlessEnded() }, unix.ECONNRESET},
	} {
		t.Run(c.name, func(t *testing.T) {
			served, caller := newConnPair(t)
			c.use(served)
			require.Equal(t, c.want != nil, served.discards(t))
			go func() { _ = served.Close() }()
			_ = caller.SetReadDeadline(time.Now().Add(testTimeout))
			_, err := caller.Read(make([]byte, 1))
			if c.want == nil {
				require.ErrorIs(t, err, io.EOF)
				return
			}
			require.ErrorIs(t, err, c.want)
		})
	}
}

// TestConnReadsRest guards against a reset after the end of a response when its caller has sent more than its request,
// or sends it after the end, and against a close that waits for callers without end.
func TestConnReadsRest(t *testing.T) {
	served, caller := newConnPair(t)
	served.ResetUnlessEnded()
	_, err := io.WriteString(served, "rest")
	require.NoError(t, err)
	_, err = io.WriteString(caller, "more")
	require.NoError(t, err)
	served.Ended()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = served.Close()
	}()
	got, err := io.ReadAll(caller)
	require.NoError(t, err)
	require.Equal(t, "rest", string(got))
	_, err = io.WriteString(caller, "later")
	require.NoError(t, err)
	<-closed // The caller has not closed its side.
}

// TestCutIsKept guards against a stop that waits for the callers of responses that end while it closes all connections.
func TestCutIsKept(t *testing.T) {
	served, caller := newConnPair(t)
	served.ResetUnlessEnded()
	served.Cut()
	served.Ended()
	require.Equal(t, closeAtOnce, served.takeClosing())
	require.NoError(t, served.Close())
	_, err := caller.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// TestAbortOfGoneCaller guards against waiting for a caller that has reset the connection to receive what was written.
func TestAbortOfGoneCaller(t *testing.T) {
	served, caller := newConnPair(t)
	served.ResetUnlessEnded()
	_ = served.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	_, _ = served.Write(make([]byte, 16<<20)) // More than the caller's machine takes.
	require.NotZero(t, served.unsent())
	raw, ok := caller.(*net.TCPConn)
	require.True(t, ok)
	require.NoError(t, raw.SetLinger(0))
	require.NoError(t, raw.Close())
	for served.unsent() > 0 { // Until the reset has arrived.
		time.Sleep(time.Millisecond)
	}
}
