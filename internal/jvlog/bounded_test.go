package jvlog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return w.written.Write(p)
}

// TestBounded guards against a reader of the log that stalls and so blocks the process, and against
// lines that are dropped without a report.
func TestBounded(t *testing.T) {
	w := &blockedWriter{unblock: make(chan struct{})}
	b := NewBounded(w, 10)
	for n := range 100 {
		_, err := fmt.Fprintf(b, "line %d\n", n)
		require.NoError(t, err)
	}
	close(w.unblock)
	b.Close()
	text := w.written.String()
	require.True(t, strings.HasPrefix(text, "line 0\nline 1\n"))
	require.Contains(t, text, `"msg":"lines dropped","lines":`)
}

// TestBoundedAfterClose guards against a panic when goroutines still write while the writer is closed.
func TestBoundedAfterClose(t *testing.T) {
	var out bytes.Buffer
	b := NewBounded(&out, 10)
	var running sync.WaitGroup
	for range 8 {
		running.Go(func() {
			for range 1000 {
				_, _ = b.Write([]byte("x\n"))
			}
		})
	}
	b.Close()
	b.Close()
	running.Wait()
}
