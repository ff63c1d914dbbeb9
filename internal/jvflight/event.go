package jvflight

import "github.com/jasminevale/jasminevale/internal/jvend"

// Event is the text of one token of an answer.
type Event struct {
	// Index counts the answer's tokens from 0.
	Index int64  `cbor:"index"`
	Text  string `cbor:"text"`
}

// End is the end of an answer.
type End struct {
	// Outcome is done, notrun or unknown.
	Outcome string `cbor:"outcome"`
	// Problem is the name of the problem that ended the answer, or empty for a complete answer.
	Problem string `cbor:"name"`
	Message string `cbor:"message"`
	// RetryAfter is in seconds; 0 means that a retry does not help.
	RetryAfter int `cbor:"retry"`
	// PromptTokens and OutputTokens are what the answer is billed for.
	PromptTokens int64 `cbor:"prompt"`
	OutputTokens int64 `cbor:"output"`
	// Digest is the SHA-256 of the answer's text, in hex.
	Digest string `cbor:"digest"`
	// Status, ContentType and Body are the response of a plain service, which has no events.
	Status      int    `cbor:"status"`
	ContentType string `cbor:"content"`
	Body        []byte `cbor:"body"`
	// Ended is how that response ended. Releases that don't know it leave it out, whatever the end was.
	Ended jvend.End `cbor:"ended,omitempty"`
}

// BodyEnd returns how the response of a plain service ended, as far as this VM can know.
func (e End) BodyEnd() jvend.End {
	if e.Ended == jvend.Proven {
		return jvend.Proven
	}
	return jvend.Claimed
}
