package jvforward

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvrelay"
)

// rawPeer is a router that responds to attempts with given bytes.
type rawPeer struct {
	mu sync.Mutex
	// respond returns the response to an attempt with a nonce, the nth one of its connection, counted from 0.
	respond func(nonce string, n int) rawAnswer
}

// rawAnswer are the bytes of a response; closes and resets are true if the connection is closed or reset after them.
type rawAnswer struct {
	text   string
	closes bool
	resets bool
}

// newRawPeer returns a peer to which the fixture's client sends.
func newRawPeer(t *testing.T, f *fixture) *rawPeer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &rawPeer{}
	f.to.Address = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *rawPeer) set(respond func(nonce string, n int) rawAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.respond = respond
}

func (p *rawPeer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		data, err := readHead(r.Body)
		if err != nil {
			return
		}
		head, err := jvcodec.Decode[attemptHead](data)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		p.mu.Lock()
		respond := p.respond
		p.mu.Unlock()
		a := respond(head.Nonce, n)
		_, _ = io.WriteString(c, a.text)
		if a.resets {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		if a.closes {
			return
		}
	}
}

// peerBody is the body of the target's response in these tests.
const peerBody = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"

// peerResponse is a peer's response to an attempt in one framing.
func peerResponse(nonce, framing string, end jvend.End) string {
	head := string(encodeHead(newResponseHead(nonce, &jvrelay.Response{Status: http.StatusOK, Signed: true, End: end})))
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	switch framing {
	case "length":
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(head)+len(peerBody)) + head + peerBody
	case "chunks":
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(head[:3]) + chunk(head[3:]) + chunk(peerBody[:17]) + chunk(peerBody[17:]) + "0\r\n\r\n"
	case "chunks and close":
		return "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(head+peerBody) + "0\r\n\r\n"
	case "none, HTTP/1.0":
		return "HTTP/1.0 200 OK\r\n\r\n" + head + peerBody
	}
	return "HTTP/1.1 200 OK\r\n\r\n" + head + peerBody
}

// receivedEnd is how the response to an attempt ended at the router that sent it.
type receivedEnd struct {
	end  jvend.End
	body string
}

// forwardOnce sends an attempt and reads the response to its end.
func forwardOnce(t *testing.T, f *fixture) receivedEnd {
	r, err := f.client.Forward(t.Context(), f.to, newDispatch())
	if err != nil {
		require.Equal(t, jvrelay.KindBroken, jvfault.KindOf[jvrelay.Kind](err), "the attempt may have run: %v", err)
		return receivedEnd{}
	}
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil {
		return receivedEnd{body: string(body)}
	}
	return receivedEnd{end: r.End, body: string(body)}
}

// TestPeerResponseCuts guards against a response that breaks off between two routers, after any of its bytes, and counts as
// ended at the router of the caller, or as an attempt that did not run.
func TestPeerResponseCuts(t *testing.T) {
	f := newFixture(t)
	p := newRawPeer(t, f)
	f.client.NewNonce = func() string { return "0000" }
	whole := receivedEnd{end: jvend.Proven, body: peerBody}
	for _, framing := range []string{"length", "chunks", "chunks and close"} {
		response := peerResponse("0000", framing, jvend.Proven)
		for at := range len(response) {
			for _, kept := range []bool{false, true} {
				for _, resets := range []bool{false, true} {
					var cut atomic.Bool
					p.set(func(nonce string, n int) rawAnswer {
						if kept && n == 0 {
							return rawAnswer{text: peerResponse(nonce, "length", jvend.Proven)}
						}
						cut.Store(true)
						return rawAnswer{text: response[:at], closes: true, resets: resets}
					})
					got := forwardOnce(t, f)
					for !cut.Load() { // The connection was a new one.
						require.Equal(t, whole, got)
						got = forwardOnce(t, f)
					}
					require.Equal(t, jvend.Broken, got.end, "%s, cut after %d of %d bytes, kept %v, reset %v", framing, at, len(response), kept, resets)
					require.True(t, strings.HasPrefix(peerBody, got.body))
				}
			}
		}
	}
}

