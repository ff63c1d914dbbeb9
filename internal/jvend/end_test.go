package jvend

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEndOfResponse guards against a response whose end is that of its connection and counts as proven, and against one
// that ends with its head and counts as claimed.
func TestEndOfResponse(t *testing.T) {
	for _, c := range []struct {
		name   string
		method string
		head   string
		want   End
	}{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", Proven},
		{"empty", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Proven},
		{"chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", Proven},
		{"chunks and close", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", Proven},
		{"neither", "GET", "HTTP/1.1 200 OK\r\n\r\nabc", Claimed},
		{"close only", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", Claimed},
		{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\n\r\nabc", Claimed},
		{"HTTP/1.0 with chunks, which it does not have", "GET", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", Claimed},
		{"HTTP/1.0 with a length", "GET", "HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nabc", Proven},
		{"error without a length", "GET", "HTTP/1.1 500 Error\r\n\r\nabc", Claimed},
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", Proven},
		{"204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", Proven},
		{"304", "GET", "HTTP/1.1 304 Not Modified\r\n\r\n", Proven},
	} {
		r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.head)), &http.Request{Method: c.method})
		require.NoError(t, err, c.name)
		require.Equal(t, c.want, Of(r), c.name)
		require.NoError(t, r.Body.Close())
	}
}
