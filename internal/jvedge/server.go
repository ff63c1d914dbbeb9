package jvedge

import (
	"crypto/tls"
	"net"
	"net/http"

	"golang.org/x/net/netutil"
)

// Server is the HTTP server of one port.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// NewServer returns a server on an open listener. A nil config means HTTP without TLS.
func NewServer(listener net.Listener, handler http.Handler, limits Limits, config *tls.Config) *Server {
	l := netutil.LimitListener(listener, limits.MaxConnections)
	if config != nil {
		l = tls.NewListener(l, config)
	}
	return &Server{
		listener: l,
		http: &http.Server{
			Handler:           handler,
			MaxHeaderBytes:    limits.MaxHeaderBytes,
			ReadHeaderTimeout: limits.ReadTimeout,
			IdleTimeout:       limits.IdleTimeout,
		},
	}
}

// Serve serves requests until the server is shut down or its listener fails; the error is never nil.
func (s *Server) Serve() error { return s.http.Serve(s.listener) }
