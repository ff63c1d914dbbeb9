package jvrelay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvroute"
)

// answer is a target's response to one attempt.
type answer struct {
	status   int
	header   http.Header
	body     string
	unframed bool
	// cut ends the body with an error.
	cut      bool
	unsigned bool
}

// endOf returns the end of a response without a length if unframed is true.
func endOf(unframed bool) jvend.End {
	if unframed {
		return jvend.Claimed
	}
	return jvend.Proven
}

// answerSender answers attempts in order and records them.
type answerSender struct {
	answers []func(d Dispatch) answer
	sent    []Dispatch
}

func (s *answerSender) Probe(context.Context, jvconfig.Target) ProbeResult { return ProbeAccepted }

func (s *answerSender) Send(_ context.Context, d Dispatch) (*Response, error) {
	n := len(s.sent)
	s.sent = append(s.sent, d)
	if n >= len(s.answers) {
		return nil, jvfault.Newf("send", KindBroken, "no answer is left")
	}
	a := s.answers[n](d)
	body := io.Reader(strings.NewReader(a.body))
	if a.cut {
		body = io.MultiReader(body, iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	if a.header == nil {
		a.header = http.Header{}
	}
	return &Response{Status: a.status, Header: a.header, Body: io.NopCloser(body), Signed: !a.unsigned, End: endOf(a.unframed)}, nil
}

// callerRecord is what a caller received.
type callerRecord struct {
	statuses []int
	body     bytes.Buffer
	refused  *Problem
	aborted  int
	shown    jvend.End
}

func (c *callerRecord) Begin(status int, _ http.Header, _ int64, end jvend.End) {
	c.shown = end
	c.statuses = append(c.statuses, status)
}

func (c *callerRecord) Write(p []byte) error {
	_, err := c.body.Write(p)
	return err
}

func (c *callerRecord) Refuse(p Problem) { c.refused = &p }

func (c *callerRecord) End(e jvend.End) {
	if e == jvend.Broken || !e.Shows(c.shown) {
		c.aborted++
	}
}

// serveAnswers sends a request with three attempts, to a route of a kind that may be repeated, to targets that answer
// in order.
func serveAnswers(t *testing.T, kind jvroute.Kind, change func(o *Options), answers ...func(d Dispatch) answer) (*callerRecord, *answerSender) {
	s := &answerSender{answers: answers}
	f := newFixtureWith(t, func(o *Options) {
		o.Sender = s
		change(o)
	})
	f.relay.Configure(jvroute.NewTable(2, jvroute.Limits{}).WithPools([]jvroute.Pool{{Name: "p"}}).WithRoutes([]jvroute.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: kind, Timeout: 3 * time.Second, MaxAttempts: 3, Resumable: kind == jvroute.KindStream,
		Pools: []jvroute.WeightedPool{{Pool: "p", Weight: 1}},
	}}))
	c := &callerRecord{}
	f.relay.Serve(t.Context(), &Request{ID: "r", Method: "POST", Host: "h", Path: "/x", URI: "/x", ArrivedAt: time.Now(), Deadline: time.Now().Add(time.Minute)}, c)
	return c, s
}

// fixed answers each attempt alike.
func fixed(a answer) func(Dispatch) answer {
	return func(Dispatch) answer { return a }
}

// soundEvents is the number of events of sound streams.
const soundEvents = 6

// soundRest returns the events of a sound stream after one.
func soundRest(after int) string {
	var b strings.Builder
	for n := after + 1; n <= soundEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: sound\n\n", n)
	}
	return b.String()
}

