package jvprocess

import (
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// keepTime is how long a server without open connections is kept.
const keepTime = time.Minute

// Connections holds the connections to servers by address. Of two connections to an address, one that received data after the
// other one was opened is to the same process. It is safe for concurrent use.
type Connections struct {
	timer *jvtimer.Service

	mu       sync.Mutex
	servers  map[string]*server
	prunedAt time.Time
}

// server is what listens at an address.
type server struct {
	open map[*Connection]bool
	// closed is the time in which closed connections show one process, the latest if they show several.
	closed span
}

// span is a time in which one process ran; from and to are in it.
type span struct {
	from, to time.Time
}

// NewConnections returns Connections without any.
func NewConnections(timer *jvtimer.Service) *Connections {
	return &Connections{timer: timer, servers: map[string]*server{}, prunedAt: timer.Now()}
}

// Connection is one of Connections. It is safe for concurrent use.
type Connection struct {
	all      *Connections
	address  string
	raw      *net.TCPConn
	openedAt time.Time
}

// Opened records a connection to a server that was just opened. For any but a TCP connection only the time counts.
func (all *Connections) Opened(address string, c net.Conn) *Connection {
	for {
		inner, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = inner.NetConn()
	}
	raw, _ := c.(*net.TCPConn)
	all.mu.Lock()
	defer all.mu.Unlock()
	now := all.timer.Now()
	all.prune(now)
	s := all.servers[address]
	if s == nil {
		s = &server{open: map[*Connection]bool{}}
		all.servers[address] = s
	}
	n := &Connection{all: all, address: address, raw: raw, openedAt: now}
	s.open[n] = true
	return n
}

// prune drops servers without open connections; all.mu must be held.
func (all *Connections) prune(now time.Time) {
	if now.Sub(all.prunedAt) < keepTime {
		return
	}
	all.prunedAt = now
	for address, s := range all.servers {
		if len(s.open) == 0 && now.Sub(s.closed.to) >= keepTime {
			delete(all.servers, address)
		}
	}
}

// Close removes the connection. It must be called before the connection is closed, and may be called again.
func (c *Connection) Close() {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	s := c.all.servers[c.address]
	if s == nil || !s.open[c] {
		return
	}
	delete(s.open, c)
	own := c.span()
	switch {
	case !own.from.After(s.closed.to) && !s.closed.from.After(own.to):
		if own.from.Before(s.closed.from) {
			s.closed.from = own.from
		}
		if own.to.After(s.closed.to) {
			s.closed.to = own.to
		}
	case own.to.After(s.closed.to):
		s.closed = own
	}
}

// Since returns a time at which the process ran that the connection was opened to: the earliest that connections show.
func (c *Connection) Since() time.Time {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	since := c.openedAt
	s := c.all.servers[c.address]
	if s == nil {
		return since
	}
	spans := []span{s.closed}
	for o := range s.open {
		if o.openedAt.Before(since) {
			spans = append(spans, o.span())
		}
	}
	// A span that begins later than another one can only make that one overlap.
	slices.SortFunc(spans, func(x, y span) int { return y.from.Compare(x.from) })
	for _, x := range spans {
		if x.from.Before(since) && !x.to.Before(since) {
			since = x.from
		}
	}
	return since
}

// span returns the time in which the connection shows its process.
func (c *Connection) span() span {
	own := span{from: c.openedAt, to: c.openedAt}
	if c.raw == nil {
		return own
	}
	raw, err := c.raw.SyscallConn()
	if err != nil {
		return own
	}
	_ = raw.Control(func(fd uintptr) { // It fails once the connection is closed.
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		received := c.all.timer.Now().Add(-time.Duration(info.Last_data_recv)*time.Millisecond - clockTick)
		if received.After(own.to) {
			own.to = received
		}
	})
	return own
}

// clockTick bounds the resolution of the times that the system reports.
const clockTick = 10 * time.Millisecond
