package jvforward

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvmemory"
	"github.com/jasminevale/jasminevale/internal/jvrelay"
)

const (
	// maxNonces is the number of received messages that are remembered, so that none of them counts twice.
	maxNonces = 1 << 12
	// headTimeout bounds how long a connection may take to send a head, before it is authenticated. The body of an
	// authenticated attempt has the attempt's time.
	headTimeout = 2 * time.Second
	// copyBytes is the size of the buffer through which a body passes.
	copyBytes = 4 << 10
	// opReceive is the operation of errors in attempts of other routers.
	opReceive = "receive attempt"
)

// Server makes the attempts of other routers. It implements http.Handler.
type Server struct {
	name         string
	signer       Signer
	maxBodyBytes func() int64
	account      *jvmemory.Account
	serve        func(ctx context.Context, d jvrelay.Dispatch, from string) (*jvrelay.Response, error)
	now          func() time.Time
	logger       logr.Logger
	// nonces are those of the latest messages.
	nonces *lru.Cache[string, struct{}]
}

// ServerOptions configure a Server.
type ServerOptions struct {
	// Name is this router's name.
	Name   string
	Signer Signer
	// MaxBodyBytes returns the limit of callers' bodies.
	MaxBodyBytes func() int64
	// Account limits the memory of bodies, or is nil.
	Account *jvmemory.Account
	// Serve makes an attempt for another router.
	Serve func(ctx context.Context, d jvrelay.Dispatch, from string) (*jvrelay.Response, error)
	// Now returns the current time.
	Now    func() time.Time
	Logger logr.Logger
}

// NewServer returns a server.
func NewServer(o ServerOptions) *Server {
	nonces, err := lru.New[string, struct{}](maxNonces)
	if err != nil {
		panic(err) // maxNonces is positive.
	}
	return &Server{name: o.Name, signer: o.Signer, maxBodyBytes: o.MaxBodyBytes, account: o.Account, serve: o.Serve, now: o.Now, logger: o.Logger, nonces: nonces}
}

// ServeHTTP implements http.Handler. What is not a message of this fleet gets no response.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(s.now().Add(headTimeout)) // If deadlines aren't supported, a stranger keeps its connection longer.
	head, err := s.receiveHead(r)
	var body []byte
	var lease *jvmemory.Lease
	if err == nil {
		_ = control.SetReadDeadline(s.now().Add(max(head.Timeout, headTimeout)))
		body, lease, err = s.receiveBody(r, head, control)
		defer lease.Close()
	}
	if errors.Is(err, jvmemory.ErrFull) || errors.Is(err, jvmemory.ErrStalled) {
		s.logger.Info("attempt of another router refused", "from", head.From, "cause", err.Error())
		_ = control.SetReadDeadline(s.now())
		w.Header().Set("Connection", "close")
		_, _ = w.Write(encodeHead(responseHead{For: head.Nonce, Kind: string(jvrelay.KindUnsent), Cause: err.Error()})) // A write error means that the other router has left.
		return
	}
	if err != nil {
		s.logger.Info("message of another router dropped", "from", r.RemoteAddr, "cause", err.Error())
		panic(http.ErrAbortHandler)
	}
	_ = control.SetReadDeadline(time.Time{})
	response, err := s.serve(r.Context(), head.dispatch(body), head.From)
	if err != nil {
		kind := jvfault.KindOf[jvrelay.Kind](err)
		if kind == "" {
			kind = jvrelay.KindBroken
		}
		_, _ = w.Write(encodeHead(responseHead{For: head.Nonce, Kind: string(kind), Cause: err.Error()})) // A write error means that the other router has left.
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := w.Write(encodeHead(newResponseHead(head.Nonce, response))); err != nil {
		return
	}
	if !copyBody(w, control, response.Body) {
		panic(http.ErrAbortHandler) // The other router must not take the body for complete.
	}
}

// receiveHead reads and authenticates the head of an attempt.
func (s *Server) receiveHead(r *http.Request) (head attemptHead, err error) {
	if r.Method != http.MethodPost || r.URL.Path != path {
		return head, jvfault.Newf(opReceive, KindForged, "%s %s", r.Method, r.URL.Path)
	}
	data, err := readHead(r.Body)
	if err != nil {
		return head, err
	}
	if !s.signer.Verify(data, r.Header.Get(tagHeader)) {
		return head, jvfault.Newf(opReceive, KindForged, "the tag is wrong")
	}
	if head, err = jvcodec.Decode[attemptHead](data); err != nil {
		return head, jvfault.New(opReceive, KindMalformed, err)
	}
	if err := head.check(); err != nil {
		return head, err
	}
	if seen, _ := s.nonces.ContainsOrAdd(head.From+" "+head.Nonce, struct{}{}); seen || head.To != s.name {
		return head, jvfault.Newf(opReceive, KindForged, "the message is for %q, or was received before", head.To)
	}
	return head, nil
}

// receiveBody reads the body of an attempt and checks that it is the head's. The lease holds its memory.
func (s *Server) receiveBody(r *http.Request, head attemptHead, control *http.ResponseController) ([]byte, *jvmemory.Lease, error) {
	lease, err := s.account.Open(jvmemory.Holder{Address: head.From, Workspace: head.Workspace}, func() {
		_ = control.SetReadDeadline(s.now()) // The attempt's time is the limit if deadlines aren't supported.
	})
	if err != nil {
		return nil, nil, err
	}
	body, err := s.readBody(r, head, lease)
	if err != nil {
		lease.Close()
		return nil, nil, err
	}
	return body, lease, nil
}

func (s *Server) readBody(r *http.Request, head attemptHead, lease *jvmemory.Lease) ([]byte, error) {
	body, err := lease.ReadAll(io.LimitReader(r.Body, s.maxBodyBytes()+1), -1)
	if errors.Is(err, jvmemory.ErrFull) || errors.Is(err, jvmemory.ErrStalled) {
		return nil, err
	}
	if err != nil {
		return nil, jvfault.New(opReceive, KindMalformed, err)
	}
	if int64(len(body)) > s.maxBodyBytes() {
		return nil, jvfault.Newf(opReceive, KindMalformed, "a body of over %d bytes", s.maxBodyBytes())
	}
	if hash := sha256.Sum256(body); !bytes.Equal(hash[:], head.BodyHash) {
		return nil, jvfault.Newf(opReceive, KindForged, "the body is another one")
	}
	return body, nil
}

// copyBody passes a body on as it arrives, and reports whether it is complete.
func copyBody(w io.Writer, control *http.ResponseController, body io.Reader) bool {
	buffer := make([]byte, copyBytes)
	for {
		if control.Flush() != nil {
			return false
		}
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return false
			}
		}
		switch {
		case err == io.EOF:
			return true
		case err != nil:
			_ = control.Flush() // The other router needs what has arrived.
			return false
		}
	}
}
