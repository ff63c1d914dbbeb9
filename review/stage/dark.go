package main

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// switchedConn is a server's connection whose process can be dark: then it sends and reads nothing.
type switchedConn struct {
	*net.TCPConn
	target *target
}

// Read implements net.Conn.
func (c switchedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.target.waitLight(c.TCPConn)
	return n, err
}

// Write implements net.Conn.
func (c switchedConn) Write(b []byte) (int, error) {
	c.target.waitLight(c.TCPConn)
	return c.TCPConn.Write(b)
}

// switchedListener accepts connections of a target.
type switchedListener struct {
	*net.TCPListener
	target *target
}

// Accept implements net.Listener.
func (l switchedListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.target.waitLight(c)
	l.target.connsMu.Lock()
	l.target.conns[c] = true
	l.target.connsMu.Unlock()
	return switchedConn{c, l.target}, nil
}

// lights holds what is dark.
type lights struct {
	connsMu sync.Mutex
	conns   map[*net.TCPConn]bool
	// out is closed when the darkness ends, or nil if there is none.
	out chan struct{}
}

// waitLight waits for the end of a darkness.
func (t *target) waitLight(*net.TCPConn) {
	t.connsMu.Lock()
	out := t.out
	t.connsMu.Unlock()
	if out != nil {
		<-out
	}
}

// dark makes the server's machine silent: nothing is sent on its connections, and connects get no response. After a time
// a new process serves under its id at its address, with a version of its software, and the old connections are reset.
func (t *target) dark(d time.Duration, version string) error {
	t.mu.Lock()
	l, server := t.listener, t.http
	t.mu.Unlock()
	t.connsMu.Lock()
	t.out = make(chan struct{})
	t.connsMu.Unlock()
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	// A short queue that is full: further connects wait, as for a machine that does not respond.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	var fill []net.Conn
	for range 3 {
		if c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond); err == nil {
			fill = append(fill, c)
		}
	}
	t.record("server %s is dark", t.id)
	time.Sleep(d)
	address := l.Addr().String()
	t.connsMu.Lock()
	for c := range t.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	t.conns = map[*net.TCPConn]bool{}
	close(t.out)
	t.out = nil
	t.connsMu.Unlock()
	_ = server.Close()
	for _, c := range fill {
		_ = c.Close()
	}
	again, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.version = version
	t.mu.Unlock()
	t.serve(again)
	t.record("server %s serves again, version %s", t.id, version)
	return nil
}

// newHTTP returns the HTTP server of a target's process.
func (t *target) newHTTP() *http.Server { return &http.Server{Handler: t} }
