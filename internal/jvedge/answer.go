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
	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvflight"
)

// answer writes one model answer in the form that chat clients use.
type answer struct {
	fleet    *jvfleet.Router
	flight   *jvflight.Flight
	exchange *exchange
	limits   Limits
	profile  string
	// from is the index of the first event that the caller lacks.
	from int64
}

// completion is a chat answer, whole or one chunk of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	Fleet   *proof   `json:"jasminevale,omitempty"`
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
	Prompt int64 `json:"prompt_tokens"`
	Output int64 `json:"completion_tokens"`
	Total  int64 `json:"total_tokens"`
}

// proof lets a caller check that the answer is whole and its own.
type proof struct {
	Outcome string `json:"outcome"`
	Request string `json:"request"`
	// Count is the number of events, Digest the SHA-256 of the answer's text in hex.
	Count  int64  `json:"count"`
	Digest string `json:"digest"`
}

// whole waits for the answer's end and returns it as one object.
func (a *answer) whole(ctx context.Context, request string) (*models.ChatResult, io.ReadCloser, error) {
	defer a.flight.Detach()
	end, err := waitEnd(ctx, a.flight)
	if err != nil {
		return nil, nil, a.exchange.modelProblem(request, callerLeft())
	}
	if end.Problem != "" {
		return nil, nil, a.exchange.modelProblem(request, endProblem(end))
	}
	c := a.frame("chat.completion", request)
	c.Choices = []choice{{Message: &message{Role: "assistant", Content: a.flight.Text()}, Finish: stopped()}}
	a.close(&c, request, end)
	data, err := json.Marshal(c)
	if err != nil {
		return nil, nil, err
	}
	result := &models.ChatResult{Outcome: &end.Outcome, Request: request, Content: "application/json"}
	return result, io.NopCloser(bytes.NewReader(append(data, '\n'))), nil
}

func (a *answer) frame(object, request string) completion {
	return completion{
		ID:      "chatcmpl-" + request,
		Object:  object,
		Created: a.flight.StartedAt.Unix(),
		Model:   a.profile,
	}
}

func (a *answer) close(c *completion, request string, end *jvflight.End) {
	c.Usage = &usage{Prompt: end.PromptTokens, Output: end.OutputTokens, Total: end.PromptTokens + end.OutputTokens}
	c.Fleet = &proof{Outcome: end.Outcome, Request: request, Count: a.flight.Len(), Digest: end.Digest}
}

func stopped() *string {
	s := "stop"
	return &s
}

// stream waits for the first event, so that a refusal still has its own status, and returns
// a body that writes events as they come.
func (a *answer) stream(ctx context.Context, request string) (*models.ChatResult, io.ReadCloser, error) {
	events, end, err := a.flight.Read(ctx, a.from)
	if err != nil || (end != nil && end.Problem != "" && len(events) == 0) {
		a.flight.Detach()
		problem := callerLeft()
		if end != nil {
			problem = endProblem(end)
		}
		return nil, nil, a.exchange.modelProblem(request, problem)
	}
	h := a.exchange.Header()
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", "Jv-Outcome")
	result := &models.ChatResult{Request: request, Content: "text/event-stream"}
	return result, &eventBody{answer: a, ctx: ctx, request: request}, nil
}

// eventBody writes a flight as server-sent events.
type eventBody struct {
	answer  *answer
	ctx     context.Context //nolint:containedctx // It is the request's own, which io.WriterTo has no place for.
	request string
	written int64
	buffer  bytes.Buffer
}

// Read implements io.Reader; goa calls WriteTo instead.
func (b *eventBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (b *eventBody) Close() error {
	b.answer.flight.Detach()
	return nil
}

// WriteTo implements io.WriterTo: it writes all events that are there, then waits for more.
func (b *eventBody) WriteTo(w io.Writer) (int64, error) {
	control := http.NewResponseController(b.answer.exchange)
	for next := b.answer.from; ; {
		events, end, err := b.answer.flight.Read(b.ctx, next)
		if err != nil {
			return b.written + 1, err
		}
		for _, e := range events {
			b.event(e)
		}
		next += int64(len(events))
		if end != nil {
			b.last(end)
		}
		if err := b.flush(w, control); err != nil {
			return b.written + 1, err
		}
		if end != nil {
			b.answer.exchange.Header().Set("Jv-Outcome", end.Outcome)
			return b.written, nil
		}
	}
}

func (b *eventBody) event(e jvflight.Event) {
	c := b.answer.frame("chat.completion.chunk", b.request)
	delta := &message{Content: e.Text}
	if e.Index == 0 {
		delta.Role = "assistant"
	}
	c.Choices = []choice{{Delta: delta}}
	b.buffer.WriteString("id: " + strconv.FormatInt(e.Index, 10) + "\n")
	b.data(c)
}

// last writes the terminal event: count and digest of a whole answer, or what cut it short.
func (b *eventBody) last(end *jvflight.End) {
	if end.Problem != "" {
		b.data(streamError{Error: streamProblem{Name: end.Problem, Message: end.Message, Outcome: end.Outcome, Request: b.request, Retry: end.RetryAfter}})
		return
	}
	c := b.answer.frame("chat.completion.chunk", b.request)
	c.Choices = []choice{{Delta: &message{}, Finish: stopped()}}
	b.answer.close(&c, b.request, end)
	b.data(c)
	b.buffer.WriteString("data: [DONE]\n\n")
}

// streamError is the terminal event of an answer that is not whole.
type streamError struct {
	Error streamProblem `json:"error"`
}

type streamProblem struct {
	Name    string `json:"name"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	Request string `json:"request"`
	Retry   int    `json:"retry"`
}

func (b *eventBody) data(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	b.buffer.WriteString("data: ")
	b.buffer.WriteString(strings.ReplaceAll(string(data), "\n", ""))
	b.buffer.WriteString("\n\n")
}

// flush writes what is buffered; a caller that takes nothing for too long is given up.
func (b *eventBody) flush(w io.Writer, control *http.ResponseController) error {
	_ = control.SetWriteDeadline(b.answer.fleet.Now().Add(b.answer.limits.WriteTimeout))
	n, err := w.Write(b.buffer.Bytes())
	b.written += int64(n)
	b.buffer.Reset()
	if err != nil {
		return err
	}
	return control.Flush()
}

var _ io.WriterTo = (*eventBody)(nil)
