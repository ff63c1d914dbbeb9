package jvfleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

const (
	// maxKey is the length of an Idempotency-Key, in bytes.
	maxKey = 255
	// prefixBytes is the part of a prompt by which requests are sent to the same target.
	prefixBytes = 1024
)

// Incoming is a caller's request as it came.
type Incoming struct {
	Authorization string
	Key           string
	Content       string
	Body          []byte
	// Service, Method and Path are set for a call of a plain service.
	Service string
	Method  string
	Path    string
}

// chatBody is the part of a chat request that the router reads; other fields that clients
// send are passed over.
type chatBody struct {
	Model         string          `json:"model"`
	Messages      json.RawMessage `json:"messages"`
	Stream        bool            `json:"stream"`
	MaxTokens     *int64          `json:"max_tokens"`
	MaxCompletion *int64          `json:"max_completion_tokens"`
	N             *int            `json:"n"`
}

// chatMessage is one message of a chat request.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat admits a model request: it checks the caller, the profile and the body. The second
// result tells whether the answer is to be streamed.
func (f *Fleet) Chat(in Incoming) (*Request, bool, *Problem) {
	q, catalog, p := f.begin(in, "chat")
	if p != nil {
		return q, false, p
	}
	body, p := parseChat(in.Body)
	if p != nil {
		return q, false, f.refused(q, p)
	}
	profile, ok := catalog.Profile(body.Model)
	switch {
	case !ok:
		return q, false, f.refuse(q, ProblemMissing, 0, fmt.Sprintf("there is no profile %.64q: name one in the field model", body.Model))
	case profile.Workspace != q.Workspace:
		return q, false, f.refuse(q, ProblemForbidden, 0, fmt.Sprintf("profile %s belongs to another workspace", profile.Name))
	}
	q.Model = &ModelRequest{
		Profile:  profile,
		Messages: body.Messages,
		Output:   body.output(profile),
		Prefix:   prefixOf(body.Messages),
	}
	q.Deadline = q.Arrived.Add(profile.Timeout())
	return q, body.Stream, nil
}

// Call admits a call of a plain service.
func (f *Fleet) Call(in Incoming) (*Request, *Problem) {
	q, catalog, p := f.begin(in, "call", in.Service, in.Method, in.Path, in.Content)
	if p != nil {
		return q, p
	}
	pool, ok := catalog.Pool(in.Service)
	switch {
	case !ok || pool.Kind != jvconfig.PoolService:
		return q, f.refuse(q, ProblemMissing, 0, fmt.Sprintf("there is no service %.64q", in.Service))
	case !catalog.MayCall(q.Workspace, pool.Name):
		return q, f.refuse(q, ProblemForbidden, 0, fmt.Sprintf("workspace %s may not call service %s", q.Workspace, pool.Name))
	}
	rule, ok := pool.Rule(in.Method, in.Path)
	if !ok {
		return q, f.refuse(q, ProblemMissing, 0, fmt.Sprintf("service %s has no rule for %s of this path", pool.Name, in.Method))
	}
	if rule.Once && !q.Keyed {
		return q, f.refuse(q, ProblemMalformed, 0, "this call must not be repeated: send an Idempotency-Key header, the same one with each retry")
	}
	q.Call = &CallRequest{Pool: pool, Rule: rule, Method: in.Method, Path: in.Path, Content: in.Content, Body: in.Body}
	q.Deadline = q.Arrived.Add(pool.Timeout())
	return q, nil
}

// begin gives a request its id and keys and finds the caller's workspace.
func (f *Fleet) begin(in Incoming, route ...string) (*Request, *jvconfig.Catalog, *Problem) {
	q := &Request{ID: f.options.Chance.ID(), Arrived: f.options.Timer.Now()}
	q.Keyed = in.Key != ""
	catalog := f.Catalog()
	if f.stopping.Load() {
		return q, catalog, f.refuse(q, ProblemUnavailable, time.Second, "this VM is stopping: come back, another one takes the request")
	}
	if p := checkKey(in.Key); p != nil {
		return q, catalog, f.refused(q, p)
	}
	key, ok := strings.CutPrefix(in.Authorization, "Bearer ")
	workspace, known := catalog.Workspace(key)
	if !ok || !known {
		if catalog.Version() == 0 {
			return q, catalog, f.refuse(q, ProblemUnavailable, time.Second, "this VM has no configuration yet")
		}
		return q, catalog, f.refuse(q, ProblemUnauthorized, 0, "send the header Authorization: Bearer KEY with a key of your workspace")
	}
	q.Workspace = workspace.Name
	q.CallerKey = in.Key
	q.Digest = jvledger.NewKey(append(route, workspace.Name, string(in.Body))...)
	q.Key = jvledger.NewKey("id", q.ID)
	if q.Keyed {
		q.Key = jvledger.NewKey("key", workspace.Name, in.Key)
	}
	return q, catalog, nil
}

