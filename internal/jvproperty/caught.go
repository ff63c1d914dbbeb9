package jvproperty

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// recorder is a rapid.TB that notes a failure in place of failing the test.
type recorder struct {
	name    string
	failed  bool
	message []string
}

// Helper implements rapid.TB.
func (*recorder) Helper() {}

// Name implements rapid.TB.
func (r *recorder) Name() string { return r.name }

// Logf implements rapid.TB.
func (r *recorder) Logf(format string, args ...any) {
	r.message = append(r.message, fmt.Sprintf(format, args...))
}

// Log implements rapid.TB.
func (r *recorder) Log(args ...any) { r.message = append(r.message, fmt.Sprint(args...)) }

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

// CheckFails tells whether a property fails, as it must with a deliberate fault, and how. Nothing
// is shrunk, since only the verdict counts.
func CheckFails(t *testing.T, property func(t *rapid.T)) (bool, string) {
	t.Helper()
	shrink := flag.Lookup("rapid.shrinktime").Value.String()
	set("rapid.shrinktime", "0s")
	defer set("rapid.shrinktime", shrink)
	r := &recorder{name: t.Name()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	return r.failed, firstError(r.message)
}

// firstError returns the line of a failure that names what was compared.
func firstError(message []string) string {
	for _, line := range strings.Split(strings.Join(message, "\n"), "\n") {
		if strings.Contains(line, "Messages:") || strings.Contains(line, "Error:") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}
