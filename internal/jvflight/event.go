package jvflight

// Event is one piece of an answer: a token's text or the end.
type Event struct {
	// Index counts the answer's tokens from 0.
	Index int64  `cbor:"index"`
	Text  string `cbor:"text"`
}

// End closes an answer.
type End struct {
	// Outcome is done, notrun or unknown.
	Outcome string `cbor:"outcome"`
	// Problem is empty for a whole answer, else the name of the problem.
	Problem    string `cbor:"name"`
	Message string `cbor:"message"`
	// RetryAfter is in seconds; 0 means that coming back does not help.
	RetryAfter int `cbor:"retry"`
	// PromptTokens and Output are the tokens that the answer is billed for.
	PromptTokens int64 `cbor:"prompt"`
	OutputTokens int64 `cbor:"output"`
	// Digest is the SHA-256 of the answer's text, in hex.
	Digest string `cbor:"digest"`
	// Status, Content and Body are a plain service's answer.
	Status  int    `cbor:"status"`
	ContentType string `cbor:"content"`
	Body    []byte `cbor:"body"`
}
