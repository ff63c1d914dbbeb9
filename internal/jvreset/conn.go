package jvreset

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

const (
	// sentWait is how long Abort waits until the caller's machine has what was written: the reset discards the rest.
	sentWait = 200 * time.Millisecond
	// sentPoll is the interval at which that is checked.
	sentPoll = 2 * time.Millisecond
	// readTime is how long a close reads what the caller sends, and waits for the close of its side.
	readTime = 500 * time.Millisecond
)

// Values of SO_LINGER: the seconds for which a close waits until what was written is sent.
const (
	lingerDiscard    = 0
	lingerBackground = -1
)

// closing is how a connection closes.
type closing int

const (
	// closeAtOnce is the close outside of responses, and that of one which is broken.
	closeAtOnce closing = iota
	// closeRead reads first what the caller has sent, if there is anything, after a response whose framing shows its end.
	closeRead
	// closeWait waits for the close of the caller's side, after a response that the close ends.
	closeWait
)

// Conn is a caller's connection. The methods that net.Conn lacks do nothing on a nil Conn. It is safe for concurrent use.
type Conn struct {
	net.Conn
	raw   *net.TCPConn
	timer *jvtimer.Service

	mu sync.Mutex
	// resets is true while the close of the connection resets it.
	resets bool
	// close is how the connection closes, if the next request does not come first.
	close closing
	// cut is true once the connection only waits for its close.
	cut bool
}

// NewConn returns a connection over raw. What is read and written may pass through another net.Conn over raw.
func NewConn(c net.Conn, raw *net.TCPConn, timer *jvtimer.Service) *Conn {
	return &Conn{Conn: c, raw: raw, timer: timer}
}

// Write implements net.Conn. It fails once the connection is cut, so that TLS does not announce the close that resets
// the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	cut := c.cut && c.resets
	c.mu.Unlock()
	if cut {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A caller may have sent more than its request. Bytes that are not read when a connection
// closes, or that arrive later, reset it, so that the end of the response before looks like a broken one.
func (c *Conn) Close() error {
	if how := c.takeClosing(); how == closeWait || how == closeRead && c.HasUnread() {
		_ = c.raw.CloseWrite() // An error means that the connection is closed, as it does below.
		_ = c.raw.SetReadDeadline(c.timer.Now().Add(readTime))
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	return c.Conn.Close()
}

// takeClosing returns how the connection closes now. A further close waits for nothing.
func (c *Conn) takeClosing() closing {
	c.mu.Lock()
	defer c.mu.Unlock()
	how := c.close
	c.close = closeAtOnce
	if c.cut {
		return closeAtOnce
	}
	return how
}

// CloseUnused closes the connection without a wait.
func (c *Conn) CloseUnused() error { return c.Conn.Close() }

// CloseWrite ends what the caller can read. net/http calls it before it closes a connection with an unread body.
func (c *Conn) CloseWrite() error { return c.raw.CloseWrite() }

// ResetUnlessEnded makes the end of the connection a reset until Ended is called, also if this process ends: its close
// would end the response that begins now.
func (c *Conn) ResetUnlessEnded() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = true
	c.close = closeAtOnce
	_ = c.raw.SetLinger(lingerDiscard) // An error means that the connection is closed.
}

// Ended lets the connection close after the end of a response.
func (c *Conn) Ended() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close = closeRead
	if c.resets {
		c.resets = false
		c.close = closeWait
		_ = c.raw.SetLinger(lingerBackground) // An error means that the connection is closed.
	}
}

// Idle lets the connection close without a wait: the response before has ended by its framing, and the connection waits
// for the next request.
func (c *Conn) Idle() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close = closeAtOnce
}

// Abort prepares the close of a connection whose response broke off. If the close would end the response, Abort waits
// until what was written has arrived, for a time at most, and no more can be written.
func (c *Conn) Abort() {
	if c == nil {
		return
	}
	c.mu.Lock()
	resets := c.resets
	c.mu.Unlock()
	for end := c.timer.Now().Add(sentWait); resets && c.unsent() > 0 && c.timer.Now().Before(end); {
		<-c.timer.After(sentPoll)
	}
	c.Cut()
}

// Cut is Abort without the wait. It also applies to responses that begin or end later.
func (c *Conn) Cut() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
}

// Left reports whether the caller has closed its side of the connection and nothing is left to read.
func (c *Conn) Left() bool {
	if c == nil {
		return false
	}
	left := false
	c.control(func(fd int) {
		var first [1]byte
		n, _, err := syscall.Recvfrom(fd, first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
	})
	return left
}

// HasUnread reports whether bytes have arrived that have not been read.
func (c *Conn) HasUnread() bool {
	n := 0
	c.control(func(fd int) {
		var first [1]byte
		n, _, _ = syscall.Recvfrom(fd, first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// unsent returns the number of bytes that were written and that the caller's machine has not acknowledged, or 0 if that
// can't be learned, or if the caller has reset the connection.
func (c *Conn) unsent() int {
	n := 0
	c.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.State == unix.BPF_TCP_CLOSE {
			return
		}
		if queued, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	return n
}

// control calls use with the descriptor of the connection, unless that is closed.
func (c *Conn) control(use func(fd int)) {
	raw, err := c.raw.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { use(int(fd)) })
}
