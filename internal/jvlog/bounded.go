package jvlog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Bounded passes lines on to a writer that may block, and drops what comes faster than that
// takes it.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	// mu lets lines come while others do, and none once closed is set.
	mu     sync.RWMutex
	closed bool
}

// NewBounded returns a writer that holds up to a number of lines.
func NewBounded(w io.Writer, lines int) *Bounded {
	b := &Bounded{lines: make(chan []byte, lines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for line := range b.lines {
			_, _ = w.Write(b.gather(line))
			if n := b.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(w, "{\"logger\":\"log\",\"level\":0,\"msg\":\"lines dropped\",\"lines\":%d}\n", n)
			}
		}
	}()
	return b
}

// gatherMost bounds what one write passes on, in bytes.
const gatherMost = 32 << 10

// gather adds the lines that wait, since each write costs a system call.
func (b *Bounded) gather(first []byte) []byte {
	var all bytes.Buffer
	all.Write(first)
	for all.Len() < gatherMost {
		select {
		case line, ok := <-b.lines:
			if !ok {
				return all.Bytes()
			}
			all.Write(line)
		default:
			return all.Bytes()
		}
	}
	return all.Bytes()
}

// Write takes one line and never blocks.
func (b *Bounded) Write(p []byte) (int, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.closed {
		return len(p), nil
	}
	select {
	case b.lines <- bytes.Clone(p):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Close passes on what is held; lines that come after it are dropped.
func (b *Bounded) Close() {
	b.mu.Lock()
	closed := b.closed
	b.closed = true
	b.mu.Unlock()
	if !closed {
		close(b.lines)
	}
	<-b.done
}
