package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// playPath: the configuration has a route for all paths of a host, and clients send paths that begin with two slashes.
// Without the trouble the paths begin with one.
func playPath(p *play) int {
	var c map[string]any
	_ = json.Unmarshal(configuration(7, 5_000_000, []string{"duckkey"}, 5000), &c)
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "all", "host": "h.example", "pathPrefix": "/", "kind": "unsafe", "timeoutMs": 5000, "targetLatencyMs": 100, "priority": 2,
		"service": "desk", "maxAttempts": 1, "anonymous": false, "stickySessions": false, "streamResume": false,
	})
	body, _ := json.Marshal(c)
	if err := p.build(6, 134, body, 5*time.Millisecond); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	p.note("6 routers are ready")
	slashes := "/"
	if p.trouble {
		slashes = "//"
	}
	changed, unchanged := 0, 0
	for n, path := range []string{"book/7f", "cancel/book/7f", "ficu95.example/book", "book/7f?day=3", "a/b/c", "book"} {
		r := p.routers[n%len(p.routers)]
		conn, err := net.DialTimeout("tcp", r.front, time.Second)
		if err != nil {
			p.note("not run: %v", err)
			return resultNotRun
		}
		id := fmt.Sprintf("%016x", n+1)
		p.record("sent id=%s router=%s POST %s", id, r.name, slashes+path)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer duckkey\r\nContent-Length: 0\r\n\r\n", slashes+path, id)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			p.record("answer id=%s none: %v", id, err)
			_ = conn.Close()
			continue
		}
		data, _ := io.ReadAll(response.Body)
		_ = conn.Close()
		p.note("client sent POST %s, got %d %s", slashes+path, response.StatusCode, data)
		if response.Header.Get("X-Server-Signature") == "" {
			continue
		}
		if strings.HasSuffix(string(data), " POST "+slashes+path) {
			unchanged++
		} else {
			changed++
		}
	}
	p.note("%d requests ran with the path that the client sent, %d with another one", unchanged, changed)
	switch {
	case changed > 0:
		p.note("UNASKED is broken: servers ran requests with their path changed")
		return resultBroken
	case unchanged == 0:
		return resultNotRun
	}
	return resultHeld
}
