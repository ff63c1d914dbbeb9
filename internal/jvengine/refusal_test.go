package jvengine

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
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

// repeatingEngine refuses every third attempt, and writes the refusal once more when it runs the next one on the same
// connection.
type repeatingEngine struct {
	mu       sync.Mutex
	received int
	ran      map[string]bool
}

func (e *repeatingEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	refusal := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var a Attempt
		if json.NewDecoder(r.Body).Decode(&a) != nil {
			return
		}
		e.mu.Lock()
		e.received++
		refuses := e.received%3 == 0
		if !refuses {
			e.ran[a.ID] = true
		}
		e.mu.Unlock()
		if refuses {
			refusal = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 5\r\n\r\nfull\n"
			_, _ = fmt.Fprint(c, refusal)
			continue
		}
		digest := sha256.Sum256(nil)
		line, err := json.Marshal(Line{Attempt: a.ID, Done: true, Usage: &Usage{PromptTokens: 1}, Digest: hex.EncodeToString(digest[:])})
		if err != nil {
			panic(err) // A Line always encodes.
		}
		_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s\n", refusal, len(line)+1, line)
		refusal = ""
	}
}

// TestRepeatedRefusal guards against an attempt that an engine runs and that counts as not run, so that its tokens are not
// charged: the engine writes an earlier refusal once more on a kept connection.
func TestRepeatedRefusal(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	e := &repeatingEngine{ran: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	timer := jvtimer.NewService()
	t.Cleanup(timer.Close)
	client := NewClient(&http.Transport{}, timer, time.Minute)
	refused := 0
	for n := range 30 {
		a := Attempt{ID: fmt.Sprint("a", n), MaxOutput: 10}
		_, err := client.Generate(t.Context(), jvconfig.Target{Name: "t", Address: l.Addr().String()}, a, func(string) {})
		if err == nil {
			continue
		}
		require.Equal(t, KindRefused, jvfault.KindOf[Kind](err))
		refused++
		e.mu.Lock()
		require.False(t, e.ran[a.ID], "%s is refused and ran", a.ID)
		e.mu.Unlock()
	}
	require.Equal(t, 10, refused, "a full engine's refusals count")
}
