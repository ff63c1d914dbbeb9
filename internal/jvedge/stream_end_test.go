package jvedge_test

import (
	"crypto/sha256"
	"encoding/hex"
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
	"github.com/jasminevale/jasminevale/internal/jvengine"
)

// chat sends a model request and reads the response.
func (f *endFleet) chat(router int, p transport, profile, key string, stream bool) view {
	return f.send(router, p, chatRequest(p, profile, key, stream))
}

func chatRequest(p transport, profile, key string, stream bool) string {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, profile, stream, key)
	return fmt.Sprintf("POST /v1/chat/completions %s\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", p.protocol, callerKey, key, len(body), body)
}

const (
	answerTokens = 6
	tokensSent   = 3
	// inParallel limits the cases that run at once.
	inParallel = 32
)

// answerCase is one way in which an engine's answer is framed and ends.
type answerCase struct {
	name string
	// framing is chunks, length or none.
	framing string
	// tokens is the number of lines with text, last what follows them: the last line, if it begins with done.
	tokens int
	last   string
	end    ending
	whole  bool
}

func answerCases() []answerCase {
	var cases []answerCase
	for _, framing := range []string{"chunks", "length", "none"} {
		cases = append(cases,
			answerCase{framing + ", whole", framing, answerTokens, "done", endClose, true},
			answerCase{framing + ", whole, process ended", framing, answerTokens, "done", endStop, true},
			answerCase{framing + ", closed after the head", framing, 0, "", endClose, false},
			answerCase{framing + ", closed after a token", framing, tokensSent, "", endClose, false},
			answerCase{framing + ", closed in a line", framing, tokensSent, "part", endClose, false},
			answerCase{framing + ", closed before the last line", framing, answerTokens, "", endClose, false},
			answerCase{framing + ", reset after a token", framing, tokensSent, "", endReset, false},
			answerCase{framing + ", process ended", framing, tokensSent, "", endStop, false},
			answerCase{framing + ", error", framing, tokensSent, "error", endClose, false},
			answerCase{framing + ", another text's end", framing, tokensSent, "done of all", endClose, false},
		)
	}
	return cases
}

// respond returns the answer to an attempt.
func (c answerCase) respond(r *http.Request, body []byte) ([]string, ending) {
	if r.URL.Path != "/v1/generate" {
		return []string{"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"}, endKeep
	}
	var a jvengine.Attempt
	_ = json.Unmarshal(body, &a)
	encode := func(l jvengine.Line) string {
		l.Attempt = a.ID
		data, err := json.Marshal(l)
		if err != nil {
			panic(err) // A Line always encodes.
		}
		return string(data) + "\n"
	}
	var lines []string
	begun := strings.Count(a.Prefix, " ")
	for n := begun; n < c.tokens; n++ {
		lines = append(lines, encode(jvengine.Line{Index: int64(n - begun), Text: token(n)}))
	}
	index, text := int64(len(lines)), strings.TrimPrefix(answerText(c.tokens), a.Prefix)
	switch c.last {
	case "part":
		lines = append(lines, fmt.Sprintf(`{"attempt":%q,"ind`, a.ID))
	case "error":
		lines = append(lines, encode(jvengine.Line{Index: index, Error: "failed"}))
	case "done of all":
		text = answerText(answerTokens)
		fallthrough
	case "done":
		digest := sha256.Sum256([]byte(text))
		usage := &jvengine.Usage{PromptTokens: 1, OutputTokens: index}
		lines = append(lines, encode(jvengine.Line{Index: index, Done: true, Digest: hex.EncodeToString(digest[:]), Usage: usage}))
	}
	switch head := "HTTP/1.1 200 OK\r\n"; c.framing {
	case "chunks":
		parts := []string{head + chunkedHeader + "\r\n"}
		for _, l := range lines {
			parts = append(parts, chunk(l))
		}
		if c.whole {
			parts = append(parts, "0\r\n\r\n")
		}
		return parts, c.end
	case "length":
		length := len(strings.Join(lines, ""))
		if !c.whole {
			length += 1000
		}
		return append([]string{fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, length)}, lines...), c.end
	default:
		return append([]string{head + "\r\n"}, lines...), c.end
	}
}

func token(n int) string { return fmt.Sprintf("t%d ", n) }

func answerText(tokens int) string {
	text := ""
	for n := range tokens {
		text += token(n)
	}
	return text
}

// textOf returns the text in a response to a chat, and what its last event or its body names: done, an error, or nothing.
func textOf(v view) (text, last string) {
	for _, data := range strings.Split(v.body, "\n") {
		data = strings.TrimPrefix(data, "data: ")
		if data == "[DONE]" {
			return text, "done"
		}
		var b struct {
			Object  string
			Choices []struct {
				Delta, Message struct{ Content string }
			}
			Error *struct{ Outcome string }
		}
		if json.Unmarshal([]byte(data), &b) != nil {
			continue
		}
		if b.Error != nil {
			return text, "error " + b.Error.Outcome
		}
		for _, c := range b.Choices {
			text += c.Delta.Content + c.Message.Content
		}
		if b.Object == "chat.completion" {
			last = "done"
		}
	}
	return text, last
}

