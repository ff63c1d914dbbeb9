package jvrelay

import (
	"crypto/sha256"
	"net/http"
	"time"
)

// PromptPart is one part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Usage is the maximum usage of a request in tokens.
type Usage struct {
	PromptTokens int64
	OutputTokens int64
}

// Total returns the tokens that the budget has to cover.
func (u Usage) Total() int64 { return u.PromptTokens + u.OutputTokens }

// Request is a request as the caller sent it.
type Request struct {
	// ID is the ID that the caller gave; it is forwarded unchanged.
	ID     string
	Method string
	Host   string
	// Path is matched against the prefixes of routes. URI is the path and query that are
	// forwarded unchanged.
	Path string
	URI  string
	// Header holds the end-to-end headers, which are forwarded.
	Header http.Header
	Body   []byte
	// Protocol is the version of HTTP that the caller uses, as in its request line, or empty.
	Protocol string
	// Key is the workspace's key, or empty.
	Key       string
	ArrivedAt time.Time
	Deadline  time.Time
	// Timeout is how long the caller waits, by its own header or the default.
	Timeout time.Duration
	// DefaultTimeout is true if that is the default: it is this router's limit, not the caller's.
	DefaultTimeout bool
	Usage          Usage
	PromptParts    []PromptPart
	// LastEventID is the ID of the last event that the caller has of an earlier response to the
	// same request, or empty.
	LastEventID string
	// Resumes is the ID of the request that brought the caller the first event of the stream that this one
	// resumes, or empty.
	Resumes string
}

// digest returns a hash that is the same for all copies of a request, whatever their IDs. The caller is
// identified by its workspace, whose keys may change between two copies, and by its key if it has no
// workspace.
func (q *Request) digest(workspace string) []byte {
	key := q.Key
	if workspace != "" {
		key = ""
	}
	h := sha256.New()
	for _, s := range []string{q.Method, q.Host, q.URI, workspace, key} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.Body)
	return h.Sum(nil)
}

// prefixID returns the ID of the last prompt part that other requests may share, by which the
// request's targets are selected. The very last part is the request's own.
func (q *Request) prefixID() string {
	if len(q.PromptParts) == 0 {
		return ""
	}
	return q.PromptParts[max(0, len(q.PromptParts)-2)].ID
}

// prefixTokens returns the number of tokens up to the end of the part that prefixID identifies.
func (q *Request) prefixTokens() int64 {
	if len(q.PromptParts) == 0 {
		return 0
	}
	n := int64(0)
	for _, p := range q.PromptParts[:max(1, len(q.PromptParts)-1)] {
		n += p.Tokens
	}
	return n
}

// sharedParts returns the IDs of the prompt parts that other requests may share: all but the last.
func (q *Request) sharedParts() []string {
	shared := q.PromptParts[:max(0, len(q.PromptParts)-1)]
	ids := make([]string, 0, len(shared))
	for _, p := range shared {
		ids = append(ids, p.ID)
	}
	return ids
}
