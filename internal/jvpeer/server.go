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

// maxAsks bounds the asks of one peer that are worked on at once.
const maxAsks = 256

// Server answers peers that show the fleet's secret.
type Server struct {
	secret  [sha256.Size]byte
	handler Handler
	logger  logr.Logger
	bytes   atomic.Int64
}

// NewServer returns a server that passes asks to a handler.
func NewServer(secret string, handler Handler, logger logr.Logger) *Server {
	return &Server{secret: sha256.Sum256([]byte("Bearer " + secret)), handler: handler, logger: logger}
}

// Bytes returns the bytes sent and received by the server.
func (s *Server) Bytes() int64 { return s.bytes.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	shown := sha256.Sum256([]byte(r.Header.Get("Authorization")))
	if subtle.ConstantTimeCompare(shown[:], s.secret[:]) != 1 {
		http.Error(w, "the fleet's secret is wrong or missing", http.StatusUnauthorized)
		return
	}
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	socket.SetReadLimit(maxMessage)
	s.serve(r.Context(), socket)
}

func (s *Server) serve(ctx context.Context, socket *websocket.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = socket.CloseNow() }()
	slots := make(chan struct{}, maxAsks)
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
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			answer := s.handler(ctx, *e.Request)
			reply := jvcodec.Encode(&envelope{ID: e.ID, Response: &answer})
			s.bytes.Add(int64(len(reply)))
			_ = socket.Write(ctx, websocket.MessageBinary, reply)
		}()
	}
}
