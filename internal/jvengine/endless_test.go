package jvengine

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

const (
	// callers is the number of connections that get bytes without end at once.
	callers = 64
	// answerTimeout is the deadline of a request.
	answerTimeout = time.Second
	// idleTimeout is how long the client keeps idle connections.
	idleTimeout = 100 * time.Millisecond
)

// endlessTarget is a target that sends a beginning and then blocks without end to each request.
type endlessTarget struct {
	listener net.Listener
	running  sync.WaitGroup
}

func newEndlessTarget(t *testing.T, begin string, block func(n int) string) *endlessTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &endlessTarget{listener: l}
	e.running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.running.Go(func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := fmt.Fprint(c, begin)
				for n := 0; err == nil; n++ {
					_, err = fmt.Fprint(c, block(n))
				}
			})
		}
	})
	return e
}

// TestEndlessBytes guards against a target whose bytes never end, at each place of a response: all
// attempts and calls fail by their deadline, and all connections are closed.
func TestEndlessBytes(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	repeat := func(text string) func(int) string {
		block := string(bytes.Repeat([]byte(text), 1024))
		return func(int) string { return block }
	}
	for _, c := range []struct {
		name  string
		begin string
		block func(n int) string
	}{
		{"status line", "HTTP/1.1 200 ", repeat("x")},
		{"header", head + "X-Long: ", repeat("x")},
		{"headers", head, repeat("X-More: 1\r\n")},
		{"informational heads", "", repeat("HTTP/1.1 102 Processing\r\n\r\n")},
		{"body", head + "Connection: close\r\n\r\n", repeat("x")},
		{"body with a length", head + "Content-Length: 9000000000000000\r\n\r\n", repeat("x")},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", repeat("1\r\nx\r\n")},
		{"chunk framing", head + "Transfer-Encoding: chunked\r\n\r\n1;", repeat("x")},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeat("X-More: 1\r\n")},
		{"blank lines", head + "Connection: close\r\n\r\n", repeat("\n")},
		{"tokens", head + "Connection: close\r\n\r\n", func(n int) string { return fmt.Sprintf("{\"attempt\":\"a\",\"index\":%d,\"text\":\"x\"}\n", n) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEndlessTarget(t, c.begin, c.block)
			timer := jvtimer.NewService()
			defer timer.Close()
			// A connection that was opened for a request which ended meanwhile is idle until this timeout.
			client := NewClient(&http.Transport{IdleConnTimeout: idleTimeout}, timer, time.Minute)
			target := jvconfig.Target{Name: "t", Address: e.listener.Addr().String()}
			var running sync.WaitGroup
			for n := range callers {
				running.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
					defer cancel()
					var err error
					tokens := 0
					if n%2 == 0 {
						_, err = client.Generate(ctx, target, Attempt{ID: "a", MaxOutput: 10}, func(string) { tokens++ })
					} else {
						_, err = client.Call(ctx, target, Call{ID: "a", Method: http.MethodGet, Path: "/x"})
					}
					if err == nil {
						t.Error("an endless response is taken for a complete one")
					}
					if kind := jvfault.KindOf[Kind](err); kind != KindBroken && kind != KindCanceled {
						t.Errorf("kind %s: %s", kind, err)
					}
					if tokens > 10 {
						t.Errorf("%d tokens of 10 allowed", tokens)
					}
				})
			}
			running.Wait()
			require.Zero(t, client.memory.Used())
			require.NoError(t, e.listener.Close())
			e.running.Wait() // All connections are closed.
		})
	}
}
