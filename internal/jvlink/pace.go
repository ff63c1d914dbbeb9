package jvlink

import (
	"net"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

const (
	// bulkBytes is the size of a write from which on it is paced, pieceBytes that of the pieces. A piece takes 3 ms on a link
	// of 10 Mbit/s.
	bulkBytes  = 1 << 10
	pieceBytes = 4 << 10
	// paceShare is the share of the capacity that bulk writes get, paceBurst how far ahead of it they may be: a body of usual
	// size passes at once on a link that is not busy.
	paceShare = 0.85
	paceBurst = 16 << 10
	// maxPacedCapacity is the capacity up to which bulk writes are paced also while the link is not congested, 50 Mbit/s.
	maxPacedCapacity = 50e6 / 8
)

// pace spaces bulk writes. It is safe for concurrent use.
type pace struct {
	// rate is in bytes per second.
	rate float64

	mu sync.Mutex
	// freeAt is when the bytes that have been taken are sent.
	freeAt time.Time
}

// take returns how long to wait before a piece is written.
func (p *pace) take(now time.Time, bytes int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	ahead := time.Duration(paceBurst / p.rate * float64(time.Second))
	wait := max(0, p.freeAt.Sub(now)-ahead)
	p.freeAt = p.freeAt.Add(time.Duration(float64(bytes) / p.rate * float64(time.Second)))
	return wait
}

// pacedConn is a connection whose bulk writes are paced.
type pacedConn struct {
	net.Conn
	link  *Link
	timer *jvtimer.Service

	closing sync.Once
	closed  chan struct{}
}

// Write implements net.Conn.
func (c *pacedConn) Write(p []byte) (int, error) {
	if len(p) <= bulkBytes || !c.link.paces() {
		return c.Conn.Write(p)
	}
	written := 0
	for written < len(p) {
		piece := p[written:min(written+pieceBytes, len(p))]
		if wait := c.link.pace.take(c.timer.Now(), len(piece)); wait > 0 {
			select {
			case <-c.timer.After(wait):
			case <-c.closed:
				return written, net.ErrClosed
			}
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close implements net.Conn.
func (c *pacedConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
