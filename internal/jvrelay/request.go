package jvrelay

import (
	"crypto/sha256"
	"net/http"
	"time"
)

// PromptPart is one part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Usage is the worst case of what a request may use, in tokens.
type Usage struct {
	Prompt int64
	Output int64
}

// Total returns the tokens that the budget has to cover.
func (u Usage) Total() int64 { return u.Prompt + u.Output }

// Request is one request as the caller sent it.
type Request struct {
	// ID is the caller's, passed on unchanged.
	ID     string
	Method string
	Host   string
	// Path begins a route's prefix; URI is what is passed on, path and query unchanged.
	Path string
	URI  string
	// Header holds the end-to-end headers that are passed on.
	Header http.Header
	Body   []byte
	// Key is the workspace's key, or empty.
	Key      string
	ArrivedAt  time.Time
	Deadline time.Time
	// Timeout is how long the caller said it would wait.
	Timeout time.Duration
	Usage    Usage
	PromptParts    []PromptPart
	// LastEventID is the id of the last event that the caller has of an earlier answer, or empty.
	LastEventID string
}

// digest identifies copies of a request, whichever id they bear.
func (q *Request) digest() []byte {
	h := sha256.New()
	for _, s := range []string{q.Method, q.Host, q.URI, q.Key} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.Body)
	return h.Sum(nil)
}

// affinity names the part by which the request's targets are chosen: the last that other
// requests share, since the last of all is the request's own.
func (q *Request) affinity() string {
	if len(q.PromptParts) == 0 {
		return ""
	}
	return q.PromptParts[max(0, len(q.PromptParts)-2)].ID
}
