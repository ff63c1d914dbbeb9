package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, path string
	header           map[string]string
	body             string
	// deadline is how long the client waits.
	deadline time.Duration
}

// result is what the client saw of its answer.
type result struct {
	status int
	header http.Header
	body   string
	// whole is true if the answer is complete by its framing.
	whole bool
	err   error
	took  time.Duration
}

func (a result) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer after %d ms: %v", a.took.Milliseconds(), a.err)
	case !a.whole:
		return fmt.Sprintf("%d, broken off after %d bytes, %d ms: %v", a.status, len(a.body), a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%d, whole, %d bytes, %d ms", a.status, len(a.body), a.took.Milliseconds())
}

// events returns the events of a stream as far as they are complete.
func (a result) events() []string {
	list := strings.Split(a.body, "\n\n")
	return list[:len(list)-1]
}

// lastID returns the id of the last complete event.
func (a result) lastID() string {
	list := a.events()
	if len(list) == 0 {
		return ""
	}
	id, _, _ := strings.Cut(list[len(list)-1], "\n")
	return strings.TrimPrefix(id, "id: ")
}

var lastRequest atomic.Int64

// newID returns the id of a new client attempt.
func newID() string { return fmt.Sprintf("q%05d", lastRequest.Add(1)) }

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// client is a connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// head returns the head of a request.
func (q *request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", q.method, q.path, host, q.id, q.deadline.Milliseconds(), key)
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n"
}

// send sends a request whole.
func (c *client) send(q *request) error {
	_, err := io.WriteString(c.conn, q.head()+q.body)
	return err
}

// receive reads the answer to a request that was sent at a time.
func (c *client) receive(q *request, sentAt time.Time) (a result) {
	defer func() { a.took = time.Since(sentAt) }()
	_ = c.conn.SetReadDeadline(sentAt.Add(q.deadline))
	r, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	for err == nil && r.StatusCode == http.StatusContinue {
		r, err = http.ReadResponse(c.reader, &http.Request{Method: q.method})
	}
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = r.StatusCode, r.Header
	data, err := io.ReadAll(r.Body)
	a.body, a.err, a.whole = string(data), err, err == nil
	return a
}

// do sends a request on the connection and reads its answer.
func (c *client) do(q *request) result {
	sentAt := time.Now()
	if err := c.send(q); err != nil {
		return result{err: err}
	}
	a := c.receive(q, sentAt)
	note("client: %s %s %s -> %v", q.id, q.method, q.path, a)
	return a
}

// call sends a request on a new connection and reads its answer.
func call(address string, q *request) result {
	c, err := dial(address)
	if err != nil {
		note("client: %s not sent: %v", q.id, err)
		return result{err: err}
	}
	defer c.close()
	return c.do(q)
}
