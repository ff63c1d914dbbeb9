package jvlink

import "net"

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	link *Link
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.link.out.Add(int64(n))
	return n, err
}