// TestEventsWithoutPlace guards against events that come twice or in the wrong place when a stream goes on at another
// target after an event whose place is not known (issue 27).
func TestEventsWithoutPlace(t *testing.T) {
	for _, c := range []struct {
		name  string
		first string
		next  string
		want  string
	}{
		{"events without IDs", "data: a\n\ndata: b\n\n", "data: a\n\ndata: b\n\ndata: c\n\n", "data: a\n\ndata: b\n\n... cut"},
		{"one event without an ID", "id: 1\ndata: a\n\ndata: b\n\n", "id: 2\ndata: c\n\n", "id: 1\ndata: a\n\ndata: b\n\n... cut"},
		{"long ID", "id: 1" + strings.Repeat(" ", 2*eventReadBytes) + "0\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 1" + strings.Repeat(" ", 2*eventReadBytes) + "0\ndata: a\n\n... cut"},
		{"signed ID", "id: +1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: +1\ndata: a\n\n... cut"},
		{"two runs", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 1\ndata: z\n\nid: 2\ndata: z\n\nid: 3\ndata: z\n\n", "id: 3\ndata: c\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"},
		{"event without an ID in its place", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\ndata: end\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: end\n\n"},
		{"end is lost", soundRest(0), "", soundRest(0) + "... cut"},
		{"end is lost, the last event comes again", soundRest(0), soundRest(soundEvents - 1), soundRest(0)},
		{"only comments", ": wait\n\n", "", ": wait\n\n... cut"},
	} {
		t.Run(c.name, func(t *testing.T) {
			caller, _ := serveAnswers(t, jvroute.KindStream, func(*Options) {},
				fixed(answer{status: http.StatusOK, body: c.first, cut: true}), fixed(answer{status: http.StatusOK, body: c.next}))
			got := caller.body.String()
			if caller.aborted > 0 {
				got += "... cut"
			}
			require.Equal(t, c.want, got)
			require.Len(t, caller.statuses, 1)
		})
	}
}

// TestEndOfFramedStream guards against the end of a connection that reaches the caller as the end of its stream: the
// stream began in a framing that shows its end, and goes on at a target whose response has none.
func TestEndOfFramedStream(t *testing.T) {
	begun := fixed(answer{status: http.StatusOK, body: strings.Join(strings.SplitAfter(soundRest(0), "\n\n")[:2], ""), cut: true})
	early := fixed(answer{status: http.StatusOK, body: strings.TrimSuffix(soundRest(2), soundRest(4)), unframed: true})
	rest := func(after int) func(Dispatch) answer {
		return fixed(answer{status: http.StatusOK, body: soundRest(after)})
	}
	unframed := fixed(answer{status: http.StatusOK, body: soundRest(2), unframed: true})
	for _, c := range []struct {
		name    string
		answers []func(Dispatch) answer
		want    string
	}{
		{"ends early, no other target", []func(Dispatch) answer{begun, early}, strings.TrimSuffix(soundRest(0), soundRest(4)) + "... cut"},
		{"ends early, another target goes on", []func(Dispatch) answer{begun, early, rest(4)}, soundRest(0)},
		{"whole, another target has no more events", []func(Dispatch) answer{begun, unframed, rest(soundEvents)}, soundRest(0)},
		{"whole, another target says so without a length", []func(Dispatch) answer{begun, unframed, fixed(answer{status: http.StatusOK, unframed: true})}, soundRest(0) + "... cut"},
		{"whole, another target breaks off", []func(Dispatch) answer{begun, unframed, fixed(answer{status: http.StatusOK, cut: true})}, soundRest(0) + "... cut"},
		{"whole, no other target", []func(Dispatch) answer{begun, unframed}, soundRest(0) + "... cut"},
	} {
		t.Run(c.name, func(t *testing.T) {
			caller, _ := serveAnswers(t, jvroute.KindStream, func(*Options) {}, c.answers...)
			got := caller.body.String()
			if caller.aborted > 0 {
				got += "... cut"
			}
			require.Equal(t, c.want, got)
		})
	}
}

// TestEndOfPlainResponse guards against a plain response that ends with its connection and reaches the caller in a framing
// that shows its end, and against a success whose target has ended after the head.
func TestEndOfPlainResponse(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []func(Dispatch) answer
		shown   jvend.End
		want    string
	}{
		{"framed", []func(Dispatch) answer{fixed(answer{status: http.StatusOK, body: "whole"})}, jvend.Proven, "whole"},
		{"unframed", []func(Dispatch) answer{fixed(answer{status: http.StatusOK, body: "whole", unframed: true})}, jvend.Claimed, "whole"},
		{"longer than the buffer", []func(Dispatch) answer{fixed(answer{status: http.StatusOK, body: "whole, and more", unframed: true})}, jvend.Claimed, "whole, and more"},
		{"failure without a body", []func(Dispatch) answer{fixed(answer{status: http.StatusNotFound, unframed: true})}, jvend.Claimed, ""},
		{"head only, then whole", []func(Dispatch) answer{fixed(answer{status: http.StatusOK, unframed: true}), fixed(answer{status: http.StatusOK, body: "whole"})}, jvend.Proven, "whole"},
		{"empty, framed", []func(Dispatch) answer{fixed(answer{status: http.StatusOK})}, jvend.Proven, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			caller, sender := serveAnswers(t, jvroute.KindSafe, func(o *Options) { o.MaxBufferedBytes = 10 }, c.answers...)
			require.Nil(t, caller.refused)
			require.Equal(t, c.shown, caller.shown)
			require.Equal(t, c.want, caller.body.String())
			require.Zero(t, caller.aborted)
			require.Len(t, sender.sent, len(c.answers))
		})
	}
	caller, _ := serveAnswers(t, jvroute.KindUnsafe, func(*Options) {}, fixed(answer{status: http.StatusOK, unframed: true}))
	require.Equal(t, http.StatusBadGateway, caller.refused.Status)
}

