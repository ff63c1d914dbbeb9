package jvlog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// gate is a writer that blocks until it is opened.
type gate struct {
	open chan struct{}
	got  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.got.Write(p)
}

// TestBounded: a reader that stands still blocks nobody; what was lost is told.
func TestBounded(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	b := NewBounded(g, 10)
	for n := range 100 {
		_, err := fmt.Fprintf(b, "line %d\n", n)
		require.NoError(t, err)
	}
	close(g.open)
	b.Close()
	text := g.got.String()
	require.True(t, strings.HasPrefix(text, "line 0\nline 1\n"))
	require.Contains(t, text, `"msg":"lines dropped","lines":`)
}

// TestBoundedAfterClose: parts that still log while the process stops do no harm.
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
