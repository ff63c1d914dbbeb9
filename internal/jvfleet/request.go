package jvfleet

import (
	"encoding/json"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvledger"
)

// Request is one caller's request after admission.
type Request struct {
	// ID joins logs, dumps and answers; it is the router's own.
	ID string
	// Key is the fleet's key of the request: of workspace and caller's key, or of ID.
	Key       jvledger.Key
	Keyed     bool
	CallerKey string
	// Digest is of the route and the body.
	Digest    jvledger.Key
	Workspace string
	Deadline  time.Time
	Arrived   time.Time
	Model     *ModelRequest
	Call      *CallRequest
}

// ModelRequest is the part of a request that is for a model engine.
type ModelRequest struct {
	Profile  jvconfig.Profile
	Messages json.RawMessage
	// Output is the largest number of tokens in the answer.
	Output int64
	// Prefix is a digest of the prompt's beginning.
	Prefix string
}

// CallRequest is the part of a request that is for a plain service.
type CallRequest struct {
	Pool    jvconfig.Pool
	Rule    jvconfig.CallRule
	Method  string
	Path    string
	Content string
	Body    []byte
}

// WorstCase returns the most tokens that an attempt can use: a token of the prompt has at
// least one byte, and the answer at most Output tokens.
func (m *ModelRequest) WorstCase(written string, generated int64) int64 {
	return int64(len(m.Messages)) + int64(len(written)) + max(m.Output-generated, 1)
}
