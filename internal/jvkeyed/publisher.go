package jvkeyed

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// PublisherOptions configure a Publisher.
type PublisherOptions struct {
	Topic  Topic
	Timer  *jvtimer.Service
	Logger logr.Logger
	// Random returns a number in [0, 1), by which retries are randomized.
	Random func() float64
	// MaxPending limits the records that wait for the topic.
	MaxPending int
	// Unconfirmed is the message for an append that fails, Dropped that for a record beyond MaxPending.
	Unconfirmed string
	Dropped     string
}

// Publisher appends records to a topic in the background until the topic confirms them. Of several records
// with one key that wait, the newest is appended. It is safe for concurrent use.
type Publisher struct {
	options PublisherOptions
	// wake tells Run that records are pending.
	wake chan struct{}

	mu sync.Mutex
	// pending are the records that the topic has not confirmed, by key; one without a value deletes its
	// key.
	pending map[string]Record
	// restoring are records that a log has lost and that Restore adds to pending after a delay.
	restoring map[string]Record
	// unread are records that the log has confirmed and that were not read since.
	unread map[string]Record
}

const (
	// batchDelay collects records that belong together, such as those of the requests of one crash.
	batchDelay = 20 * time.Millisecond
	// maxBatch is the number of records in one append.
	maxBatch = 500
	// appendTimeout bounds one append.
	appendTimeout = time.Second
	// minAppendRetry and maxAppendRetry bound the pause after an append that failed.
	minAppendRetry = 50 * time.Millisecond
	maxAppendRetry = time.Second
	// maxRestoreDelay spreads the appends of routers that all know what a log has lost: one of them appends, the others read it.
	maxRestoreDelay = 2 * time.Second
)

// NewPublisher returns a Publisher without records.
func NewPublisher(o PublisherOptions) *Publisher {
	return &Publisher{options: o, wake: make(chan struct{}, 1), pending: map[string]Record{}, restoring: map[string]Record{}, unread: map[string]Record{}}
}

// Put adds a record to those that wait for the topic, and replaces an earlier one of its key.
func (p *Publisher) Put(r Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.pending[r.Key]; !ok && len(p.pending) >= p.options.MaxPending {
		p.options.Logger.Info(p.options.Dropped, "key", r.Key, "cause", "too many records wait for the topic")
		return
	}
	p.pending[r.Key] = r
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Pending returns the record of a key that waits for the topic, and whether there is one.
func (p *Publisher) Pending(key string) (Record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.pending[key]
	return r, ok
}

// Restore adds records that the log has lost to those that wait for it, after a random time and unless their keys
// are written before; see Options.Restore. Those that this process has appended and nobody may have read wait at once.
func (p *Publisher) Restore(records []Record) {
	p.mu.Lock()
	unread := p.unread
	p.unread = map[string]Record{}
	p.mu.Unlock()
	for _, r := range unread {
		if _, newer := p.Pending(r.Key); !newer {
			p.Put(r)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		p.restoring[r.Key] = r
	}
	p.options.Timer.Alarm(time.Duration(p.options.Random()*float64(maxRestoreDelay)), func() {
		for _, r := range records {
			if p.takeRestoring(r) {
				p.Put(r)
			}
		}
	})
}

// takeRestoring removes a record from those to restore, and reports whether it was one and its key does not wait for the topic
// with a newer value.
func (p *Publisher) takeRestoring(r Record) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last, ok := p.restoring[r.Key]
	if !ok || !bytes.Equal(last.Value, r.Value) {
		return false
	}
	delete(p.restoring, r.Key)
	_, pending := p.pending[r.Key]
	return !pending
}

// Drop removes a record that was read from those that wait for the topic, if it is the newest of its key.
func (p *Publisher) Drop(r Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.restoring, r.Key)
	delete(p.unread, r.Key)
	if waiting, ok := p.pending[r.Key]; ok && bytes.Equal(waiting.Value, r.Value) {
		delete(p.pending, r.Key)
	}
}

// Wait waits until the topic has confirmed the record of a key, until ctx ends at the latest. Run must be running.
func (p *Publisher) Wait(ctx context.Context, key string) {
	for {
		if _, pending := p.Pending(key); !pending {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-p.options.Timer.After(batchDelay):
		}
	}
}

// Len returns the number of records that wait for the topic.
func (p *Publisher) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending)
}

// Run appends pending records until ctx ends. An append without a response is repeated: the same record
// twice has the effect of one.
func (p *Publisher) Run(ctx context.Context) {
	pause := time.Duration(0)
	for {
		if pause == 0 {
			select {
			case <-p.wake:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-p.options.Timer.After(max(batchDelay, pause)):
		case <-ctx.Done():
			return
		}
		err := p.appendPending(ctx)
		switch {
		case err == nil:
			pause = 0
		case pause == 0:
			p.options.Logger.Info(p.options.Unconfirmed, "cause", err.Error())
			pause = minAppendRetry
		default:
			pause = min(2*pause, maxAppendRetry)
		}
		pause -= time.Duration(p.options.Random() * float64(pause) / 2)
	}
}

// appendPending appends all pending records.
func (p *Publisher) appendPending(ctx context.Context) error {
	for {
		batch := p.nextBatch()
		if len(batch) == 0 {
			return nil
		}
		call, cancel := p.options.Timer.WithTimeout(ctx, appendTimeout)
		_, err := p.options.Topic.Append(call, Producer{}, batch)
		cancel()
		if err != nil {
			return err
		}
		p.confirm(batch)
	}
}

// confirm removes records from those that wait for the topic.
func (p *Publisher) confirm(batch []Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range batch {
		if waiting, ok := p.pending[r.Key]; ok && bytes.Equal(waiting.Value, r.Value) { // Else it was read already.
			delete(p.pending, r.Key)
			p.unread[r.Key] = r
		}
	}
}

func (p *Publisher) nextBatch() []Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	batch := make([]Record, 0, min(len(p.pending), maxBatch))
	for _, r := range p.pending {
		if len(batch) == maxBatch {
			break
		}
		batch = append(batch, r)
	}
	return batch
}
