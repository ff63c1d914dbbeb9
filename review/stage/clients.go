package main

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
)

// clientConns are the open connections of clients, by the router that they lead to. The zero value is ready for use.
type clientConns struct {
	mu   sync.Mutex
	open map[*router]map[*clientConn]bool
}

// clientConn is one of them.
type clientConn struct {
	*net.TCPConn
	router *router
	all    *clientConns
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.all.mu.Lock()
	delete(c.all.open[c.router], c)
	c.all.mu.Unlock()
	return c.TCPConn.Close()
}

// dialTo wraps a dial function for connections to a router.
func (a *clientConns) dialTo(r *router, dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		wrapped := &clientConn{TCPConn: c.(*net.TCPConn), router: r, all: a}
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.open == nil {
			a.open = map[*router]map[*clientConn]bool{}
		}
		if a.open[r] == nil {
			a.open[r] = map[*clientConn]bool{}
		}
		a.open[r][wrapped] = true
		return wrapped, nil
	}
}

// reset resets a share of the connections to a router, and returns their number.
func (a *clientConns) reset(r *router, share float64) int {
	a.mu.Lock()
	var chosen []*clientConn
	for c := range a.open[r] {
		if rand.Float64() < share {
			chosen = append(chosen, c)
		}
	}
	a.mu.Unlock()
	for _, c := range chosen {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	return len(chosen)
}
