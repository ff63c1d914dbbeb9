package jvengine

import (
	"encoding/json"

	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// Attempt is one dispatch of a model request to an engine.
type Attempt struct {
	// ID is repeated by the engine on every line of its answer.
	ID    string `json:"attempt"`
	Model string `json:"model"`
	// Messages are the caller's messages, unchanged.
	Messages json.RawMessage `json:"messages"`
	// Prefix is the text that earlier attempts generated; the engine continues after it.
	Prefix string `json:"prefix,omitempty"`
	// MaxOutput is the maximum number of tokens to generate.
	MaxOutput int64 `json:"output"`
	Priority  int   `json:"priority"`
}

// Usage is the number of tokens that an attempt used.
type Usage struct {
	PromptTokens int64 `json:"prompt"`
	OutputTokens int64 `json:"output"`
}

// Total returns the tokens that are charged to the budget.
func (u Usage) Total() int64 { return u.PromptTokens + u.OutputTokens }

// Line is one line of an engine's answer, which is a sequence of JSON objects.
type Line struct {
	Attempt string `json:"attempt"`
	// Index counts the lines of the attempt from 0.
	Index int64  `json:"index"`
	Text  string `json:"text,omitempty"`
	// Done marks the last line.
	Done  bool   `json:"done,omitempty"`
	Usage *Usage `json:"usage,omitempty"`
	// Digest is the SHA-256 of all text of this attempt, in hex, on the last line.
	Digest string `json:"digest,omitempty"`
	// Error says why the engine ended the answer early.
	Error string `json:"error,omitempty"`
}

// Call is one call of a plain service.
type Call struct {
	// ID is the attempt's ID, sent in the header Attempt.
	ID     string
	Method string
	Path   string
	// Key is the Idempotency-Key, or empty.
	Key         string
	ContentType string
	Body        []byte
}

// Response is a plain service's response.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// End is how the response ended; a broken one is an error.
	End jvend.End
	// Load is the target's load report, or nil if the response had none.
	Load *jvtarget.Load
}
