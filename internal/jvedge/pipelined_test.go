package jvedge_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
)

// TestWholeResponsesAndMoreRequests guards against a whole response that is reset since its caller has sent the next request,
// or an empty line, behind the one that it belongs to: unread bytes make the close a reset.
func TestWholeResponsesAndMoreRequests(t *testing.T) {
	const size, tries = 500_000, 10 // Bytes that the caller's machine does not take at once.
	body := strings.Repeat("x", size)
	for _, framing := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", size)} {
		c := callCase{status: "200 OK", head: framing, parts: []string{body[:10], body[10:]}, end: endClose}
		target := newRawTarget(t, "i", c.respond)
		f := newEndFleet(t, []jvconfig.Pool{{
			Name: "b", Kind: jvconfig.PoolService, TimeoutMillis: 10_000, MaxAttempts: 1,
			Calls:   []jvconfig.CallRule{{Method: "GET", Prefix: "/"}},
			Targets: []jvconfig.Target{{Name: "b", Zone: "a", Address: target.address, Slots: 8}},
		}}, stepTimeout/2)
		for _, more := range []string{"\r\n", "GET /v1/services/b/y HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + callerKey + "\r\n\r\n"} {
			for _, p := range transports() {
				t.Run(fmt.Sprintf("%d, %s, %d bytes more", len(framing), p.name, len(more)), func(t *testing.T) {
					for range tries {
						require.Equal(t, size, f.readAfterMore(t, p, more))
					}
				})
			}
		}
	}
}

// readAfterMore sends a request and more bytes, and returns the size of the whole response.
func (f *endFleet) readAfterMore(t *testing.T, p transport, more string) int {
	conn, err := f.dial(0, p)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(stepTimeout)))
	_, err = fmt.Fprintf(conn, "GET /v1/services/b/x %s\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", p.protocol, callerKey)
	require.NoError(t, err)
	time.Sleep(5 * time.Millisecond) // They arrive in another packet.
	_, err = io.WriteString(conn, more)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return len(body)
}