func checkKey(key string) *Problem {
	if len(key) > maxKey {
		return malformed("the Idempotency-Key is longer than %d bytes", maxKey)
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return malformed("the Idempotency-Key holds a byte that is not printable ASCII")
		}
	}
	return nil
}

// malformed is a refusal that every VM comes to by the bytes alone, so that the request can
// have run nowhere.
func malformed(format string, arguments ...any) *Problem {
	return &Problem{Name: ProblemMalformed, Message: fmt.Sprintf(format, arguments...), Outcome: jvrecord.OutcomeNotRun}
}

func parseChat(body []byte) (*chatBody, *Problem) {
	if !utf8.Valid(body) {
		return nil, malformed("the body is not valid UTF-8")
	}
	var b chatBody
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(&b); err != nil {
		return nil, malformed("the body is not a chat request in JSON: %.200s", err)
	}
	if d.More() {
		return nil, malformed("more follows after the chat request")
	}
	var messages []chatMessage
	if err := json.Unmarshal(b.Messages, &messages); err != nil || len(messages) == 0 {
		return nil, malformed("messages must be a list of at least one object with role and content, both strings")
	}
	for i, m := range messages {
		if m.Role == "" {
			return nil, malformed("messages[%d] has no role", i)
		}
	}
	switch {
	case b.Model == "":
		return nil, malformed("model is missing: name the profile there")
	case b.N != nil && *b.N != 1:
		return nil, malformed("n must be 1: one request has one answer")
	case b.MaxTokens != nil && *b.MaxTokens < 1, b.MaxCompletion != nil && *b.MaxCompletion < 1:
		return nil, malformed("max_tokens must be at least 1")
	}
	return &b, nil
}

// output returns the largest answer: what the caller allows, within the profile's maximum.
func (b *chatBody) output(p jvconfig.Profile) int64 {
	output := p.MaxOutput
	for _, limit := range []*int64{b.MaxTokens, b.MaxCompletion} {
		if limit != nil {
			output = min(output, *limit)
		}
	}
	return output
}

func prefixOf(messages []byte) string {
	return jvledger.NewKey(string(messages[:min(len(messages), prefixBytes)])).String()
}

// refuse makes a refusal whose outcome depends on whether a copy may have run elsewhere.
func (f *Fleet) refuse(q *Request, name ProblemName, retry time.Duration, message string) *Problem {
	return f.refused(q, &Problem{Name: name, Message: message, Retry: retry})
}

// refused fills in a refusal's outcome and notes it. A request without a key is known to this
// VM alone, so it has not run; another copy of one with a key may have reached another VM.
func (f *Fleet) refused(q *Request, p *Problem) *Problem {
	if p.Outcome == "" {
		p = p.WithOutcome(q.unrunOutcome())
	}
	f.note(q, jvtrace.StepAdmit, "", string(p.Name)+": "+p.Message)
	f.meter.Outcome(string(p.Outcome), string(p.Name))
	f.options.Logger.V(1).Info("request refused", "request", q.ID, "problem", p.Name, "outcome", p.Outcome)
	return p
}

// unrunOutcome is the outcome of a request that this VM has not run.
func (q *Request) unrunOutcome() jvrecord.Outcome {
	if q.Keyed {
		return jvrecord.OutcomeUnknown
	}
	return jvrecord.OutcomeNotRun
}

// note remembers a decision on a request.
func (f *Fleet) note(q *Request, step jvtrace.Step, target, why string) {
	d := jvtrace.Decision{Request: q.ID, Step: step, Target: target, Why: why}
	if q.Model != nil {
		d.Profile = q.Model.Profile.Name
	}
	f.trace.Note(d)
}
