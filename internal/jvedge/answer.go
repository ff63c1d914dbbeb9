package jvedge

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/jasminevale/jasminevale/internal/gen/models"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvflight"
)

// answerWriter writes one model answer in the format of chat clients.
type answerWriter struct {
	router   *jvfleet.Router
	flight   *jvflight.Flight
	exchange *exchange
	limits   Limits
	profile  string
	// firstIndex is the index of the first event that the caller has not received yet.
	firstIndex int64
}

// completion is a chat completion object: a whole answer, or one chunk of a stream.
type completion struct {
	ID        string     `json:"id"`
	Object    string     `json:"object"`
	Created   int64      `json:"created"`
	Model     string     `json:"model"`
	Choices   []choice   `json:"choices"`
	Usage     *usage     `json:"usage,omitempty"`
	Extension *extension `json:"jasminevale,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Message *message `json:"message,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens int64 `json:"prompt_tokens"`
	OutputTokens int64 `json:"completion_tokens"`
	TotalTokens  int64 `json:"total_tokens"`
}

// extension holds the fields that this project adds to a completion. With them a caller checks that
// the answer is complete and belongs to its request.
type extension struct {
	Outcome string `json:"outcome"`
	Request string `json:"request"`
	// Count is the number of the answer's events, Digest the SHA-256 of its text in hex.
	Count  int64  `json:"count"`
	Digest string `json:"digest"`
}

// wholeResponse waits for the end of the answer and returns it as one object.
func (a *answerWriter) wholeResponse(ctx context.Context, request string) (*models.ChatResult, io.ReadCloser, error) {
	defer a.flight.Detach()
	end, err := waitEnd(ctx, a.flight)
	if err != nil {
		return nil, nil, a.exchange.modelProblem(request, callerDisconnected())
	}
	if end.Problem != "" {
		return nil, nil, a.exchange.modelProblem(request, endProblem(end))
	}
	c := a.newCompletion("chat.completion", request)
	c.Choices = []choice{{Message: &message{Role: "assistant", Content: a.flight.Text()}, Finish: finishStop()}}
	a.close(&c, request, end)
	data, err := json.Marshal(c)
	if err != nil {
		return nil, nil, err
	}
	data = append(data, '\n')
	a.exchange.begin(http.StatusOK, len(data), jvend.Proven)
	result := &models.ChatResult{Outcome: &end.Outcome, Request: request, Content: "application/json"}
	return result, io.NopCloser(bytes.NewReader(data)), nil
}

// newCompletion returns a completion without choices.
func (a *answerWriter) newCompletion(object, request string) completion {
	return completion{
		ID:      "chatcmpl-" + request,
		Object:  object,
		Created: a.flight.StartedAt.Unix(),
		Model:   a.profile,
	}
}

// close fills in the fields that only a whole answer and the last chunk of a stream have.
func (a *answerWriter) close(c *completion, request string, end *jvflight.End) {
	c.Usage = &usage{PromptTokens: end.PromptTokens, OutputTokens: end.OutputTokens, TotalTokens: end.PromptTokens + end.OutputTokens}
	c.Extension = &extension{Outcome: end.Outcome, Request: request, Count: a.flight.Len(), Digest: end.Digest}
}

// finishStop returns the finish_reason of a complete answer.
func finishStop() *string {
	s := "stop"
	return &s
}

// streamResponse returns a body that writes events as they arrive. It waits for the first event, so
// that a request that fails before it is answered with the HTTP status of its problem.
func (a *answerWriter) streamResponse(ctx context.Context, request string) (*models.ChatResult, io.ReadCloser, error) {
	events, end, err := a.flight.Read(ctx, a.firstIndex)
	if err != nil || (end != nil && end.Problem != "" && len(events) == 0) {
		a.flight.Detach()
		problem := callerDisconnected()
		if end != nil {
			problem = endProblem(end)
		}
		return nil, nil, a.exchange.modelProblem(request, problem)
	}
	h := a.exchange.Header()
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", "Jv-Outcome")
	a.exchange.begin(http.StatusOK, -1, jvend.Proven)
	result := &models.ChatResult{Request: request, Content: "text/event-stream"}
	return result, &eventBody{writer: a, ctx: ctx, request: request}, nil
}

