package jvforward

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvrelay"
)

const (
	// path is the path of attempts, tagHeader the header with the tag that authenticates their heads.
	path      = "/attempt"
	tagHeader = "Jv-Tag"
)

// Signer authenticates messages by the fleet's secret.
type Signer interface {
	// Sign returns the tag of a message, and false if this router does not know the secret.
	Sign(message []byte) (tag string, ok bool)
	// Verify reports whether a tag is that of a message.
	Verify(message []byte, tag string) bool
}

// Client sends attempts to other routers. It implements jvrelay.Forwarder.
type Client struct {
	// Name is this router's name.
	Name   string
	Signer Signer
	// NewNonce returns a text that is different each time.
	NewNonce func() string
	// Pooled reuses connections; Unpooled opens a new one for each attempt.
	Pooled   http.RoundTripper
	Unpooled http.RoundTripper
}

// Forward implements jvrelay.Forwarder.
func (c *Client) Forward(ctx context.Context, to jvmember.Member, d jvrelay.Dispatch) (*jvrelay.Response, error) {
	const op = "forward"
	head := newAttemptHead(d)
	head.From, head.To, head.Nonce = c.Name, to.Name, c.NewNonce()
	hash := sha256.Sum256(d.Request.Body)
	head.BodyHash = hash[:]
	encoded := encodeHead(head)
	tag, ok := c.Signer.Sign(encoded[lengthBytes:])
	if !ok {
		return nil, jvfault.Newf(op, jvrelay.KindUnsent, "the fleet's secret is not known yet")
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	// The body can be read only once, so that net/http does not send the attempt again by itself.
	body := io.NopCloser(io.MultiReader(bytes.NewReader(encoded), bytes.NewReader(d.Request.Body)))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+path, body)
	if err != nil {
		return nil, jvfault.New(op, jvrelay.KindUnsent, err)
	}
	request.ContentLength = int64(len(encoded) + len(d.Request.Body))
	request.Header.Set(tagHeader, tag)
	transport := c.Pooled
	if d.NewConnection {
		transport = c.Unpooled
	}
	response, err := transport.RoundTrip(request)
	switch {
	case err != nil && !connected.Load():
		return nil, jvfault.New(op, jvrelay.KindUnsent, err)
	case err != nil:
		return nil, jvfault.New(op, jvrelay.KindBroken, err)
	}
	result, err := decodeResponse(response.Body, head)
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if shown := jvend.Of(response); !shown.Shows(result.End) {
		result.End = shown // The connection between the routers may end for its own reasons.
	}
	return result, nil
}

// decodeResponse decodes the head of a response to an attempt. The response's body follows.
func decodeResponse(body io.ReadCloser, attempt attemptHead) (*jvrelay.Response, error) {
	const op = "forward"
	data, err := readHead(body)
	if err != nil {
		return nil, jvfault.New(op, jvrelay.KindBroken, err)
	}
	head, err := jvcodec.Decode[responseHead](data)
	if err != nil {
		return nil, jvfault.New(op, jvrelay.KindBroken, err)
	}
	if head.For != "" && head.For != attempt.Nonce {
		return nil, jvfault.Newf(op, jvrelay.KindBroken, "the response to message %q in place of that to %q", head.For, attempt.Nonce)
	}
	if head.Kind != "" {
		kind := jvrelay.Kind(head.Kind)
		if kind != jvrelay.KindUnsent && kind != jvrelay.KindRefused {
			kind = jvrelay.KindBroken // It may have run.
		}
		return nil, jvfault.Newf(op, kind, "%s", head.Cause)
	}
	if head.For == "" && !attempt.NewConnection {
		head.Refused, head.WrongInstance = false, false
	}
	return head.response(body), nil
}
