package jvresponse

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection of a client on which a reset never looks like the end of a response. The system reports a reset
// once: if a write of a request's body gets the report, the next read finds the end of the connection. It is safe for
// concurrent use.
type Conn struct {
	net.Conn
	raw *net.TCPConn

	// writing is held for reading while a write is in progress.
	writing sync.RWMutex

	mu sync.Mutex
	// failure is the first error of a write that shows that the connection broke, or nil.
	failure error
}

// NewConn returns a Conn over a TCP connection, and any other connection as it is.
func NewConn(c net.Conn) net.Conn {
	raw, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return &Conn{Conn: c, raw: raw}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.RLock()
	defer c.writing.RUnlock()
	n, err := c.Conn.Write(p)
	if err != nil && isBroken(err) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.failure == nil {
			c.failure = err
		}
	}
	return n, err
}

// isBroken reports whether the error of a write is one that the connection has from its peer or the network. EPIPE shows that
// the peer had ended its side before: what it sent is whole.
func isBroken(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}

// Read implements net.Conn. At the end of the connection it returns the error of a write that broke it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) || !c.isClosed() {
		return n, err
	}
	c.writing.Lock()   // A write that has the report returns at once, since the connection is closed.
	c.writing.Unlock() //nolint:staticcheck // Only the wait matters.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return n, c.failure
	}
	return n, err
}

// isClosed reports whether the connection is closed in both directions. While only the peer has ended its side, a read's end is
// in order, whatever writes do.
func (c *Conn) isClosed() bool {
	raw, err := c.raw.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		if info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			closed = info.State == tcpClose
		}
	})
	return err != nil || closed
}

// tcpClose is the state TCP_CLOSE of Linux.
const tcpClose = 7
