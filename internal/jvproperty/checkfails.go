package jvproperty

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// recorder is a rapid.TB that records a failure instead of failing the test.
type recorder struct {
	name     string
	failed   bool
	messages []string
}

// Helper implements rapid.TB.
func (*recorder) Helper() {}

// Name implements rapid.TB.
func (r *recorder) Name() string { return r.name }

// Logf implements rapid.TB.
func (r *recorder) Logf(format string, args ...any) {
	r.messages = append(r.messages, fmt.Sprintf(format, args...))
}

// Log implements rapid.TB.
func (r *recorder) Log(args ...any) { r.messages = append(r.messages, fmt.Sprint(args...)) }

// Skipf implements rapid.TB.
func (r *recorder) Skipf(string, ...any) { runtime.Goexit() }

// Skip implements rapid.TB.
func (r *recorder) Skip(...any) { runtime.Goexit() }

// SkipNow implements rapid.TB.
func (r *recorder) SkipNow() { runtime.Goexit() }

// Errorf implements rapid.TB.
func (r *recorder) Errorf(format string, args ...any) {
	r.Logf(format, args...)
	r.Fail()
}

// Error implements rapid.TB.
func (r *recorder) Error(args ...any) {
	r.Log(args...)
	r.Fail()
}

// Fatalf implements rapid.TB.
func (r *recorder) Fatalf(format string, args ...any) {
	r.Logf(format, args...)
	r.FailNow()
}

// Fatal implements rapid.TB.
func (r *recorder) Fatal(args ...any) {
	r.Log(args...)
	r.FailNow()
}

// FailNow implements rapid.TB.
func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

// Fail implements rapid.TB.
func (r *recorder) Fail() { r.failed = true }

// Failed implements rapid.TB.
func (r *recorder) Failed() bool { return r.failed }

// CheckFails reports whether a property fails, as it must with a mutant, and returns the line that
// states the failure. It does not shrink the failing case, since only the verdict counts.
func CheckFails(t *testing.T, property func(t *rapid.T)) (bool, string) {
	t.Helper()
	shrinkTime := flag.Lookup("rapid.shrinktime").Value.String()
	setFlag("rapid.shrinktime", "0s")
	defer setFlag("rapid.shrinktime", shrinkTime)
	r := &recorder{name: t.Name()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	return r.failed, firstError(r.messages)
}

// firstError returns the first line of the messages that states what failed.
func firstError(messages []string) string {
	for _, line := range strings.Split(strings.Join(messages, "\n"), "\n") {
		if strings.Contains(line, "Messages:") || strings.Contains(line, "Error:") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}
