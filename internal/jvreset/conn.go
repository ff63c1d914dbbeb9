package jvreset

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

const (
	// sentWait is how long Abort waits until the caller's machine has what was written: the reset discards the rest.
	sentWait = 200 * time.Millisecond
	// sentPoll is the interval at which that is checked.
	sentPoll = 2 * time.Millisecond
)

// Conn is a caller's connection. The methods that net.Conn lacks do nothing on a nil Conn. It is safe for concurrent use.
type Conn struct {
	net.Conn
	raw   *net.TCPConn
	timer *jvtimer.Service

	mu sync.Mutex
	// resets is true while the close of the connection resets it.
	resets bool
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

// ResetUnlessEnded makes the end of the connection a reset until Ended is called, also if this process ends: its close
// would end the response that begins now.
func (c *Conn) ResetUnlessEnded() { c.setResets(true) }

// Ended lets the connection close after the end of a response.
func (c *Conn) Ended() { c.setResets(false) }

func (c *Conn) setResets(resets bool) {
	const discard, inBackground = 0, -1 // Seconds for which a close waits until what was written is sent.
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resets == resets {
		return
	}
	c.resets = resets
	linger := inBackground
	if resets {
		linger = discard
	}
	_ = c.raw.SetLinger(linger) // An error means that the connection is closed.
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

// Cut is Abort without the wait. It also applies to responses that begin later.
func (c *Conn) Cut() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
}

// unsent returns the number of bytes that were written and that the caller's machine has not acknowledged, or 0 if that
// can't be learned.
func (c *Conn) unsent() int {
	raw, err := c.raw.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { // An error means that the connection is closed.
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	return n
}
