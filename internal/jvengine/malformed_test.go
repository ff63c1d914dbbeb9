package jvengine

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// TestCallMalformed guards against a response of a target that is none in HTTP and counts as one (MIXED, issue 63).
func TestCallMalformed(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	responses := []string{
		ok + "Content-Length : 4\r\n\r\nabcde", ok + "Transfer-Encoding : chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
		ok + "X Foo: a\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 000 None\r\nContent-Length: 1\r\n\r\na",
		ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-A : b\r\n\r\n",
	}
	timer := jvtimer.NewService()
	defer timer.Close()
	for n, response := range responses {
		target := newCutTarget(t, responses, func(*http.Request) cut { return cut{Response: n, Bytes: len(response)} })
		_, err := NewClient(&http.Transport{}, timer, time.Second).Call(t.Context(), target, Call{ID: "c", Method: http.MethodPost, Path: "/x"})
		require.Equal(t, KindBroken, jvfault.KindOf[Kind](err), "%q", response)
	}
}
