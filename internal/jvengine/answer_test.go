package jvengine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// line returns a line of attempt "a" with one token, lastLine its last line after a text.
func line(index int, text string) string {
	return fmt.Sprintf(`{"attempt":"a","index":%d,"text":%q}`+"\n", index, text)
}

func lastLine(index int, text string) string {
	digest := sha256.Sum256([]byte(text))
	return fmt.Sprintf(`{"attempt":"a","index":%d,"done":true,"digest":%q,"usage":{"prompt":1,"output":2}}`+"\n", index, hex.EncodeToString(digest[:]))
}

// testClient returns a client, and the target that a handler serves.
func testClient(t *testing.T, handler http.HandlerFunc) (*Client, jvconfig.Target) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	timer := jvtimer.NewService()
	t.Cleanup(timer.Close)
	return NewClient(&http.Transport{DisableKeepAlives: true}, timer, time.Minute), jvconfig.Target{Name: "t", Address: server.Listener.Addr().String()}
}

// TestAnswersOfOthers guards against text of another response in an answer that has begun at another engine, and
// against an end that is not the answer's own (issue 27): only lines of the attempt in order give text, and only its
// last line ends the answer.
func TestAnswersOfOthers(t *testing.T) {
	whole := line(0, "x") + line(1, "y") + lastLine(2, "xy")
	for _, c := range []struct {
		name   string
		status int
		kind   string
		body   string
		// cut breaks the response off.
		cut  bool
		text string
		ok   bool
	}{
		{name: "whole", status: 200, body: whole, text: "xy", ok: true},
		{name: "whole as another type", status: 200, kind: "text/plain", body: whole, text: "xy", ok: true},
		{name: "500", status: 500, body: "failed"},
		{name: "500 with lines", status: 500, body: whole},
		{name: "503", status: 503, body: "overloaded"},
		{name: "404", status: 404, body: whole},
		{name: "400", status: 400, body: `{"error":"prompt"}`},
		{name: "302", status: 302, body: "moved"},
		{name: "204", status: 204},
		{name: "206", status: 206, body: whole},
		{name: "200 text", status: 200, kind: "text/html", body: "<html>maintenance</html>"},
		{name: "200 JSON", status: 200, body: `{"error":"failed"}`},
		{name: "empty", status: 200},
		{name: "blank lines", status: 200, body: "\n\n"},
		{name: "another attempt", status: 200, body: strings.ReplaceAll(whole, `"a"`, `"b"`)},
		{name: "end of another attempt", status: 200, body: line(0, "x") + strings.ReplaceAll(lastLine(1, "x"), `"a"`, `"b"`), text: "x"},
		{name: "a line is missing", status: 200, body: line(0, "x") + lastLine(2, "xy"), text: "x"},
		{name: "a line comes twice", status: 200, body: line(0, "x") + line(0, "x") + lastLine(2, "xx"), text: "x"},
		{name: "no end", status: 200, body: line(0, "x") + line(1, "y"), text: "xy"},
		{name: "another text's end", status: 200, body: line(0, "x") + line(1, "y") + lastLine(2, "xz"), text: "xy"},
		{name: "text after it", status: 200, body: line(0, "x") + "failed\n", text: "x"},
		{name: "breaks off within a line", status: 200, body: line(0, "x") + `{"attempt":"a","in`, cut: true, text: "x"},
		{name: "breaks off between lines", status: 200, body: line(0, "x"), cut: true, text: "x"},
		{name: "bytes after the end", status: 200, body: whole + "failed\n", text: "xy", ok: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, target := testClient(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", c.kind)
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
				if c.cut {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			})
			var text strings.Builder
			_, err := client.Generate(t.Context(), target, Attempt{ID: "a", MaxOutput: 10}, func(s string) { text.WriteString(s) })
			require.Equal(t, c.text, text.String())
			require.Equal(t, c.ok, err == nil, "%v", err)
		})
	}
}

// TestRedirects guards against requests that go where a target sends them, and against another response in place of the
// target's own.
func TestRedirects(t *testing.T) {
	var elsewhere atomic.Int64
	_, other := testClient(t, func(w http.ResponseWriter, _ *http.Request) {
		elsewhere.Add(1)
		_, _ = w.Write([]byte(line(0, "x") + lastLine(1, "x")))
	})
	for _, status := range []int{301, 302, 303, 307, 308} {
		client, target := testClient(t, func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://"+other.Address+"/x", status)
		})
		_, err := client.Generate(t.Context(), target, Attempt{ID: "a", MaxOutput: 10}, func(string) {})
		require.Error(t, err, status)
		for _, key := range []string{"", "key"} {
			response, err := client.Call(t.Context(), target, Call{ID: "a", Method: http.MethodPost, Path: "/x", Key: key, Body: []byte("body")})
			require.NoError(t, err)
			require.Equal(t, status, response.Status)
		}
	}
	require.Zero(t, elsewhere.Load(), "requests at the other place")
}
