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

// link is one open connection to a peer, on which several asks wait for their answers.
type link struct {
	socket *websocket.Conn
	bytes  *atomic.Int64

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan Response
	broken  error
	used    time.Time
}

func newLink(socket *websocket.Conn, bytes *atomic.Int64, now time.Time) *link {
	l := &link{socket: socket, bytes: bytes, waiting: map[uint64]chan Response{}, used: now}
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

func (l *link) receive(data []byte) {
	l.bytes.Add(int64(len(data)))
	e, err := jvcodec.Decode[envelope](data)
	if err != nil || e.Response == nil {
		l.fail(jvfault.New("read answer", KindMalformed, err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.waiting[e.ID]; c != nil {
		delete(l.waiting, e.ID)
		c <- *e.Response
	}
}

// fail ends the link; those who wait for answers are told.
func (l *link) fail(err error) {
	l.mu.Lock()
	if l.broken == nil {
		l.broken = err
	}
	for id, c := range l.waiting {
		delete(l.waiting, id)
		close(c)
	}
	l.mu.Unlock()
	_ = l.socket.CloseNow()
}

func (l *link) ask(ctx context.Context, a Request, now time.Time) (Response, error) {
	const op = "ask peer"
	c := make(chan Response, 1)
	l.mu.Lock()
	if l.broken != nil {
		l.mu.Unlock()
		return Response{}, jvfault.New(op, KindUnreachable, l.broken)
	}
	l.next++
	id := l.next
	l.waiting[id] = c
	l.used = now
	l.mu.Unlock()
	data := jvcodec.Encode(&envelope{ID: id, Request: &a})
	l.bytes.Add(int64(len(data)))
	// A write that is cut short by its context breaks the whole link, so it has none.
	if err := l.socket.Write(context.Background(), websocket.MessageBinary, data); err != nil {
		l.fail(err)
		return Response{}, jvfault.New(op, KindUnreachable, err)
	}
	select {
	case answer, ok := <-c:
		if !ok {
			return Response{}, jvfault.New(op, KindUnreachable, l.broken)
		}
		return answer, nil
	case <-ctx.Done():
		l.forget(id)
		return Response{}, jvfault.New(op, KindUnreachable, ctx.Err())
	}
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// state tells whether the link is broken, and whether it has been idle since a time.
func (l *link) state(since time.Time) (broken, idle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken != nil, len(l.waiting) == 0 && l.used.Before(since)
}
