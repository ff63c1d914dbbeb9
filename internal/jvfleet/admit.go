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
	// maxKeyBytes is the maximum length of an Idempotency-Key, in bytes.
	maxKeyBytes = 255
	// prefixBytes is the length of the start of a prompt; requests that share it are sent to the
	// same target.
	prefixBytes = 1024
)

// Incoming is a caller's request before admission.
type Incoming struct {
	Authorization string
	Key           string
	ContentType   string
	Body          []byte
	// Service, Method and Path are set only for a call of a plain service.
	Service string
	Method  string
	Path    string
}

// chatBody is the part of a chat request that the router reads; other fields are ignored.
type chatBody struct {
	Model         string          `json:"model"`
	Messages      json.RawMessage `json:"messages"`
	Stream        bool            `json:"stream"`
	MaxTokens     *int64          `json:"max_tokens"`
	MaxCompletion *int64          `json:"max_completion_tokens"`
	N             *int            `json:"n"`
	// parts are the digests of all messages but the last.
	parts []jvledger.Key
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// AdmitChat admits a model request: it checks the caller, the profile and the body. The second
// result reports whether the caller wants the answer as a stream.
func (rt *Router) AdmitChat(in Incoming) (*Request, bool, *Problem) {
	q, catalog, p := rt.newRequest(in, "chat")
	if p != nil {
		return q, false, p
	}
	body, p := parseChat(in.Body)
	if p != nil {
		return q, false, rt.refuseWith(q, p)
	}
	profile, ok := catalog.Profile(body.Model)
	switch {
	case !ok:
		return q, false, rt.refuse(q, ProblemMissing, 0, fmt.Sprintf("there is no profile %.64q: name one in the field model", body.Model))
	case profile.Workspace != q.Workspace:
		return q, false, rt.refuse(q, ProblemForbidden, 0, fmt.Sprintf("profile %s belongs to another workspace", profile.Name))
	}
	q.Model = &ModelRequest{
		Profile:      profile,
		Messages:     body.Messages,
		MaxOutput:    body.output(profile),
		PrefixDigest: prefixDigest(body.Messages),
		Parts:        body.parts,
	}
	q.Deadline = q.ArrivedAt.Add(profile.Timeout())
	return q, body.Stream, nil
}

// AdmitCall admits a call of a plain service: it checks the caller, the service and the call's rule.
func (rt *Router) AdmitCall(in Incoming) (*Request, *Problem) {
	q, catalog, p := rt.newRequest(in, "call", in.Service, in.Method, in.Path, in.ContentType)
	if p != nil {
		return q, p
	}
	pool, ok := catalog.Pool(in.Service)
	switch {
	case !ok || pool.Kind != jvconfig.PoolService:
		return q, rt.refuse(q, ProblemMissing, 0, fmt.Sprintf("there is no service %.64q", in.Service))
	case !catalog.MayCall(q.Workspace, pool.Name):
		return q, rt.refuse(q, ProblemForbidden, 0, fmt.Sprintf("workspace %s may not call service %s", q.Workspace, pool.Name))
	}
	rule, ok := pool.Rule(in.Method, in.Path)
	if !ok {
		return q, rt.refuse(q, ProblemMissing, 0, fmt.Sprintf("service %s has no rule for %s of this path", pool.Name, in.Method))
	}
	if rule.Once && !q.Keyed {
		return q, rt.refuse(q, ProblemMalformed, 0, "this call must not be repeated: send an Idempotency-Key header, the same one with each retry")
	}
	q.Call = &CallRequest{Pool: pool, Rule: rule, Method: in.Method, Path: in.Path, ContentType: in.ContentType, Body: in.Body}
	q.Deadline = q.ArrivedAt.Add(pool.Timeout())
	return q, nil
}

// newRequest creates a request with its ID, key and digest, and authenticates the workspace of its
// caller.
func (rt *Router) newRequest(in Incoming, route ...string) (*Request, *jvconfig.Catalog, *Problem) {
	q := &Request{ID: rt.options.Random.ID(), ArrivedAt: rt.options.Timer.Now()}
	q.Keyed = in.Key != ""
	catalog := rt.Catalog()
	if rt.stopping.Load() {
		return q, catalog, rt.refuse(q, ProblemUnavailable, time.Second, "this VM is stopping: retry, another VM serves the request")
	}
	if p := checkKey(in.Key); p != nil {
		return q, catalog, rt.refuseWith(q, p)
	}
	key, ok := strings.CutPrefix(in.Authorization, "Bearer ")
	workspace, known := catalog.Workspace(key)
	if !ok || !known {
		if catalog.Version() == 0 {
			return q, catalog, rt.refuse(q, ProblemUnavailable, time.Second, "this VM has no configuration yet")
		}
		return q, catalog, rt.refuse(q, ProblemUnauthorized, 0, "send the header Authorization: Bearer KEY with a key of your workspace")
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
	if len(key) > maxKeyBytes {
		return malformed("the Idempotency-Key is longer than %d bytes", maxKeyBytes)
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return malformed("the Idempotency-Key holds a byte that is not printable ASCII")
		}
	}
	return nil
}

// malformed returns a refusal that depends on the request's bytes only. Every VM refuses the
// request alike, so it has run nowhere.
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
		if i < min(len(messages)-1, maxParts) {
			b.parts = append(b.parts, jvledger.NewKey("part", m.Role, m.Content))
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

// output returns the maximum number of tokens in the answer: the smallest of the caller's limits
// and the profile's.
func (b *chatBody) output(p jvconfig.Profile) int64 {
	output := p.MaxOutput
	for _, limit := range []*int64{b.MaxTokens, b.MaxCompletion} {
		if limit != nil {
			output = min(output, *limit)
		}
	}
	return output
}

func prefixDigest(messages []byte) string {
	return jvledger.NewKey(string(messages[:min(len(messages), prefixBytes)])).String()
}

// refuse returns a refusal with the outcome that unrunOutcome gives.
func (rt *Router) refuse(q *Request, name ProblemName, retry time.Duration, message string) *Problem {
	return rt.refuseWith(q, &Problem{Name: name, Message: message, RetryAfter: retry})
}

// refuseWith sets the outcome of a refusal that has none, and logs, counts and traces the refusal.
func (rt *Router) refuseWith(q *Request, p *Problem) *Problem {
	if p.Outcome == "" {
		p = p.WithOutcome(q.unrunOutcome())
	}
	rt.recordDecision(q, jvtrace.StepAdmit, "", string(p.Name)+": "+p.Message)
	rt.meter.CountOutcome(string(p.Outcome), string(p.Name))
	rt.options.Logger.V(1).Info("request refused", "request", q.ID, "problem", p.Name, "outcome", p.Outcome)
	return p
}

// unrunOutcome returns the outcome of a request that this VM has not run. Without a key, only this
// VM has the request, so it was not run; with a key, another VM may have run a copy of it.
func (q *Request) unrunOutcome() jvrecord.Outcome {
	if q.Keyed {
		return jvrecord.OutcomeUnknown
	}
	return jvrecord.OutcomeNotRun
}

// recordDecision adds a decision on a request to the trace.
func (rt *Router) recordDecision(q *Request, step jvtrace.Step, target, why string) {
	d := jvtrace.Decision{Request: q.ID, Step: step, Target: target, Why: why}
	if q.Model != nil {
		d.Profile = q.Model.Profile.Name
	}
	rt.trace.Add(d)
}
