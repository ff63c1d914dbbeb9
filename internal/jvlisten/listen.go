package jvlisten

import (
	"context"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Options bound what the connections of a listener hold before they are accepted and read; 0 is the system's default.
type Options struct {
	// Queue is the number of connections that wait to be accepted. The system does not answer further ones, which try again.
	Queue int
	// ReceiveBytes is the receive buffer of each connection. The system takes up to twice as much.
	ReceiveBytes int
}

// Listen opens a listener on a TCP address, host:port.
func Listen(address string, o Options) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if o.ReceiveBytes == 0 {
			return nil
		}
		return control(c, "setsockopt", func(fd int) error { // Connections inherit it.
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, o.ReceiveBytes)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil || o.Queue == 0 {
		return l, err
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil { // A second call changes the length of the queue.
		err = control(raw, "listen", func(fd int) error { return unix.Listen(fd, o.Queue) })
	}
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

// control calls a function with the descriptor of a socket.
func control(c syscall.RawConn, call string, use func(fd int) error) (err error) {
	if outer := c.Control(func(fd uintptr) { err = use(int(fd)) }); outer != nil {
		return outer
	}
	return os.NewSyscallError(call, err)
}
