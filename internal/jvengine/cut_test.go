package jvengine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// cut is a part of a response, and what follows it.
type cut struct {
	// Earlier is the number of whole responses on the connection before the part.
	Earlier int
	// Response is the index of the response, Bytes the number of bytes of it that are sent.
	Response, Bytes int
	Resets          bool
}

// cutTarget is a target that sends parts of responses: whole ones to the first requests of a connection, and then a part,
// after which it closes or resets the connection.
type cutTarget struct {
	listener net.Listener
	// cutOf returns the cut that a request names, responses are the bytes of the responses.
	cutOf     func(r *http.Request) cut
	responses []string
}

func newCutTarget(t *testing.T, responses []string, cutOf func(r *http.Request) cut) jvconfig.Target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &cutTarget{listener: l, cutOf: cutOf, responses: responses}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return jvconfig.Target{Name: "t", Address: l.Addr().String()}
}

func (s *cutTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		cut := s.cutOf(r)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if n < cut.Earlier {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nearlier")
			continue
		}
		_, _ = io.WriteString(c, s.responses[cut.Response][:cut.Bytes])
		if tcp, ok := c.(*net.TCPConn); ok && cut.Resets {
			_ = tcp.SetLinger(0)
		}
		return
	}
}

const (
	okHead        = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	informational = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n"
	inParallel    = 16
)

// callResponses returns whole responses of a plain service. Each body is "whole".
func callResponses() []string {
	return []string{
		okHead + "Content-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\nTarget-Load: {\"busy\":1}\r\n\r\nwhole",
		okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3;x=y\r\nole\r\n0\r\nX-Trailer: a\r\n\r\n",
		okHead + "\r\nwhole",
		"HTTP/1.0 200 OK\r\n\r\nwhole",
		okHead + "Connection: close\r\n\r\nwhole",
		informational + okHead + "Content-Length: 5\r\n\r\nwhole",
		informational + informational + okHead + "\r\nwhole",
	}
}

// TestCutCalls guards against a response of a plain service that breaks off and counts as whole: after each byte, closed
// and reset, on a new connection and after earlier responses on a kept one. The part of a response without a length is
// the answer if its connection is closed, with an end that is only claimed.
func TestCutCalls(t *testing.T) {
	responses := callResponses()
	target := newCutTarget(t, responses, func(r *http.Request) cut {
		var c cut
		require.NoError(t, json.Unmarshal([]byte(r.Header.Get("Content-Type")), &c))
		return c
	})
	var cuts []cut
	for k, r := range responses {
		for n := range len(r) + 1 {
			for earlier := range 2 {
				cuts = append(cuts, cut{earlier, k, n, false}, cut{earlier, k, n, true})
			}
		}
	}
	var mu sync.Mutex
	counts := map[string]int{}
	inEach(cuts, func(c cut) {
		timer := jvtimer.NewService()
		defer timer.Close()
		transport := &http.Transport{}
		client := NewClient(transport, timer, time.Minute)
		defer client.pooled.CloseIdleConnections()
		name, err := json.Marshal(c)
		require.NoError(t, err)
		call := Call{ID: "a", Method: http.MethodGet, Path: "/x", ContentType: string(name)}
		for range c.Earlier {
			response, err := client.Call(t.Context(), target, call)
			require.NoError(t, err)
			require.Equal(t, "earlier", string(response.Body))
		}
		response, err := client.Call(t.Context(), target, call)
		result := "error"
		if err == nil {
			result = response.End.String()
		}
		mu.Lock()
		counts[result]++
		mu.Unlock()
		if fault := callFault(c, responses[c.Response], response, err); fault != "" {
			t.Errorf("%+v of %q: %s", c, responses[c.Response], fault)
		}
	})
	t.Logf("%d cuts: %v", len(cuts), counts)
}