// fault returns what is wrong with a caller's view of a case, or "": an end is shown for a whole answer only.
func (c answerCase) fault(v view, p transport, stream, relayed bool) string {
	text, last := textOf(v)
	shown := endProven
	if stream && p.protocol == "HTTP/1.0" {
		shown = endClaimed
	}
	switch {
	case c.whole && v.end == shown && last == "done" && text == answerText(answerTokens):
		return ""
	case !c.whole && v.end == endRefused && (!stream || c.tokens == 0 || c.end == endStop), // A late copy finds no engine.
		v.end == endRefused && relayed && c.end == endStop: // A VM that can't learn who runs the request runs it.
		return ""
	case !c.whole && stream && c.tokens > 0 && v.end == endBroken && last == "error unknown" && text == answerText(c.tokens):
		return ""
	case !c.whole && stream && c.end == endStop && v.end == endBroken && last == "error unknown" && strings.HasPrefix(answerText(c.tokens), text):
		return "" // A relay that broke off goes on at the engine, which has ended.
	}
	return fmt.Sprintf("%s with status %d, text %q and last %q", v.end, v.status, text, last)
}

// TestAnswerEnds guards against an answer of an engine that breaks off and is framed as complete, and against another end
// for a caller that reads the same flight later or through another VM (issue 31). The event with the error arrives.
func TestAnswerEnds(t *testing.T) {
	cases, ways := answerCases(), transports()
	var pools []jvconfig.Pool
	name := func(k, n int, stream bool) string { return fmt.Sprintf("e-%d-%d-%t", k, n, stream) }
	for k, c := range cases {
		for n := range ways {
			for _, stream := range []bool{false, true} {
				target := newRawTarget(t, "i", c.respond)
				pools = append(pools, jvconfig.Pool{
					Name: name(k, n, stream), Kind: jvconfig.PoolEngine,
					Targets: []jvconfig.Target{{Name: name(k, n, stream), Zone: "a", Address: target.address, Slots: 8}},
				})
			}
		}
	}
	f := newEndFleet(t, pools, stepTimeout/2)
	type seen struct{ first, joined, relayed view }
	views := make([]seen, 2*len(cases)*len(ways))
	index := func(k, n int, stream bool) int {
		i := 2 * (k*len(ways) + n)
		if stream {
			i++
		}
		return i
	}
	var running sync.WaitGroup
	free := make(chan struct{}, inParallel)
	for k := range cases {
		for n, p := range ways {
			for _, stream := range []bool{false, true} {
				running.Go(func() {
					free <- struct{}{}
					defer func() { <-free }()
					v, pool := &views[index(k, n, stream)], name(k, n, stream)
					var reading sync.WaitGroup
					reading.Go(func() { v.first = f.chat(0, p, pool, pool, stream) })
					reading.Go(func() { v.joined = f.chat(0, p, pool, pool, stream) })
					reading.Go(func() { v.relayed = f.chat(1, p, pool, pool, stream) })
					reading.Wait()
				})
			}
		}
	}
	running.Wait()
	require.Positive(t, f.relayed(), "copies whose answer came from another VM")
	for n, p := range ways {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %t", p.name, stream), func(t *testing.T) {
				for k, c := range cases {
					t.Run(c.name, func(t *testing.T) {
						v := views[index(k, n, stream)]
						for place, seen := range map[string]view{"first": v.first, "joined": v.joined, "relayed": v.relayed} {
							require.Empty(t, c.fault(seen, p, stream, place == "relayed"), place)
						}
					})
				}
			})
		}
	}
}

// watchedConn is a connection that reports once that a text has been read, or that there is no more.
type watchedConn struct {
	net.Conn
	text string
	seen func()
	read string
}

func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read += string(p[:n])
	if c.seen != nil && (err != nil || strings.Contains(c.read, c.text)) {
		c.seen()
		c.seen = nil
	}
	return n, err
}

// TestStopInAnAnswer guards against an answer that the end of a router breaks off and that is framed as complete, and one
// whose deadline passes: the engine sends a part and then nothing.
func TestStopInAnAnswer(t *testing.T) {
	hanging := answerCase{framing: "chunks", tokens: tokensSent, end: endKeep}
	for _, stops := range []bool{true, false} {
		t.Run(fmt.Sprintf("stops %t", stops), func(t *testing.T) {
			deadline := 3 * time.Second
			if stops {
				deadline = stepTimeout
			}
			var pools []jvconfig.Pool
			for n := range transports() {
				target := newRawTarget(t, "i", hanging.respond)
				name := fmt.Sprint("e", n)
				pools = append(pools, jvconfig.Pool{Name: name, Kind: jvconfig.PoolEngine, Targets: []jvconfig.Target{{Name: name, Zone: "a", Address: target.address, Slots: 8}}})
			}
			f := newEndFleet(t, pools, deadline)
			var reading, running sync.WaitGroup
			views := make([]view, len(pools))
			for n, p := range transports() {
				c, err := f.dial(0, p)
				require.NoError(t, err)
				t.Cleanup(func() { _ = c.Close() })
				require.NoError(t, c.SetDeadline(time.Now().Add(stepTimeout)))
				_, err = io.WriteString(c, chatRequest(p, pools[n].Name, pools[n].Name, true))
				require.NoError(t, err)
				reading.Add(1)
				running.Go(func() { views[n] = readView(&watchedConn{Conn: c, text: token(tokensSent - 1), seen: reading.Done}) })
			}
			reading.Wait()
			if stops {
				f.routers[0].Close()
			}
			running.Wait()
			for n, p := range transports() {
				text, last := textOf(views[n])
				require.Equal(t, endBroken, views[n].end, p.name)
				require.Equal(t, answerText(tokensSent), text)
				require.Equal(t, "error unknown", last)
			}
		})
	}
}
