package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Hosts, paths and the key of the configuration.
const (
	routeHost = "ficu95.example"
	clientKey = "n2ctnfzs989anu6wsjnb"
)

var lastID atomic.Int64

// newID returns the ID of a client attempt.
func newID() string { return fmt.Sprintf("9c41d07b%08x", lastID.Add(1)) }

// request is one client attempt.
type request struct {
	id       string
	method   string
	path     string
	body     string
	deadline time.Duration
	header   map[string]string
	// patience is the gap between events after which the client leaves, or 0.
	patience time.Duration
	// leaveAfter is the number of events after which the client leaves, or 0.
	leaveAfter int
}

// answer is what the client got.
type answer struct {
	status int
	header http.Header
	body   string
	// events are the data of a stream's events by ID; whole is true if the answer is complete.
	events []event
	whole  bool
	err    string
}

type event struct {
	id   int
	data string
}

// send makes one client attempt on a new connection. seen is called for each event, and may be nil.
func send(address string, q request, seen func(event)) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, strings.NewReader(q.body))
	must(err)
	r.Host = routeHost
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+clientKey)
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	gap := time.AfterFunc(time.Hour, cancel)
	defer gap.Stop()
	if q.patience > 0 {
		gap.Reset(q.patience)
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return answer{err: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode, header: response.Header}
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(response.Body)
		a.body, a.whole = string(body), err == nil
		if err != nil {
			a.err = err.Error()
		}
		return a
	}
	e := event{}
	for lines := bufio.NewReader(response.Body); ; {
		line, err := lines.ReadString('\n')
		if err != nil {
			a.whole = err == io.EOF
			if err != io.EOF {
				a.err = err.Error()
			}
			return a
		}
		text := strings.TrimRight(line, "\n")
		switch {
		case strings.HasPrefix(text, "id: "):
			e.id, _ = strconv.Atoi(text[len("id: "):])
		case strings.HasPrefix(text, "data: "):
			e.data = text[len("data: "):]
		case text == "" && e.data != "":
			a.events = append(a.events, e)
			if seen != nil {
				seen(e)
			}
			if q.patience > 0 {
				gap.Reset(q.patience)
			}
			if len(a.events) == q.leaveAfter {
				return a
			}
			e = event{}
		}
	}
}

// retryAfter returns how long a client waits before it comes again: up to one third of the time that it has left.
func (a answer) retryAfter(left time.Duration) time.Duration {
	seconds, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	return min(time.Duration(seconds*float64(time.Second)), left/3)
}
