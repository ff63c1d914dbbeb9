package jvsign

import (
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Options configure a Sharing.
type Options struct {
	Timer *jvtimer.Service
	// Others returns the other routers of the fleet.
	Others func() []jvmember.Member
	// Send sends a message to another router; it may be lost.
	Send func(to jvmember.Member, message []byte)
	// Received is called for each process that another router reports as leaving.
	Received func(p Process)
}

const (
	// sendInterval is the time between two messages, sends is how often each process is part of one.
	sendInterval = 100 * time.Millisecond
	sends        = 3
	// maxQueued limits the processes that wait to be sent. Targets leave one after the other.
	maxQueued = 256
)

// Sharing sends the other routers what this one has found out, and receives what they have. It is safe for concurrent use.
type Sharing struct {
	options Options

	mu    sync.Mutex
	queue []queued
}

// queued is a process that has to be sent some more times.
type queued struct {
	process Process
	left    int
}

// New returns a Sharing.
func New(o Options) *Sharing {
	s := &Sharing{options: o}
	o.Timer.Every(sendInterval, s.send)
	return s
}

// Announce sends the other routers soon that a process leaves.
func (s *Sharing) Announce(p Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) < maxQueued && p.Target != "" && len(p.Target) <= maxNameBytes {
		s.queue = append(s.queue, queued{process: p, left: sends})
	}
}

// send sends what is queued. What was sent often enough leaves the queue.
func (s *Sharing) send() {
	s.mu.Lock()
	var due []Process
	for i := range s.queue {
		due = append(due, s.queue[i].process)
		s.queue[i].left--
	}
	s.queue = slices.DeleteFunc(s.queue, func(q queued) bool { return q.left == 0 })
	s.mu.Unlock()
	for part := range slices.Chunk(due, maxProcesses) {
		data := jvcodec.Encode(message{Leaving: part})
		for _, m := range s.options.Others() {
			s.options.Send(m, data)
		}
	}
}

// Receive handles a message of another router, which gets no reply.
func (s *Sharing) Receive(data []byte, _ func([]byte)) error {
	m, err := decodeMessage(data)
	if err != nil {
		return err
	}
	for _, p := range m.Leaving {
		s.options.Received(p)
	}
	return nil
}
