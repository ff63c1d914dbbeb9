package jvpeer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

const (
	// maxMessage bounds one message, in bytes; the largest is a state.
	maxMessage = 256 << 20
	// idleAfter is how long a link stays open without asks.
	idleAfter = 2 * time.Minute
	// brokenPause is how long a peer that could not be reached is not dialed again.
	brokenPause = 250 * time.Millisecond
)

// Client is a Network over WebSocket.
type Client struct {
	http   *http.Client
	scheme string
	secret string
	timer  *jvtimer.Service
	bytes  atomic.Int64

	mu    sync.Mutex
	links map[string]*slot
}

// slot is the place of one peer's link; its lock is held while dialing.
type slot struct {
	mu     sync.Mutex
	link   *link
	failed time.Time
	cause  error
}

// NewClient returns a client that shows peers the fleet's secret. The scheme is ws or wss.
func NewClient(client *http.Client, scheme, secret string, timer *jvtimer.Service) *Client {
	c := &Client{http: client, scheme: scheme, secret: secret, timer: timer, links: map[string]*slot{}}
	timer.Every(idleAfter/2, c.sweep)
	return c
}

// Bytes returns the bytes sent and received on all links.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Send implements Network.
func (c *Client) Send(ctx context.Context, to Peer, ask Request) (Response, error) {
	l, err := c.link(ctx, to)
	if err != nil {
		return Response{}, err
	}
	return l.ask(ctx, ask, c.timer.Now())
}

func (c *Client) slot(address string) *slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.links[address]
	if s == nil {
		s = &slot{}
		c.links[address] = s
	}
	return s
}

func (c *Client) link(ctx context.Context, to Peer) (*link, error) {
	s := c.slot(to.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != nil {
		if broken, _ := s.link.state(time.Time{}); !broken {
			return s.link, nil
		}
		s.link = nil
	}
	if s.cause != nil && c.timer.Since(s.failed) < brokenPause {
		return nil, s.cause
	}
	//nolint:bodyclose // The library owns the body of a handshake.
	socket, response, err := websocket.Dial(ctx, c.scheme+"://"+to.Address+"/peer", &websocket.DialOptions{
		HTTPClient: c.http,
		HTTPHeader: http.Header{"Authorization": {"Bearer " + c.secret}},
	})
	if err != nil {
		kind := KindUnreachable
		if response != nil && response.StatusCode == http.StatusUnauthorized {
			kind = KindRefused
		}
		s.cause = jvfault.New("dial peer "+to.VM, kind, err)
		s.failed = c.timer.Now()
		return nil, s.cause
	}
	socket.SetReadLimit(maxMessage)
	s.cause = nil
	s.link = newLink(socket, &c.bytes, c.timer.Now())
	return s.link, nil
}

// sweep closes idle links.
func (c *Client) sweep() {
	since := c.timer.Now().Add(-idleAfter)
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, s := range c.links {
		if !s.mu.TryLock() {
			continue
		}
		if s.link != nil {
			if broken, idle := s.link.state(since); broken || idle {
				s.link.fail(jvfault.Newf("sweep", KindUnreachable, "the link was idle"))
				delete(c.links, address)
			}
		}
		s.mu.Unlock()
	}
}

// Close ends all links.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.links {
		s.mu.Lock()
		if s.link != nil {
			s.link.fail(jvfault.Newf("close", KindUnreachable, "this VM stops"))
		}
		s.mu.Unlock()
	}
}
