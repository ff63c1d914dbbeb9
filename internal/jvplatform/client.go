package jvplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvledger"
)

// maxResponseBytes bounds one response of the platform.
const maxResponseBytes = 256 << 20

// Client is the HTTP client of the platform's log and VM list.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client of the platform at a base URL.
func NewClient(baseURL string, client *http.Client) *Client {
	return &Client{baseURL: baseURL, http: client}
}

// WireEntry is the platform's JSON form of a log entry.
type WireEntry struct {
	Offset uint64 `json:"offset"`
	// Time is in Unix milliseconds.
	Time int64  `json:"time"`
	Data []byte `json:"data"`
}

// WirePage is the platform's JSON form of a Page.
type WirePage struct {
	First   uint64      `json:"first"`
	Next    uint64      `json:"next"`
	Entries []WireEntry `json:"entries"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	const op = "append"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/v1/streams/"+url.PathEscape(stream), bytes.NewReader(data))
	if err != nil {
		return 0, jvfault.New(op, KindRefused, err)
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	var entry WireEntry
	if err := c.do(op, request, &entry); err != nil {
		return 0, err
	}
	return entry.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error) {
	const op = "read log"
	target := fmt.Sprintf("%s/v1/streams/%s?from=%d&wait=%d", c.baseURL, url.PathEscape(stream), from, wait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Page{}, jvfault.New(op, KindRefused, err)
	}
	var decoded WirePage
	if err := c.do(op, request, &decoded); err != nil {
		return Page{First: decoded.First, Next: decoded.Next}, err
	}
	page := Page{First: decoded.First, Next: decoded.Next, Entries: make([]jvledger.Entry, len(decoded.Entries))}
	for i, e := range decoded.Entries {
		page.Entries[i] = jvledger.Entry(e)
	}
	return page, nil
}

// List implements VMs.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	const op = "list VMs"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/v1/vms", nil)
	if err != nil {
		return nil, jvfault.New(op, KindRefused, err)
	}
	var vms []VM
	if err := c.do(op, request, &vms); err != nil {
		return nil, err
	}
	return vms, nil
}

// do sends a request and decodes the response's JSON; that of status 410 is decoded as well,
// since it names the offsets that the log still keeps.
func (c *Client) do(op string, request *http.Request, into any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return jvfault.New(op, KindUnknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	switch {
	case err != nil:
		return jvfault.New(op, KindUnknown, err)
	case response.StatusCode == http.StatusGone:
		_ = json.Unmarshal(data, into)
		return jvfault.Newf(op, KindHorizon, "the requested records are no longer kept")
	case response.StatusCode == http.StatusTooManyRequests:
		return jvfault.Newf(op, KindRefused, "the platform's rate limit is reached")
	case response.StatusCode >= http.StatusBadRequest:
		return jvfault.Newf(op, KindUnknown, "the platform answered %s", response.Status)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return jvfault.New(op, KindUnknown, err)
	}
	return nil
}
