package jvedge

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"golang.org/x/net/netutil"

	"github.com/jasminevale/jasminevale/internal/jvreset"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Server is the HTTP server of one port.
type Server struct {
	http     *http.Server
	listener net.Listener
	timer    *jvtimer.Service
	// accepted is the connection accepted last. Only the goroutine of Serve uses it.
	accepted *jvreset.Conn

	mu   sync.Mutex
	open map[*jvreset.Conn]bool
}

// NewServer returns a server on an open listener. A nil config means HTTP without TLS.
func NewServer(listener net.Listener, handler http.Handler, limits Limits, config *tls.Config, timer *jvtimer.Service) *Server {
	s := &Server{timer: timer, open: map[*jvreset.Conn]bool{}}
	s.listener = netutil.LimitListener(serverListener{Listener: listener, server: s}, limits.MaxConnections)
	if config != nil {
		s.listener = tls.NewListener(s.listener, config)
	}
	s.http = &http.Server{
		Handler:           resetBroken(handler),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		// The listeners of limits and TLS hide the connection. The server calls this after each Accept.
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, s.accepted)
		},
	}
	return s
}

// Serve serves requests until the server is shut down or its listener fails; the error is never nil.
func (s *Server) Serve() error { return s.http.Serve(s.listener) }

// cut makes the close of each connection a reset that would end a response in progress.
func (s *Server) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Cut()
	}
}

// serverListener wraps the connections of a server.
type serverListener struct {
	net.Listener

	server *Server
}

// Accept implements net.Listener.
func (l serverListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	raw, ok := c.(*net.TCPConn)
	if err != nil || !ok {
		l.server.accepted = nil
		return c, err
	}
	reset := jvreset.NewConn(c, raw, l.server.timer)
	l.server.accepted = reset
	l.server.mu.Lock()
	l.server.open[reset] = true
	l.server.mu.Unlock()
	return &serverConn{Conn: reset, server: l.server}, nil
}

// serverConn is an open connection of a server.
type serverConn struct {
	*jvreset.Conn

	server *Server
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.open, c.Conn)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection of a request, or nil.
func connOf(ctx context.Context) *jvreset.Conn {
	c, _ := ctx.Value(connKey{}).(*jvreset.Conn)
	return c
}

// resetBroken makes the connection of a response that a handler breaks off end in a reset if its close would end the
// response.
func resetBroken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ended := connOf(r.Context()), false
		defer func() {
			if !ended {
				c.Abort()
			}
		}()
		next.ServeHTTP(w, r)
		ended = true
		c.Ended()
	})
}
