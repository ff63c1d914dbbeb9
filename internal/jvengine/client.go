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
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Bounds of what a target may send, in bytes.
const (
	maxLine  = 1 << 20
	maxReply = 8 << 20
)

// Client reaches targets over HTTP.
type Client struct {
	http *http.Client
	// once opens a connection for each call: on a kept connection the transport sends a call
	// a second time by itself when it carries an Idempotency-Key and no body.
	once  *http.Client
	timer *jvtimer.Service
	// stall is how long an engine may be silent within an answer.
	stall time.Duration
}

// NewClient returns a client on a transport that takes an engine for broken when it is
// silent for stall.
func NewClient(transport *http.Transport, timer *jvtimer.Service, stall time.Duration) *Client {
	single := transport.Clone()
	single.DisableKeepAlives = true
	return &Client{http: &http.Client{Transport: transport}, once: &http.Client{Transport: single}, timer: timer, stall: stall}
}

// Generate implements Targets.
func (c *Client) Generate(ctx context.Context, target jvconfig.Target, a Attempt, sink func(text string)) (Usage, error) {
	const op = "generate"
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alarm := c.timer.Alarm(c.stall, func() { cancel(errors.Errorf("the engine was silent for %s", c.stall)) })
	defer alarm.Stop()
	body, err := json.Marshal(a)
	if err != nil {
		return Usage{}, jvfault.New(op, KindInvalid, err)
	}
	response, err := c.send(ctx, op, target, http.MethodPost, "/v1/generate", body, http.Header{"Content-Type": {"application/json"}})
	if err != nil {
		return Usage{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusFailure(op, response); err != nil {
		return Usage{}, err
	}
	return readAnswer(ctx, op, a.ID, response.Body, func(text string) {
		alarm.Reset(c.stall)
		sink(text)
	})
}

// statusFailure tells what a status other than 200 proves.
func statusFailure(op string, response *http.Response) error {
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

// readAnswer passes on an engine's lines until the last one, and checks that they are this
// attempt's, in order and whole.
func readAnswer(ctx context.Context, op, id string, body io.Reader, sink func(text string)) (Usage, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	digest := sha256.New()
	for next := int64(0); lines.Scan(); next++ {
		var l Line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return Usage{}, jvfault.New(op, KindBroken, err)
		}
		switch {
		case l.Attempt != id:
			return Usage{}, jvfault.Newf(op, KindCrossed, "a line of attempt %q came on that of %q", l.Attempt, id)
		case l.Error != "":
			return usageOf(l), jvfault.Newf(op, KindBroken, "the engine ended the answer: %s", l.Error)
		case l.Index != next:
			return Usage{}, jvfault.Newf(op, KindBroken, "line %d came where %d was due", l.Index, next)
		case l.Done && l.Digest != hex.EncodeToString(digest.Sum(nil)):
			return usageOf(l), jvfault.Newf(op, KindBroken, "the answer's digest does not match its text")
		case l.Done:
			return usageOf(l), nil
		}
		_, _ = digest.Write([]byte(l.Text))
		sink(l.Text)
	}
	return Usage{}, brokenOff(ctx, op, lines.Err())
}

func usageOf(l Line) Usage {
	if l.Usage == nil {
		return Usage{}
	}
	return *l.Usage
}

// brokenOff names why an answer ended early: the caller gave up, the engine stalled, or the
// line broke.
func brokenOff(ctx context.Context, op string, err error) error {
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
	response, err := c.send(ctx, op, target, http.MethodPost, "/v1/cancel?attempt="+url.QueryEscape(attempt), nil, nil)
	if err != nil {
		return Usage{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusFailure(op, response); err != nil {
		return Usage{}, err
	}
	var u Usage
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLine)).Decode(&u); err != nil {
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
	client := c.http
	if call.Key != "" {
		client = c.once
	}
	response, err := c.sendOn(ctx, client, op, target, call.Method, call.Path, call.Body, header)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if echo := response.Header.Get("Attempt"); echo != "" && echo != call.ID {
		return Response{}, jvfault.Newf(op, KindCrossed, "the answer of attempt %q came on that of %q", echo, call.ID)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply+1))
	if err != nil {
		return Response{}, brokenOff(ctx, op, err)
	}
	if len(data) > maxReply {
		return Response{}, jvfault.Newf(op, KindBroken, "the answer is larger than %d bytes", maxReply)
	}
	return Response{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: data, Load: loadOf(response.Header)}, nil
}

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
	response, err := c.send(ctx, op, target, http.MethodGet, "/v1/load", nil, nil)
	if err != nil {
		return jvtarget.Load{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var l jvtarget.Load
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLine)).Decode(&l); err != nil {
		return l, jvfault.New(op, KindBroken, err)
	}
	return l, nil
}

func (c *Client) send(ctx context.Context, op string, target jvconfig.Target, method, path string, body []byte, header http.Header) (*http.Response, error) {
	return c.sendOn(ctx, c.http, op, target, method, path, body, header)
}

// sendOn passes a request to a target. The failure is of KindUnsent only where no byte of the
// request was written on a connection.
func (c *Client) sendOn(ctx context.Context, client *http.Client, op string, target jvconfig.Target, method, path string, body []byte, header http.Header) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+target.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, jvfault.New(op, KindInvalid, err)
	}
	request.GetBody = nil // Without it the transport can't send the request a second time by itself.
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	switch {
	case err == nil:
		return response, nil
	case !connected.Load() && ctx.Err() == nil, isDial(err):
		return nil, jvfault.New(op, KindUnsent, err)
	}
	return nil, brokenOff(ctx, op, err)
}

// isDial tells whether a failure is that of opening the connection.
func isDial(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}
