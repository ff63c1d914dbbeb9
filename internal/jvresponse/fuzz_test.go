package jvresponse

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// field is a line of a head: a field, or the rest of the one before on a line of its own.
var field = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+:|[ \t])")

// invalidLine returns a line of the heads in a server's bytes that is no field, or "".
func invalidLine(data string) string {
	lines := bufio.NewScanner(strings.NewReader(data))
	lines.Buffer(nil, len(data)+1)
	inHead, informational := false, false
	for lines.Scan() {
		line := lines.Text()
		switch {
		case !inHead:
			inHead = true
			_, status, _ := strings.Cut(line, " ")
			status = strings.TrimLeft(status, " ")
			informational = strings.HasPrefix(status, "1") && !strings.HasPrefix(status, "101")
		case line == "" && !informational:
			return ""
		case line == "":
			inHead = false
		case !field.MatchString(line):
			return line
		}
	}
	return ""
}

// FuzzHead guards against a response whose head is none in HTTP: a server sends anything, and closes the connection.
func FuzzHead(f *testing.F) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, head := range []string{
		ok + "Content-Length: 4\r\n", ok + "Content-Length : 4\r\n", ok + "Transfer-Encoding : chunked\r\n", ok + "X Foo: a\r\n",
		ok + "X\tFoo: a\r\n", ok + "X\x01Foo: a\r\n", ok + ": a\r\n", ok + "X-Foo\r\n", ok + "X-Foo: a\r\n b\r\n", ok + "X-Foo: a\rb\r\n",
		"HTTP/1.1 103 Early Hints\r\nX Foo: a\r\n\r\n" + ok, "HTTP/1.1 000 None\r\n", "HTTP/1.0 404 Not Found\nA : b\n",
	} {
		f.Add(head + "\r\n4\r\nabcd\r\n0\r\n\r\n")
	}
	f.Fuzz(func(t *testing.T, data string) {
		transport := NewTransport(&http.Transport{Dial: func(string, string) (net.Conn, error) { //nolint:staticcheck // No context is needed.
			client, server := net.Pipe()
			go func() {
				defer func() { _ = server.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
					_ = r.Body.Close()
					_, _ = io.WriteString(server, data)
				}
			}()
			return client, nil
		}, DisableKeepAlives: true})
		request, err := http.NewRequest(http.MethodGet, "http://h/", nil)
		require.NoError(t, err)
		response, err := transport.RoundTrip(request)
		if err != nil {
			return
		}
		_, _ = io.ReadAll(response.Body)
		_ = response.Body.Close()
		require.Empty(t, invalidLine(data), "%q", data)
		require.True(t, response.StatusCode >= 100 && response.StatusCode <= 999)
	})
}
