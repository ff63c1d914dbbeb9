package jvengine

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvmemory"
	"github.com/jasminevale/jasminevale/internal/jvresponse"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Limits of what a target may send, in bytes.
const (
	// maxHeadBytes limits the head of a response, informational ones included.
	maxHeadBytes = 16 << 10
	// maxLineBytes limits one line of an engine's answer, which has one token.
	maxLineBytes = 64 << 10
	maxBodyBytes = 8 << 20
	// maxBufferedBytes limits the bodies that are being read at one time.
	maxBufferedBytes = 64 << 20
)

// Client is the HTTP implementation of Targets.
type Client struct {
	pooled *http.Client
	// unpooled opens a connection for each request. On a reused connection the transport may retry a
	// call by itself if it has an Idempotency-Key and no body, and a refusal or a usage, which have no
	// attempt's ID, may be that of an earlier attempt.
	unpooled *http.Client
	timer    *jvtimer.Service
	memory   *jvmemory.Budget
	// stallTimeout is the longest time that an engine may take for the next line of an answer.
	stallTimeout time.Duration
}

// NewClient returns a client on a transport. An attempt fails when the engine sends no line for
// stallTimeout.
func NewClient(transport *http.Transport, timer *jvtimer.Service, stallTimeout time.Duration) *Client {
	pooled := transport.Clone()
	pooled.MaxResponseHeaderBytes = maxHeadBytes
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	return &Client{
		pooled: newHTTPClient(pooled), unpooled: newHTTPClient(unpooled),
		timer: timer, memory: jvmemory.NewBudget(maxBufferedBytes), stallTimeout: stallTimeout,
	}
}

// newHTTPClient returns a client that takes a redirect for the target's response: the router selects targets.
func newHTTPClient(transport *http.Transport) *http.Client {
	return &http.Client{Transport: jvresponse.NewTransport(transport), CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Generate implements Targets.
func (c *Client) Generate(ctx context.Context, target jvconfig.Target, a Attempt, sink func(text string)) (Usage, error) {
	const op = "generate"
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alarm := c.timer.Alarm(c.stallTimeout, func() { cancel(errors.Errorf("the engine sent nothing for %s", c.stallTimeout)) })
	defer alarm.Stop()
	body, err := json.Marshal(a)
	if err != nil {
		return Usage{}, jvfault.New(op, KindInvalid, err)
	}
	response, err := c.send(ctx, c.unpooled, op, target, http.MethodPost, "/v1/generate", body, http.Header{"Content-Type": {"application/json"}})
	if err != nil {
		return Usage{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(op, response); err != nil {
		return Usage{}, err
	}
	return readAnswer(ctx, op, a, response.Body, func(text string) {
		alarm.Reset(c.stallTimeout)
		sink(text)
	})
}

// statusError returns the error for a status other than 200. Its kind is what the status proves
// about the attempt.
func statusError(op string, response *http.Response) error {
	if response.StatusCode == http.StatusOK {
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	kind := KindBroken
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind = KindRefused
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		kind = KindInvalid
	}
	return jvfault.Newf(op, kind, "the target answered %s: %s", response.Status, strings.TrimSpace(string(text)))
}

// readAnswer passes the text of an engine's lines to sink until the last line. It checks that the
// lines belong to the attempt, are in order, match the digest, and are no more than the tokens allowed.
func readAnswer(ctx context.Context, op string, a Attempt, body io.Reader, sink func(text string)) (Usage, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 1024), maxLineBytes)
	digest := sha256.New()
	for next := int64(0); lines.Scan(); next++ {
		var l Line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return Usage{}, jvfault.New(op, KindBroken, err)
		}
		switch {
		case l.Attempt != a.ID:
			return Usage{}, jvfault.Newf(op, KindCrossed, "received a line of attempt %q in the answer to %q", l.Attempt, a.ID)
		case l.Error != "":
			return usageOf(l), jvfault.Newf(op, KindBroken, "the engine ended the answer: %s", l.Error)
		case l.Index != next:
			return Usage{}, jvfault.Newf(op, KindBroken, "received line %d, expected line %d", l.Index, next)
		case l.Done && l.Digest != hex.EncodeToString(digest.Sum(nil)):
			return usageOf(l), jvfault.Newf(op, KindBroken, "the answer's digest does not match its text")
		case l.Done:
			return usageOf(l), nil
		case next >= a.MaxOutput:
			return Usage{}, jvfault.Newf(op, KindBroken, "the engine sent more than the %d tokens allowed", a.MaxOutput)
		}
		_, _ = digest.Write([]byte(l.Text))
		sink(l.Text)
	}
	return Usage{}, transportError(ctx, op, lines.Err())
}

func usageOf(l Line) Usage {
	if l.Usage == nil {
		return Usage{}
	}
	return *l.Usage
}

// transportError returns the error for an exchange that ended early: KindCanceled if ctx was
// canceled or its deadline passed, else KindBroken, as after a stall or a lost connection.
func transportError(ctx context.Context, op string, err error) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, context.Canceled), errors.Is(cause, context.DeadlineExceeded):
		return jvfault.New(op, KindCanceled, cause)
	case cause != nil:
		return jvfault.New(op, KindBroken, cause)
	case err == nil:
		err = io.ErrUnexpectedEOF
	}
	return jvfault.New(op, KindBroken, err)
}

