package jvpeer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// link is one open connection to a peer, which carries concurrent requests.
type link struct {
	socket *websocket.Conn
	bytes  *atomic.Int64

	mu     sync.Mutex
	lastID uint64
	// pending holds the channels for outstanding responses by request ID.
	pending map[uint64]chan Response
	// err is why the link failed, or nil.
	err    error
	usedAt time.Time
}

// newLink returns a link on an open socket and reads its responses until it fails.
func newLink(socket *websocket.Conn, bytes *atomic.Int64, now time.Time) *link {
	l := &link{socket: socket, bytes: bytes, pending: map[uint64]chan Response{}, usedAt: now}
	go func() {
		for {
			_, data, err := socket.Read(context.Background())
			if err != nil {
				l.fail(err)
				return
			}
			l.receive(data)
		}
	}()
	return l
}

// receive passes a response to the request that waits for it; a malformed one fails the link.
func (l *link) receive(data []byte) {
	l.bytes.Add(int64(len(data)))
	e, err := jvcodec.Decode[envelope](data)
	if err != nil || e.Response == nil {
		l.fail(jvfault.New("read response", KindMalformed, err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.pending[e.ID]; c != nil {
		delete(l.pending, e.ID)
		c <- *e.Response
	}
}

// fail closes the link and fails all outstanding requests.
func (l *link) fail(err error) {
	l.mu.Lock()
	if l.err == nil {
		l.err = err
	}
	for id, c := range l.pending {
		delete(l.pending, id)
		close(c)
	}
	l.mu.Unlock()
	_ = l.socket.CloseNow()
}

func (l *link) send(ctx context.Context, r Request, now time.Time) (Response, error) {
	const op = "ask peer"
	c := make(chan Response, 1)
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return Response{}, jvfault.New(op, KindUnreachable, l.err)
	}
	l.lastID++
	id := l.lastID
	l.pending[id] = c
	l.usedAt = now
	l.mu.Unlock()
	data := jvcodec.Encode(&envelope{ID: id, Request: &r})
	l.bytes.Add(int64(len(data)))
	// The write ignores ctx, since a write that its context cancels breaks the whole link.
	if err := l.socket.Write(context.Background(), websocket.MessageBinary, data); err != nil {
		l.fail(err)
		return Response{}, jvfault.New(op, KindUnreachable, err)
	}
	select {
	case response, ok := <-c:
		if !ok {
			return Response{}, jvfault.New(op, KindUnreachable, l.err)
		}
		return response, nil
	case <-ctx.Done():
		l.removePending(id)
		return Response{}, jvfault.New(op, KindUnreachable, ctx.Err())
	}
}

func (l *link) removePending(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// status reports whether the link has failed, and whether it has been idle since a time.
func (l *link) status(since time.Time) (failed, idle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err != nil, len(l.pending) == 0 && l.usedAt.Before(since)
}