// TestLongResponses guards against bytes of two responses in one: a response that exceeds the buffer is forwarded as it
// arrives, and breaks off midway (issue 27).
func TestLongResponses(t *testing.T) {
	const buffer = 10
	text := strings.Repeat("a", 3*buffer)
	for _, c := range []struct {
		name   string
		kind   jvroute.Kind
		status int
		next   answer
	}{
		{"safe", jvroute.KindSafe, http.StatusOK, answer{status: http.StatusOK, body: "next"}},
		{"safe, then a long one", jvroute.KindSafe, http.StatusOK, answer{status: http.StatusOK, body: strings.Repeat("b", 3*buffer)}},
		{"safe, then a failure", jvroute.KindSafe, http.StatusOK, answer{status: http.StatusNotFound}},
		{"failure of a stream, then a stream", jvroute.KindStream, http.StatusNotFound, answer{status: http.StatusOK, body: soundRest(0)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			caller, sender := serveAnswers(t, c.kind, func(o *Options) { o.MaxBufferedBytes = buffer },
				fixed(answer{status: c.status, body: text, cut: true}), fixed(c.next))
			require.Equal(t, []int{c.status}, caller.statuses)
			require.Equal(t, text, caller.body.String())
			require.Equal(t, 1, caller.aborted)
			require.Len(t, sender.sent, 1)
		})
	}
}

// TestLongResponseIsSlow guards against ending a long response of which the caller has the beginning, since its target
// takes longer than the time after which a request goes to another one.
func TestLongResponseIsSlow(t *testing.T) {
	const parts = 20
	synctest.Test(t, func(t *testing.T) {
		s := newFixtureWith(t, func(o *Options) {
			o.MaxBufferedBytes = 10
			o.Sender = slowSender{parts: parts}
		})
		require.Equal(t, "200 length -1: "+strings.Repeat("part", parts), s.serve(t.Context(), t, "safe", nil))
	})
}

// slowSender answers with parts that come slowly.
type slowSender struct{ parts int }

func (s slowSender) Probe(context.Context, jvconfig.Target) ProbeResult { return ProbeAccepted }

func (s slowSender) Send(ctx context.Context, _ Dispatch) (*Response, error) {
	const interval = 90 * time.Millisecond
	reader, writer := io.Pipe()
	go func() {
		for range s.parts {
			_, _ = io.WriteString(writer, "part")
			time.Sleep(interval)
		}
		_ = writer.Close()
	}()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: reader, Signed: true, End: jvend.Proven}, nil
}

// TestHeadKeepsLength guards against a response to HEAD with the length of its empty body, and against a stream that
// goes on elsewhere since it has no events.
func TestHeadKeepsLength(t *testing.T) {
	for _, c := range []struct {
		name     string
		route    string
		declared string
		want     string
	}{
		{"length", "safe", "31", "200 length 31: "},
		{"length of a stream", "stream", "31", "200 length 31: "},
		{"none", "safe", "", "200 length -1: "},
		{"none of a stream", "stream", "", "200 length -1: "},
		{"no number", "safe", "x", "200 length -1: "},
		{"negative", "safe", "-2", "200 length -1: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &answerSender{answers: []func(Dispatch) answer{fixed(answer{status: http.StatusOK, header: http.Header{"Content-Length": {c.declared}}})}}
			f := newFixtureWith(t, func(o *Options) { o.Sender = s })
			require.Equal(t, c.want, f.serve(t.Context(), t, c.route, func(q *Request) { q.Method = http.MethodHead }))
			require.Len(t, s.sent, 1)
		})
	}
}

// TestLongResponseKeepsWhatArrived guards against losing bytes of a long response that arrive together with its break.
func TestLongResponseKeepsWhatArrived(t *testing.T) {
	const long = "more bytes than the buffer has"
	for _, cut := range []bool{false, true} {
		caller, _ := serveAnswers(t, jvroute.KindSafe, func(o *Options) {
			o.Sender = bodySender{body: func() io.Reader {
				if cut {
					return iotest.DataErrReader(io.MultiReader(strings.NewReader(long), iotest.ErrReader(io.ErrUnexpectedEOF)))
				}
				return iotest.DataErrReader(strings.NewReader(long))
			}}
			o.MaxBufferedBytes = len(long) / 2
		})
		require.Equal(t, long, caller.body.String())
		require.Equal(t, cut, caller.aborted > 0)
	}
}

// bodySender answers each attempt with a body.
type bodySender struct{ body func() io.Reader }

func (bodySender) Probe(context.Context, jvconfig.Target) ProbeResult { return ProbeAccepted }

func (s bodySender) Send(context.Context, Dispatch) (*Response, error) {
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(s.body()), Signed: true, End: jvend.Proven}, nil
}
