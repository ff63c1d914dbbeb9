package jvengine

import (
	"encoding/json"

	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// Attempt is one run of a model request on one engine.
type Attempt struct {
	// ID is echoed by the engine on every line of its answer.
	ID    string `json:"attempt"`
	Model string `json:"model"`
	// Messages are the caller's, as they came.
	Messages json.RawMessage `json:"messages"`
	// Prefix is the beginning of the answer that an earlier attempt gave; the engine goes on
	// from there.
	Prefix string `json:"prefix,omitempty"`
	// MaxOutput is the largest number of tokens to generate.
	MaxOutput   int64 `json:"output"`
	Priority int   `json:"priority"`
}

// Usage is what an attempt used, in tokens.
type Usage struct {
	PromptTokens int64 `json:"prompt"`
	OutputTokens int64 `json:"output"`
}

// Total returns the tokens that the budget pays for.
func (u Usage) Total() int64 { return u.PromptTokens + u.OutputTokens }

// Line is one line of an engine's answer.
type Line struct {
	Attempt string `json:"attempt"`
	Index   int64  `json:"index"`
	Text    string `json:"text,omitempty"`
	Done    bool   `json:"done,omitempty"`
	Usage   *Usage `json:"usage,omitempty"`
	// Digest is the SHA-256 of all text of this attempt, in hex, on the last line.
	Digest string `json:"digest,omitempty"`
	Error  string `json:"error,omitempty"`
}

// Call is one call of a plain service.
type Call struct {
	ID      string
	Method  string
	Path    string
	Key     string
	ContentType string
	Body    []byte
}

// Response is a plain service's answer.
type Response struct {
	Status  int
	ContentType string
	Body    []byte
	Load    *jvtarget.Load
}
