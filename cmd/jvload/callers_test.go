package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvcaller"
	"github.com/jasminevale/jasminevale/internal/jvharness"
)

// badInput is one invalid request.
type badInput struct {
	name    string
	method  string
	path    string
	headers map[string]string
	body    string
}

// Paths and a valid body, of which the invalid requests are variations.
const (
	chatPath  = "/v1/chat/completions"
	deskPath  = "/v1/services/desk/"
	validChat = `{"model":"quick","messages":[{"role":"user","content":"hello"}]}`
)

// badInputs returns the invalid requests; the golden file has the response to each by name.
func badInputs() []badInput {
	chat := func(name, body string) badInput {
		return badInput{name: name, method: "POST", path: chatPath, body: body}
	}
	with := func(b badInput, header, value string) badInput {
		b.headers = map[string]string{header: value}
		return b
	}
	call := func(name, method, path string) badInput {
		return badInput{name: name, method: method, path: path, body: "{}"}
	}
	return []badInput{
		chat("empty body", ""),
		chat("not JSON", "hello"),
		chat("cut off JSON", `{"model":"quick","messages":[{"role"`),
		chat("more after the end", validChat+validChat),
		chat("bad UTF-8", "{\"model\":\"quick\",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\xfe\"}]}"),
		chat("deeply nested", `{"model":"quick","messages":`+strings.Repeat("[", 20000)),
		chat("no messages", `{"model":"quick"}`),
		chat("empty messages", `{"model":"quick","messages":[]}`),
		chat("messages of another type", `{"model":"quick","messages":"hello"}`),
		chat("message without a role", `{"model":"quick","messages":[{"content":"hello"}]}`),
		chat("no model", `{"messages":[{"role":"user","content":"hello"}]}`),
		chat("unknown profile", `{"model":"nobody","messages":[{"role":"user","content":"hello"}]}`),
		chat("negative limit", `{"model":"quick","messages":[{"role":"user","content":"hello"}],"max_tokens":-1}`),
		chat("several answers", `{"model":"quick","messages":[{"role":"user","content":"hello"}],"n":2}`),
		chat("oversize", `{"model":"quick","messages":[{"role":"user","content":"`+strings.Repeat("x", 5<<20)+`"}]}`),
		with(chat("no credentials", validChat), "Authorization", ""),
		with(chat("wrong credentials", validChat), "Authorization", "Bearer nobody"),
		with(chat("another workspace's profile", validChat), "Authorization", "Bearer "+jvharness.OtherKey),
		with(chat("key too long", validChat), "Idempotency-Key", strings.Repeat("k", 300)),
		with(chat("key with a space", validChat), "Idempotency-Key", "a b"),
		call("booking without a key", "POST", deskPath+"bookings"),
		call("unknown service", "GET", "/v1/services/nobody/stock/1"),
		call("call without a rule", "DELETE", deskPath+"stock/1"),
		call("engines are no service", "GET", "/v1/services/engines/stock/1"),
		with(call("another workspace's service", "GET", deskPath+"stock/1"), "Authorization", "Bearer "+jvharness.OtherKey),
		call("unknown path", "GET", "/v1/nothing"),
		call("wrong method", "GET", chatPath),
	}
}

// TestBadInput checks that each invalid request gets a specific error, runs nothing and spends
// no tokens, and that the router serves valid requests afterwards.
func TestBadInput(t *testing.T) {
	c := startFleet(t, nil)
	var b strings.Builder
	for _, in := range badInputs() {
		status, outcome, name, message := sendInput(t, c.CallersURL("a1"), in)
		fmt.Fprintf(&b, "%s: %d %s %s\n\t%s\n", in.name, status, outcome, name, message)
	}
	goldie.New(t).Assert(t, "badinput", []byte(b.String()))
	counts, err := c.Counts()
	require.NoError(t, err)
	require.Empty(t, counts.Executions)
	require.Empty(t, counts.Tokens)
	requireServed(t, sendAll(newCaller(c, 1), chatJobs("after", 2)))
}

// sendInput sends one request and returns the status, outcome, name and message of the error response.
func sendInput(t *testing.T, base string, in badInput) (status int, outcome, name, message string) {
	t.Helper()
	request, err := http.NewRequest(in.method, base+in.path, strings.NewReader(in.body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+jvharness.Key)
	for h, v := range in.headers {
		request.Header.Set(h, v)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err, in.name)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err, in.name)
	var p struct {
		Name    string `json:"name"`
		Message string `json:"message"`
		Outcome string `json:"outcome"`
	}
	require.NoError(t, json.Unmarshal(data, &p), "%s: %s", in.name, data)
	require.Equal(t, response.Header.Get("Jv-Outcome"), p.Outcome, in.name)
	return response.StatusCode, p.Outcome, p.Name, p.Message
}