// TestPeerResponseEnds guards against an end that another router claims, or that is only that of its connection, and counts
// as proven at the router of the caller.
func TestPeerResponseEnds(t *testing.T) {
	for _, c := range []struct {
		framing string
		said    jvend.End
		want    jvend.End
	}{
		{"length", jvend.Proven, jvend.Proven},
		{"length", jvend.Claimed, jvend.Claimed},
		{"chunks", jvend.Proven, jvend.Proven},
		{"chunks", jvend.Claimed, jvend.Claimed},
		{"chunks and close", jvend.Proven, jvend.Proven},
		{"none", jvend.Proven, jvend.Claimed},
		{"none", jvend.Claimed, jvend.Claimed},
		{"none, HTTP/1.0", jvend.Proven, jvend.Claimed},
	} {
		t.Run(c.framing+", "+c.said.String(), func(t *testing.T) {
			f := newFixture(t)
			p := newRawPeer(t, f)
			p.set(func(nonce string, _ int) rawAnswer {
				return rawAnswer{text: peerResponse(nonce, c.framing, c.said), closes: true}
			})
			require.Equal(t, receivedEnd{end: c.want, body: peerBody}, forwardOnce(t, f))
		})
	}
}

// TestEarlierBuildsResponse guards against an end that counts as claimed or broken since a router of an earlier build says
// nothing about it: only a response without a length has the field.
func TestEarlierBuildsResponse(t *testing.T) {
	f := newFixture(t)
	p := newRawPeer(t, f)
	for _, unframed := range []bool{false, true} {
		head := map[string]any{"status": http.StatusOK, "signed": true}
		want := jvend.Proven
		if unframed {
			head["unframed"] = true
			want = jvend.Claimed
		}
		p.set(func(nonce string, _ int) rawAnswer {
			head["for"] = nonce
			text := string(encodeHead(head)) + "x"
			return rawAnswer{text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)}
		})
		require.Equal(t, receivedEnd{end: want, body: "x"}, forwardOnce(t, f))
	}
}

// attemptMessage returns the bytes of an attempt.
func attemptMessage(nonce string) string {
	const body = "body"
	hash := sha256.Sum256([]byte(body))
	head := newAttemptHead(newDispatch())
	head.From, head.To, head.Nonce, head.BodyHash = "a", "b", nonce, hash[:]
	encoded := encodeHead(head)
	tag, _ := signerFake{"word"}.Sign(encoded[lengthBytes:])
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: b\r\nConnection: close\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s%s", path, tagHeader, tag, len(encoded)+len(body), encoded, body)
}

// TestAttemptCuts guards against an attempt that runs although its message broke off, after any of its bytes.
func TestAttemptCuts(t *testing.T) {
	f := newFixture(t)
	var served atomic.Int64
	f.serve = func(context.Context, jvrelay.Dispatch, string) (*jvrelay.Response, error) {
		served.Add(1)
		return &jvrelay.Response{Status: http.StatusOK, Body: http.NoBody, End: jvend.Proven}, nil
	}
	nonces := 0
	send := func(size int, resets bool) {
		nonces++
		message := attemptMessage(fmt.Sprintf("%06d", nonces))
		c, err := net.Dial("tcp", f.http.Listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(c, message[:min(size, len(message))])
		require.NoError(t, err)
		if resets {
			require.NoError(t, c.(*net.TCPConn).SetLinger(0))
		} else {
			require.NoError(t, c.(*net.TCPConn).CloseWrite())
			_, _ = io.Copy(io.Discard, c) // Until the server has closed the connection.
		}
		require.NoError(t, c.Close())
	}
	whole := len(attemptMessage("000000"))
	for size := range whole {
		send(size, false)
		send(size, true)
	}
	send(whole, false)
	f.http.Close() // It waits for all requests.
	require.EqualValues(t, 1, served.Load(), "the whole one only")
}
