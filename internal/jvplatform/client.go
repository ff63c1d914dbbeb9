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

// maxPage bounds one answer of the platform, in bytes.
const maxPage = 256 << 20

// Client is the HTTP client of the platform's log and VM list.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// WireEntry is one entry in the published form.
type WireEntry struct {
	Offset uint64 `json:"offset"`
	Time   int64  `json:"time"`
	Data   []byte `json:"data"`
}

// WirePage is one answer to a read in the published form.
type WirePage struct {
	First   uint64      `json:"first"`
	Next    uint64      `json:"next"`
	Entries []WireEntry `json:"entries"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	const op = "append"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/streams/"+url.PathEscape(stream), bytes.NewReader(data))
	if err != nil {
		return 0, jvfault.New(op, KindRefused, err)
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	var got WireEntry
	if err := c.do(op, request, &got); err != nil {
		return 0, err
	}
	return got.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error) {
	const op = "read log"
	target := fmt.Sprintf("%s/v1/streams/%s?from=%d&wait=%d", c.base, url.PathEscape(stream), from, wait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Page{}, jvfault.New(op, KindRefused, err)
	}
	var got WirePage
	if err := c.do(op, request, &got); err != nil {
		return Page{First: got.First, Next: got.Next}, err
	}
	page := Page{First: got.First, Next: got.Next, Entries: make([]jvledger.Entry, len(got.Entries))}
	for i, e := range got.Entries {
		page.Entries[i] = jvledger.Entry(e)
	}
	return page, nil
}

// List implements VMs.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	const op = "list VMs"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/vms", nil)
	if err != nil {
		return nil, jvfault.New(op, KindRefused, err)
	}
	var got []VM
	if err := c.do(op, request, &got); err != nil {
		return nil, err
	}
	return got, nil
}

func (c *Client) do(op string, request *http.Request, into any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return jvfault.New(op, KindUnknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxPage))
	switch {
	case err != nil:
		return jvfault.New(op, KindUnknown, err)
	case response.StatusCode == http.StatusGone:
		_ = json.Unmarshal(data, into)
		return jvfault.Newf(op, KindHorizon, "the records asked for are no longer kept")
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
