package jvcaller

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvstandin"
)

// Caller sends jobs to routers and checks their responses.
type Caller struct {
	// Routers are the base URLs of the routers' ports for callers, Key is the workspace's key.
	Routers []string
	Key     string
	HTTP    *http.Client
	// MaxAttempts is the maximum number of times that a job is sent, each time to the next
	// router; less than 1 means 1.
	MaxAttempts int
	// Pause is the delay between attempts; the value of Retry-After does not change it.
	Pause time.Duration
}

// Run sends a job, and retries it with the same key at the next router until it has a final
// result or MaxAttempts is reached.
func (c *Caller) Run(ctx context.Context, j Job) Result {
	started := time.Now()
	r := Result{Job: j}
	for attempt := 0; attempt < max(c.MaxAttempts, 1); attempt++ {
		if attempt > 0 {
			sleep(ctx, c.Pause)
		}
		r.Attempts = attempt + 1
		r.Outcome, r.Problem, r.Message, r.Defect = "", "", "", ""
		router := c.Routers[(j.FirstRouter+attempt)%len(c.Routers)]
		c.attempt(ctx, router, &r, started)
		r.Total = time.Since(started)
		if r.Served() || r.isFinal() || ctx.Err() != nil {
			return r
		}
	}
	return r
}

// isFinal reports whether a retry with the same key would not help. A booking or charge with the
// outcome notrun is final, since its key may be used up: the fleet then never runs it.
func (r *Result) isFinal() bool {
	if r.Outcome == "unknown" && r.RetryAfter > 0 {
		return false
	}
	switch r.Problem {
	case "", "unreachable", "broken", "overloaded", "unavailable", "deadline", "failed":
		return r.Outcome == "notrun" && !r.Job.IsModel() && r.Job.Kind != KindLookup
	}
	return true
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// messages returns the encoded messages of a model job exactly as they are sent.
func (j Job) messages() []byte {
	text := fmt.Sprintf("%s %d %s %s", j.Kind, j.Number, j.Key, j.Text)
	if pad := j.PromptBytes - len(text); pad > 0 {
		text = strings.Repeat("history of loans ", pad/17+1)[:pad] + text
	}
	data, _ := json.Marshal([]map[string]string{{"role": "user", "content": text}})
	return data
}

// WorstCase returns the maximum number of tokens that a model job can use, which a router
// reserves: one for each byte of the messages, and the output.
func (j Job) WorstCase() int64 { return int64(len(j.messages())) + j.MaxTokens }

func (c *Caller) newRequest(ctx context.Context, router string, j Job) (*http.Request, error) {
	method, url, body := http.MethodPost, router+"/v1/chat/completions", []byte(nil)
	switch {
	case j.IsModel():
		body = []byte(fmt.Sprintf(`{"model":%q,"messages":%s,"stream":%t,"max_tokens":%d}`, j.Profile, j.messages(), j.Kind == KindChat, j.MaxTokens))
	case j.Kind == KindLookup:
		method, url = http.MethodGet, fmt.Sprintf("%s/v1/services/%s/stock/%d", router, j.Service, j.Number)
	default:
		url = fmt.Sprintf("%s/v1/services/%s/%ss", router, j.Service, j.Kind)
		body = []byte(fmt.Sprintf(`{"number":%d,"text":%q}`, j.Number, j.Text))
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "application/json")
	if j.Key != "" {
		request.Header.Set("Idempotency-Key", j.Key)
	}
	return request, nil
}

// attempt sends the job to one router and sets the fields of r from the response.
func (c *Caller) attempt(ctx context.Context, router string, r *Result, started time.Time) {
	request, err := c.newRequest(ctx, router, r.Job)
	if err != nil {
		r.Problem, r.Message = "broken", err.Error()
		return
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		r.Problem, r.Message = "unreachable", err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	r.Status = response.StatusCode
	r.Outcome = response.Header.Get("Jv-Outcome")
	r.RequestID = response.Header.Get("Jv-Request")
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	r.RetryAfter = time.Duration(seconds) * time.Second
	switch {
	case strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		r.readStream(response, started)
	default:
		r.readResponse(response, started)
	}
}

// responseBody is the part of an answer, a stream event or an error that a caller reads.
type responseBody struct {
	Name    string `json:"name"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Total int64 `json:"total_tokens"`
	} `json:"usage"`
	// Extension is what a router adds to the chat protocol.
	Extension *struct {
		Outcome string `json:"outcome"`
		Count   int64  `json:"count"`
		Digest  string `json:"digest"`
	} `json:"jasminevale"`
	Error *struct {
		Name    string `json:"name"`
		Message string `json:"message"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// readResponse reads a response that is not a stream.
func (r *Result) readResponse(response *http.Response, started time.Time) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		r.Outcome, r.Problem, r.Message = "", "broken", err.Error()
		return
	}
	if r.Job.ReadDelay > 0 {
		time.Sleep(r.Job.ReadDelay)
	}
	var b responseBody
	fromRouter := r.Outcome != "done" || r.Job.IsModel()
	if fromRouter {
		if err := json.Unmarshal(data, &b); err != nil {
			r.Problem, r.Message = "broken", err.Error()
			return
		}
	}
	if r.Outcome != "done" || b.Name != "" {
		r.Problem, r.Message = b.Name, b.Message
		return
	}
	r.FirstToken = time.Since(started)
	if !r.Job.IsModel() {
		r.Body = string(data)
		r.checkServiceResponse()
		return
	}
	if len(b.Choices) == 1 && b.Usage != nil {
		r.Tokens = b.Usage.Total
		r.checkAnswer(b.Choices[0].Message.Content, b)
		return
	}
	r.Defect = "cut: no choice or no usage"
}

// checkServiceResponse sets the defect if a plain service's response does not match the call.
func (r *Result) checkServiceResponse() {
	var a jvstandin.ServiceResponse
	if err := json.Unmarshal([]byte(r.Body), &a); err != nil {
		r.Defect = "cut: " + err.Error()
		return
	}
	if r.Job.Kind != KindLookup && (a.Key != r.Job.Key || !strings.Contains(a.Echo, fmt.Sprintf(`"number":%d,`, r.Job.Number))) {
		r.Defect = "crossed: the response belongs to another call"
	}
	if r.Job.Kind == KindLookup && a.Path != fmt.Sprintf("/stock/%d", r.Job.Number) {
		r.Defect = "crossed: the response belongs to another lookup"
	}
}

// checkAnswer sets the defect if text is not the complete answer to the job's prompt, or if the
// digest in b does not match it.
func (r *Result) checkAnswer(text string, b responseBody) {
	r.Defect = jvstandin.CheckAnswer(r.Job.messages(), r.Job.MaxTokens, text)
	d := sha256.Sum256([]byte(text))
	if r.Defect == "" && (b.Extension == nil || b.Extension.Digest != hex.EncodeToString(d[:])) {
		r.Defect = "cut: the digest does not match"
	}
}

// readStream reads a stream of server-sent events until its end or an error.
func (r *Result) readStream(response *http.Response, started time.Time) {
	var text strings.Builder
	last := started
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 1<<20)
	r.Outcome = ""
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var b responseBody
		if err := json.Unmarshal([]byte(data), &b); err != nil {
			r.Problem, r.Message = "broken", err.Error()
			return
		}
		switch {
		case b.Error != nil:
			r.Outcome, r.Problem, r.Message = b.Error.Outcome, b.Error.Name, b.Error.Message
			return
		case b.Extension != nil:
			r.Outcome = b.Extension.Outcome
			if b.Usage != nil {
				r.Tokens = b.Usage.Total
			}
			r.checkAnswer(text.String(), b)
			continue
		case len(b.Choices) == 1:
			now := time.Now()
			if text.Len() == 0 {
				r.FirstToken = now.Sub(started)
			} else {
				r.Gaps = append(r.Gaps, now.Sub(last))
			}
			last = now
			text.WriteString(b.Choices[0].Delta.Content)
		}
		if r.Job.ReadDelay > 0 {
			time.Sleep(r.Job.ReadDelay)
		}
	}
	if r.Outcome == "" {
		r.Problem, r.Message = "broken", fmt.Sprintf("the stream ended early: %v", lines.Err())
	}
}