// eventBody writes the events of a flight as server-sent events.
type eventBody struct {
	writer  *answerWriter
	ctx     context.Context //nolint:containedctx // The request's context; io.WriterTo has no parameter for it.
	request string
	written int64
	buffer  bytes.Buffer
}

// Read implements io.Reader; goa calls WriteTo instead.
func (b *eventBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (b *eventBody) Close() error {
	b.writer.flight.Detach()
	return nil
}

// WriteTo implements io.WriterTo. It writes and flushes the events that are available, then waits
// for more. On an error, also that of an answer that is not complete, it returns at least 1, since the response's header
// may have been sent: at 0 goa would write an error response, above 0 it aborts the connection.
func (b *eventBody) WriteTo(w io.Writer) (int64, error) {
	control := http.NewResponseController(b.writer.exchange)
	for next := b.writer.firstIndex; ; {
		events, end, err := b.writer.flight.Read(b.ctx, next)
		if err != nil {
			return b.written + 1, err
		}
		for _, e := range events {
			b.addEvent(e)
		}
		next += int64(len(events))
		if end != nil {
			b.addEnd(end)
		}
		if err := b.flush(w, control); err != nil {
			return b.written + 1, err
		}
		if end != nil && end.Problem != "" {
			// Callers may look at the framing only, so it shows no end.
			return b.written + 1, endProblem(end)
		}
		if end != nil {
			b.writer.exchange.Header().Set("Jv-Outcome", end.Outcome)
			return b.written, nil
		}
	}
}

// addEvent buffers the chunk of an event.
func (b *eventBody) addEvent(e jvflight.Event) {
	c := b.writer.newCompletion("chat.completion.chunk", b.request)
	delta := &message{Content: e.Text}
	if e.Index == 0 {
		delta.Role = "assistant"
	}
	c.Choices = []choice{{Delta: delta}}
	b.buffer.WriteString("id: " + strconv.FormatInt(e.Index, 10) + "\n")
	b.addData(c)
}

// addEnd buffers the terminal event: the totals of a complete answer, or the problem that ended it.
func (b *eventBody) addEnd(end *jvflight.End) {
	if end.Problem != "" {
		b.addData(streamError{Error: streamProblem{Name: end.Problem, Message: end.Message, Outcome: end.Outcome, Request: b.request, RetryAfter: end.RetryAfter}})
		return
	}
	c := b.writer.newCompletion("chat.completion.chunk", b.request)
	c.Choices = []choice{{Delta: &message{}, Finish: finishStop()}}
	b.writer.close(&c, b.request, end)
	b.addData(c)
	b.buffer.WriteString("data: [DONE]\n\n")
}

// streamError is the terminal event of an incomplete answer.
type streamError struct {
	Error streamProblem `json:"error"`
}

type streamProblem struct {
	Name    string `json:"name"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	Request string `json:"request"`
	// RetryAfter is in seconds; 0 means that a retry does not help.
	RetryAfter int `json:"retry"`
}

// addData buffers one event whose data is the JSON encoding of v.
func (b *eventBody) addData(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	b.buffer.WriteString("data: ")
	b.buffer.WriteString(strings.ReplaceAll(string(data), "\n", ""))
	b.buffer.WriteString("\n\n")
}

// flush writes the buffer to the caller. It fails if the caller reads nothing for WriteTimeout.
func (b *eventBody) flush(w io.Writer, control *http.ResponseController) error {
	_ = control.SetWriteDeadline(b.writer.router.Now().Add(b.writer.limits.WriteTimeout))
	n, err := w.Write(b.buffer.Bytes())
	b.written += int64(n)
	b.buffer.Reset()
	if err != nil {
		return err
	}
	return control.Flush()
}

var _ io.WriterTo = (*eventBody)(nil)
