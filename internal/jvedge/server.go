package jvedge

import (
	"crypto/tls"
	"net"
	"net/http"

	"golang.org/x/net/netutil"
)

// Server is one port.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// NewServer returns a server on an open listener; config may be nil for plain HTTP.
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

// Serve answers requests until Close.
func (s *Server) Serve() error { return s.http.Serve(s.listener) }

// HTTP returns the server for its graceful shutdown.
func (s *Server) HTTP() *http.Server { return s.http }
