package jvlink

import "net"

// Listener counts the bytes of the connections that it accepts.
type Listener struct {
	net.Listener
	Link *Link
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.Link.Wrap(c), nil
}
