package jvstandin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// tagSize is the length of the digest of a prompt in each token.
const tagSize = 8

// PromptTag returns the mark that every token of an answer to a prompt carries, so that a
// caller can tell another caller's answer from its own.
func PromptTag(messages []byte) string {
	d := sha256.Sum256(messages)
	return hex.EncodeToString(d[:])[:tagSize]
}

// AnswerLength returns how many tokens an engine gives to a prompt, within a limit.
func AnswerLength(messages []byte, limit int64) int64 {
	d := sha256.Sum256(append([]byte("length"), messages...))
	least := max(1, limit/4)
	return least + int64(d[0])*(limit-least)/255
}

// TokenText returns the text of one token: prompt, run and index.
func TokenText(tag, run string, index int64) string { return fmt.Sprintf("%s-%s.%d ", tag, run, index) }

// ExecutionOf returns the run that an answer's beginning belongs to, or fresh.
func ExecutionOf(prefix, fresh string) string {
	first, _, found := strings.Cut(prefix, ".")
	_, run, cut := strings.Cut(first, "-")
	if !found || !cut {
		return fresh
	}
	return run
}

// CheckAnswer tells what is wrong with a text as the whole answer to a prompt, or "": tokens
// of another prompt, of two runs spliced, out of order, or too few.
func CheckAnswer(messages []byte, limit int64, text string) string {
	tokens := strings.Fields(text)
	if want := AnswerLength(messages, limit); int64(len(tokens)) != want {
		return fmt.Sprintf("cut: %d of %d tokens", len(tokens), want)
	}
	tag := PromptTag(messages)
	run := ExecutionOf(text, "")
	for i, t := range tokens {
		switch {
		case !strings.HasPrefix(t, tag+"-"):
			return fmt.Sprintf("crossed: token %d is %q", i, t)
		case t+" " != TokenText(tag, run, int64(i)):
			return fmt.Sprintf("spliced: token %d is %q", i, t)
		}
	}
	return ""
}
