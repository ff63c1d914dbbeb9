package jvpeer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"sync/atomic"

	"github.com/coder/websocket"
	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
)

// maxConcurrentRequests bounds the requests of one link that are handled at once.
const maxConcurrentRequests = 256

// Server serves peers that authenticate with the fleet's secret.
type Server struct {
	secret  [sha256.Size]byte
	handler Handler
	logger  logr.Logger
	bytes   atomic.Int64
}

// NewServer returns a server that passes requests to a handler.
func NewServer(secret string, handler Handler, logger logr.Logger) *Server {
	return &Server{secret: sha256.Sum256([]byte("Bearer " + secret)), handler: handler, logger: logger}
}

// Bytes returns the bytes sent and received by the server.
func (s *Server) Bytes() int64 { return s.bytes.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	given := sha256.Sum256([]byte(r.Header.Get("Authorization")))
	if subtle.ConstantTimeCompare(given[:], s.secret[:]) != 1 {
		http.Error(w, "the fleet's secret is wrong or missing", http.StatusUnauthorized)
		return
	}
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	socket.SetReadLimit(maxMessageBytes)
	s.serve(r.Context(), socket)
}

func (s *Server) serve(ctx context.Context, socket *websocket.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = socket.CloseNow() }()
	running := make(chan struct{}, maxConcurrentRequests)
	for {
		_, data, err := socket.Read(ctx)
		if err != nil {
			return
		}
		s.bytes.Add(int64(len(data)))
		e, err := jvcodec.Decode[envelope](data)
		if err != nil || e.Request == nil {
			s.logger.Info("peer sent a malformed message")
			return
		}
		running <- struct{}{}
		go func() {
			defer func() { <-running }()
			response := s.handler(ctx, *e.Request)
			encoded := jvcodec.Encode(&envelope{ID: e.ID, Response: &response})
			s.bytes.Add(int64(len(encoded)))
			_ = socket.Write(ctx, websocket.MessageBinary, encoded)
		}()
	}
}
