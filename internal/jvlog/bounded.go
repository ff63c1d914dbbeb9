package jvlog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Bounded queues lines for a writer that may block, and drops lines while the queue is full.
type Bounded struct {
	queue chan []byte
	// dropped counts the lines dropped since the last report of them.
	dropped atomic.Int64
	done    chan struct{}

	// mu is held for reading by concurrent writes, and for writing to set closed, after which no
	// write sends to queue.
	mu     sync.RWMutex
	closed bool
}

// NewBounded returns a writer to w that queues up to maxLines lines.
func NewBounded(w io.Writer, maxLines int) *Bounded {
	b := &Bounded{queue: make(chan []byte, maxLines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for line := range b.queue {
			_, _ = w.Write(b.batch(line))
			if n := b.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(w, "{\"logger\":\"log\",\"level\":0,\"msg\":\"lines dropped\",\"lines\":%d}\n", n)
			}
		}
	}()
	return b
}

// maxBatchBytes is the size at which no more lines are added to a batch.
const maxBatchBytes = 32 << 10

// batch returns first and the lines queued behind it, since each write costs a system call.
func (b *Bounded) batch(first []byte) []byte {
	var all bytes.Buffer
	all.Write(first)
	for all.Len() < maxBatchBytes {
		select {
		case line, ok := <-b.queue:
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

// Write queues one line, or drops it if the queue is full; it does not wait for the writer.
func (b *Bounded) Write(p []byte) (int, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.closed {
		return len(p), nil
	}
	select {
	case b.queue <- bytes.Clone(p):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Close waits until the queued lines are written; later lines are dropped without being counted.
func (b *Bounded) Close() {
	b.mu.Lock()
	closed := b.closed
	b.closed = true
	b.mu.Unlock()
	if !closed {
		close(b.queue)
	}
	<-b.done
}
