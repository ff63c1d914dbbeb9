package jvstandin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// tagLength is the number of hex digits of the prompt's digest that each token carries.
const tagLength = 8

// PromptTag returns the tag that every token of an answer to messages carries. It lets a
// caller detect another caller's answer.
func PromptTag(messages []byte) string {
	d := sha256.Sum256(messages)
	return hex.EncodeToString(d[:])[:tagLength]
}

// AnswerLength returns the number of tokens, at most limit, in the answer to messages.
func AnswerLength(messages []byte, limit int64) int64 {
	d := sha256.Sum256(append([]byte("length"), messages...))
	minTokens := max(1, limit/4)
	return minTokens + int64(d[0])*(limit-minTokens)/255
}

// TokenText returns the text of the token at index in the answer of one execution.
func TokenText(tag, execution string, index int64) string {
	return fmt.Sprintf("%s-%s.%d ", tag, execution, index)
}

// ExecutionOf returns the ID of the execution that generated prefix, the beginning of an
// answer, or fallback where prefix holds no token.
func ExecutionOf(prefix, fallback string) string {
	token, _, hasIndex := strings.Cut(prefix, ".")
	_, execution, hasTag := strings.Cut(token, "-")
	if !hasIndex || !hasTag {
		return fallback
	}
	return execution
}

// CheckAnswer returns a description of the first defect of text, or "" if text is the complete
// answer to messages. It detects a wrong number of tokens, tokens of another prompt, tokens of two
// executions in one answer, and tokens out of order.
func CheckAnswer(messages []byte, limit int64, text string) string {
	tokens := strings.Fields(text)
	if want := AnswerLength(messages, limit); int64(len(tokens)) != want {
		return fmt.Sprintf("cut: %d of %d tokens", len(tokens), want)
	}
	tag := PromptTag(messages)
	execution := ExecutionOf(text, "")
	for i, t := range tokens {
		switch {
		case !strings.HasPrefix(t, tag+"-"):
			return fmt.Sprintf("crossed: token %d is %q", i, t)
		case t+" " != TokenText(tag, execution, int64(i)):
			return fmt.Sprintf("spliced: token %d is %q", i, t)
		}
	}
	return ""
}