// TestEndlessBody checks that a router rejects a request whose body does not end, instead of
// reading it without a limit, and serves other requests afterwards.
func TestEndlessBody(t *testing.T) {
	c := startFleet(t, nil)
	request, err := http.NewRequest(http.MethodPost, c.CallersURL("a1")+chatPath, endlessBody{})
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+jvharness.Key)
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	}
	requireServed(t, sendAll(newCaller(c, 1), chatJobs("after", 2)))
}

// endlessBody is a request body that does not end.
type endlessBody struct{}

// Read implements io.Reader.
func (endlessBody) Read(p []byte) (int, error) {
	return copy(p, bytes.Repeat([]byte{'x'}, len(p))), nil
}

// TestKeyReused checks that every router rejects a call that reuses an idempotency key with
// another body, and does not run it.
func TestKeyReused(t *testing.T) {
	c := startFleet(t, nil)
	requireServed(t, sendAll(newCaller(c, 1), bookingJobs("k", 1, 0)))
	for _, vm := range []string{"a1", "b2"} {
		in := badInput{name: vm, method: "POST", path: deskPath + "bookings", body: "another", headers: map[string]string{"Idempotency-Key": "k-booking-0"}}
		status, _, name, _ := sendInput(t, c.CallersURL(vm), in)
		require.Equal(t, http.StatusUnprocessableEntity, status)
		require.Equal(t, "mismatch", name)
	}
	counts, err := c.Counts()
	require.NoError(t, err)
	require.Equal(t, map[string]int64{"k-booking-0": 1}, counts.Executions)
}

// TestResumeStream checks that a caller whose connection breaks during a stream can resume it
// with Last-Event-ID, at the same router or another one, and that the parts make up the whole
// answer without a gap or a repetition.
func TestResumeStream(t *testing.T) {
	c := startFleet(t, slowTokens)
	for _, vm := range []string{"a1", "a2"} {
		key := "rest-" + vm
		first, last := readStream(t, c.CallersURL("a1"), key, "", 5)
		rest, _ := readStream(t, c.CallersURL(vm), key, last, -1)
		whole, _ := readStream(t, c.CallersURL("a1"), key, "", -1)
		require.Equal(t, whole, first+rest)
		require.NotEmpty(t, rest)
	}
}

// readStream reads count events of a stream, or all of them where count is negative, and
// returns their text and the ID of the last event.
func readStream(t *testing.T, base, key, after string, count int) (text, last string) {
	t.Helper()
	body := `{"model":"chat","stream":true,"max_tokens":64,"messages":[{"role":"user","content":"` + key + `"}]}`
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+chatPath, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+jvharness.Key)
	request.Header.Set("Idempotency-Key", key)
	if after != "" {
		request.Header.Set("Last-Event-ID", after)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() && count != 0 {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last = id
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		require.Len(t, chunk.Choices, 1, data)
		text += chunk.Choices[0].Delta.Content
		count--
	}
	return text, last
}

// runJvctl runs the command jvctl and returns its output and exit code.
func runJvctl(t *testing.T, c *jvharness.Cluster, arguments ...string) (string, int) {
	t.Helper()
	arguments = append([]string{"--platform=" + c.PlatformURL(), fmt.Sprint("--port=", c.OperatorsPort())}, arguments...)
	cmd := exec.Command(filepath.Join(binDir, "jvctl"), arguments...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		require.NotNil(t, cmd.ProcessState, "%v", err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// TestOperator checks that a repeated top-up with the same ID adds its tokens once, that jvctl
// shows budgets and VMs and rejects unknown names, and that the dump of a request's decisions
// has the reason for which the request was refused.
func TestOperator(t *testing.T) {
	c := startFleet(t, nil)
	for range 2 {
		out, code := runJvctl(t, c, "topup", "quick", "500", "--id=invoice-1")
		require.Zero(t, code, out)
	}
	out, code := runJvctl(t, c, "budget")
	require.Zero(t, code, out)
	require.Contains(t, out, "1000500")
	out, code = runJvctl(t, c, "topup", "nobody", "500", "--id=invoice-2")
	require.Equal(t, 1, code, out)
	out, code = runJvctl(t, c, "status")
	require.Zero(t, code, out)
	require.Equal(t, 4, strings.Count(out, "ready"), out)
	out, code = runJvctl(t, c, "target", "drain", "nobody")
	require.Equal(t, 1, code, out)
	out, code = runJvctl(t, c, "target", "drain", "engine-a1")
	require.Zero(t, code, out)

	refused := newCaller(c, 1).Run(context.Background(), jvcaller.Job{Kind: jvcaller.KindQuick, Profile: "quick", MaxTokens: 64, PromptBytes: 1_100_000})
	require.Equal(t, "budget", refused.Problem, "%+v", refused)
	out, code = runJvctl(t, c, "dump", "a1", "--request="+refused.RequestID)
	require.Zero(t, code, out)
	require.Contains(t, out, "prepaid budget has less left than")
}
