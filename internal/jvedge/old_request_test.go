package jvedge_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
)

// TestOldRequestsWithoutLength guards against a request of HTTP/1.0 that runs without its body, which has no length and is
// therefore not read.
func TestOldRequestsWithoutLength(t *testing.T) {
	ran := make(chan string, 4)
	target := newRawTarget(t, "i", func(_ *http.Request, body []byte) ([]string, ending) {
		ran <- string(body)
		return []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}, endKeep
	})
	f := newEndFleet(t, []jvconfig.Pool{{
		Name: "a", Kind: jvconfig.PoolService, TimeoutMillis: 10_000, MaxAttempts: 1,
		Calls:   []jvconfig.CallRule{{Method: "POST", Prefix: "/", Once: true}},
		Targets: []jvconfig.Target{{Name: "a", Zone: "a", Address: target.address, Slots: 8}},
	}}, stepTimeout/2)
	send := func(key, rest string) int {
		return f.send(0, transports()[1], "POST /v1/services/a/x HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer "+callerKey+"\r\nIdempotency-Key: "+key+"\r\n"+rest).status
	}
	require.Equal(t, http.StatusBadRequest, send("k1", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"))
	require.Equal(t, http.StatusBadRequest, send("k2", "\r\nhello"))
	require.Empty(t, ran)
	require.Equal(t, http.StatusOK, send("k3", "Content-Length: 5\r\n\r\nhello"))
	require.Equal(t, "hello", <-ran)
}
