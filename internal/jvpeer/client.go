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
	// maxMessageBytes bounds one message; the largest is a state response.
	maxMessageBytes = 256 << 20
	// idleTimeout is how long a link without requests stays open.
	idleTimeout = 2 * time.Minute
	// redialDelay is how long a peer isn't dialed again after a dial failed.
	redialDelay = 250 * time.Millisecond
)

// Client is a Network over WebSocket.
type Client struct {
	http   *http.Client
	scheme string
	secret string
	timer  *jvtimer.Service
	bytes  atomic.Int64

	mu sync.Mutex
	// peers holds the links by address.
	peers map[string]*peerLink
}

// peerLink is the link to one peer, if any, and the last dial failure; its lock is held while
// dialing.
type peerLink struct {
	mu       sync.Mutex
	link     *link
	failedAt time.Time
	dialErr  error
}

// NewClient returns a client that authenticates with the fleet's secret. The scheme is ws or wss.
func NewClient(client *http.Client, scheme, secret string, timer *jvtimer.Service) *Client {
	c := &Client{http: client, scheme: scheme, secret: secret, timer: timer, peers: map[string]*peerLink{}}
	timer.Every(idleTimeout/2, c.closeIdle)
	return c
}

// Bytes returns the bytes sent and received on all links.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Send implements Network.
func (c *Client) Send(ctx context.Context, to Peer, request Request) (Response, error) {
	l, err := c.connect(ctx, to)
	if err != nil {
		return Response{}, err
	}
	return l.send(ctx, request, c.timer.Now())
}

func (c *Client) peerLink(address string) *peerLink {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = &peerLink{}
		c.peers[address] = p
	}
	return p
}

// connect returns the open link to a peer, or dials a new one.
func (c *Client) connect(ctx context.Context, to Peer) (*link, error) {
	p := c.peerLink(to.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		if failed, _ := p.link.status(time.Time{}); !failed {
			return p.link, nil
		}
		p.link = nil
	}
	if p.dialErr != nil && c.timer.Since(p.failedAt) < redialDelay {
		return nil, p.dialErr
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
		p.dialErr = jvfault.New("dial peer "+to.VM, kind, err)
		p.failedAt = c.timer.Now()
		return nil, p.dialErr
	}
	socket.SetReadLimit(maxMessageBytes)
	p.dialErr = nil
	p.link = newLink(socket, &c.bytes, c.timer.Now())
	return p.link, nil
}

// closeIdle closes idle links and removes failed ones; it skips peers that are being dialed.
func (c *Client) closeIdle() {
	since := c.timer.Now().Add(-idleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.peers {
		if !p.mu.TryLock() {
			continue
		}
		if p.link != nil {
			if failed, idle := p.link.status(since); failed || idle {
				p.link.fail(jvfault.Newf("sweep", KindUnreachable, "the link was idle"))
				delete(c.peers, address)
			}
		}
		p.mu.Unlock()
	}
}

// Close closes all links.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.mu.Lock()
		if p.link != nil {
			p.link.fail(jvfault.Newf("close", KindUnreachable, "this VM is stopping"))
		}
		p.mu.Unlock()
	}
}