// Cancel implements Targets.
func (c *Client) Cancel(ctx context.Context, target jvconfig.Target, attempt string) (Usage, error) {
	const op = "cancel"
	response, err := c.send(ctx, c.unpooled, op, target, http.MethodPost, "/v1/cancel?attempt="+url.QueryEscape(attempt), nil, nil)
	if err != nil {
		return Usage{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(op, response); err != nil {
		return Usage{}, err
	}
	var u Usage
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLineBytes)).Decode(&u); err != nil {
		return Usage{}, jvfault.New(op, KindBroken, err)
	}
	return u, nil
}

// Call implements Targets.
func (c *Client) Call(ctx context.Context, target jvconfig.Target, call Call) (Response, error) {
	const op = "call"
	header := http.Header{"Attempt": {call.ID}}
	if call.Key != "" {
		header.Set("Idempotency-Key", call.Key)
	}
	if call.ContentType != "" {
		header.Set("Content-Type", call.ContentType)
	}
	client := c.pooled
	if call.Key != "" {
		client = c.unpooled
	}
	response, err := c.send(ctx, client, op, target, call.Method, call.Path, call.Body, header)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if echo := response.Header.Get("Attempt"); echo != "" && echo != call.ID {
		return Response{}, jvfault.Newf(op, KindCrossed, "received the response to attempt %q in place of that to %q", echo, call.ID)
	}
	buffer := c.memory.NewBuffer(maxBodyBytes + 1)
	defer buffer.Free()
	_, err = buffer.ReadFrom(response.Body)
	if errors.Is(err, jvmemory.ErrFull) {
		return Response{}, jvfault.Newf(op, KindBroken, "the response is larger than %d bytes, or than the memory left", len(buffer.Bytes()))
	}
	if err != nil {
		return Response{}, transportError(ctx, op, err)
	}
	end := jvend.Of(response)
	if end == jvend.Claimed && response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices && len(buffer.Bytes()) == 0 {
		// A target that has ended after the head looks the same.
		return Response{}, jvfault.Newf(op, KindBroken, "the connection ended after the head of a response without a length")
	}
	return Response{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: slices.Clone(buffer.Bytes()),
		End: end, Load: loadOf(response.Header),
	}, nil
}

// loadOf returns the load report in a response's header, or nil if it has none that can be decoded.
func loadOf(h http.Header) *jvtarget.Load {
	text := h.Get("Target-Load")
	if text == "" {
		return nil
	}
	var l jvtarget.Load
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		return nil
	}
	return &l
}

// Load implements Targets.
func (c *Client) Load(ctx context.Context, target jvconfig.Target) (jvtarget.Load, error) {
	const op = "read load"
	response, err := c.send(ctx, c.pooled, op, target, http.MethodGet, "/v1/load", nil, nil)
	if err != nil {
		return jvtarget.Load{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
	if err != nil {
		return jvtarget.Load{}, transportError(ctx, op, err)
	}
	var l jvtarget.Load
	if err := json.Unmarshal(data, &l); err != nil {
		return jvtarget.Load{}, jvfault.New(op, KindInvalid, err)
	}
	return l, nil
}

// send sends a request to a target. The error is of KindUnsent only if no byte of the request
// was written to a connection.
func (c *Client) send(ctx context.Context, client *http.Client, op string, target jvconfig.Target, method, path string, body []byte, header http.Header) (*http.Response, error) {
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+target.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, jvfault.New(op, KindInvalid, err)
	}
	request.GetBody = nil // Without GetBody the transport can't retry the request by itself.
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	switch {
	case err == nil:
		return response, nil
	case !gotConn.Load() && ctx.Err() == nil, isDialError(err):
		return nil, jvfault.New(op, KindUnsent, err)
	}
	return nil, transportError(ctx, op, err)
}

// isDialError reports whether err is a failure to open a connection.
func isDialError(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}
