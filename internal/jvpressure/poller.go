package jvpressure

import (
	"os"
	"sync"
)

// Queue is the queue of events by which a process learns that its sockets are ready.
type Queue interface {
	// Pass calls done once the process has reached the events that were ready before the call.
	Pass(done func())
	// Close releases the queue; calls that wait may be lost.
	Close()
}

// Poller is the queue of the runtime's network poller. A byte in a pipe becomes ready behind the sockets that are ready
// already. It is safe for concurrent use.
type Poller struct {
	reader *os.File
	writer *os.File

	mu      sync.Mutex
	waiting []func()
}

// pollerBatch is the number of bytes that are read from the pipe at once.
const pollerBatch = 64

// NewPoller returns a Poller; it needs two descriptors.
func NewPoller() (*Poller, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p := &Poller{reader: r, writer: w}
	go func() {
		buffer := make([]byte, pollerBatch)
		for {
			n, err := p.reader.Read(buffer)
			for _, done := range p.take(n) {
				done()
			}
			if err != nil {
				return
			}
		}
	}()
	return p, nil
}

// Pass implements Queue.
func (p *Poller) Pass(done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, err := p.writer.Write([]byte{0}); err != nil {
		go done() // The queue is closed, or the pipe is full, which few calls at a time don't reach.
		return
	}
	p.waiting = append(p.waiting, done)
}

// take removes the oldest n calls.
func (p *Poller) take(n int) []func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	n = min(n, len(p.waiting))
	list := p.waiting[:n:n]
	p.waiting = p.waiting[n:]
	return list
}

// Close implements Queue.
func (p *Poller) Close() {
	_ = p.writer.Close() // Ends the reads.
	_ = p.reader.Close()
}