// callFault returns what is wrong with the result of a cut response, or "".
func callFault(c cut, whole string, response Response, err error) string {
	head, sent, hasBody := strings.Cut(strings.ReplaceAll(whole, informational, ""), "\r\n\r\n")
	framed := strings.Contains(head, "Content-Length") || strings.Contains(head, "chunked")
	sent = sent[:max(0, len(sent)-(len(whole)-c.Bytes))]
	want := ""
	switch {
	case err == nil && string(response.Body) == "earlier" && c.Earlier > 0 && c.Bytes == 0:
		return "" // The transport repeats a GET on a new connection if the kept one closes before a byte.
	case framed && c.Bytes == len(whole):
		want = "proven whole"
	case !framed && hasBody && sent != "" && !c.Resets:
		want = "claimed " + sent
	}
	got := ""
	if err == nil {
		got = response.End.String() + " " + string(response.Body)
	} else if kind := jvfault.KindOf[Kind](err); kind != KindBroken {
		got = string(kind)
	}
	if got != want {
		return fmt.Sprintf("got %q, expected %q: %v", got, want, err)
	}
	return ""
}

// inEach runs a function for each cut, some at a time.
func inEach(cuts []cut, run func(c cut)) {
	var running sync.WaitGroup
	next := make(chan cut)
	for range inParallel {
		running.Go(func() {
			for c := range next {
				run(c)
			}
		})
	}
	for _, c := range cuts {
		next <- c
	}
	close(next)
	running.Wait()
}

// TestCutAnswers guards against an answer of an engine that breaks off and counts as whole: after each byte, closed and
// reset, whatever its framing. Only its last line with the digest of its text ends it.
func TestCutAnswers(t *testing.T) {
	lines := []string{line(0, "x"), line(1, "y"), lastLine(2, "xy")}
	whole := strings.Join(lines, "")
	chunks := ""
	for _, l := range lines {
		chunks += fmt.Sprintf("%x\r\n%s\r\n", len(l), l)
	}
	responses := []string{
		okHead + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n",
		fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", okHead, len(whole), whole),
		okHead + "\r\n" + whole,
		informational + okHead + "\r\n" + whole,
		"HTTP/1.0 200 OK\r\n\r\n" + whole,
	}
	target := newCutTarget(t, responses, func(r *http.Request) cut {
		var a Attempt
		require.NoError(t, json.NewDecoder(r.Body).Decode(&a))
		var c cut
		require.NoError(t, json.Unmarshal([]byte(a.Model), &c))
		return c
	})
	timer := jvtimer.NewService()
	t.Cleanup(timer.Close)
	client := NewClient(&http.Transport{}, timer, time.Minute)
	var cuts []cut
	for k, r := range responses {
		for n := range len(r) + 1 {
			cuts = append(cuts, cut{0, k, n, false}, cut{0, k, n, true})
		}
	}
	var mu sync.Mutex
	wholeAnswers := 0
	inEach(cuts, func(c cut) {
		name, err := json.Marshal(c)
		require.NoError(t, err)
		var text strings.Builder
		usage, err := client.Generate(t.Context(), target, Attempt{ID: "a", Model: string(name), MaxOutput: 10}, func(s string) { text.WriteString(s) })
		r := responses[c.Response]
		hasEnd := c.Bytes >= strings.LastIndex(r, "}")+1
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			wholeAnswers++
		}
		switch {
		case hasEnd != (err == nil), text.String() != "xy"[:min(2, text.Len())]:
			t.Errorf("%+v of %q: text %q, error %v", c, r, text.String(), err)
		case err == nil && (text.String() != "xy" || usage.OutputTokens != 2):
			t.Errorf("%+v of %q: whole with text %q and usage %+v", c, r, text.String(), usage)
		case err != nil && jvfault.KindOf[Kind](err) != KindBroken:
			t.Errorf("%+v of %q: %v", c, r, err)
		}
	})
	t.Logf("%d cuts: %d whole answers", len(cuts), wholeAnswers)
}
