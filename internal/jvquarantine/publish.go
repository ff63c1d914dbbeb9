package jvquarantine

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

const (
	// batchDelay collects the records of the requests that were running in one crash.
	batchDelay = 20 * time.Millisecond
	// maxBatch is the number of records in one append.
	maxBatch = 500
	// appendTimeout bounds one append.
	appendTimeout = time.Second
	// minRetry and maxRetry bound the pause after an append that failed.
	minRetry = 50 * time.Millisecond
	maxRetry = time.Second
)

// enqueue adds a record to those that wait for the topic, and replaces an earlier one of its key;
// q.mu must be held.
func (q *Quarantine) enqueue(r jvkeyed.Record) {
	if _, ok := q.pending[r.Key]; !ok && len(q.pending) >= q.options.MaxPending {
		q.options.Logger.Info("crash not published", "key", r.Key, "cause", "too many records wait for the topic")
		return
	}
	q.pending[r.Key] = r
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// publish appends pending records until ctx ends. An append without a response is repeated: the same
// record twice has the effect of one.
func (q *Quarantine) publish(ctx context.Context) {
	pause := time.Duration(0)
	for {
		if pause == 0 {
			select {
			case <-q.wake:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-q.options.Timer.After(max(batchDelay, pause)):
		case <-ctx.Done():
			return
		}
		err := q.appendPending(ctx)
		switch {
		case err == nil:
			pause = 0
		case pause == 0:
			q.options.Logger.Info("crashes not confirmed", "cause", err.Error())
			pause = minRetry
		default:
			pause = min(2*pause, maxRetry)
		}
		pause -= time.Duration(q.options.Random() * float64(pause) / 2)
	}
}

// appendPending appends all pending records.
func (q *Quarantine) appendPending(ctx context.Context) error {
	for {
		batch := q.nextBatch()
		if len(batch) == 0 {
			return nil
		}
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := q.options.Topic.Append(call, jvkeyed.Producer{}, batch)
		cancel()
		if err != nil {
			return err
		}
		q.confirm(batch)
	}
}

func (q *Quarantine) nextBatch() []jvkeyed.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := make([]jvkeyed.Record, 0, min(len(q.pending), maxBatch))
	for _, r := range q.pending {
		if len(batch) == maxBatch {
			break
		}
		batch = append(batch, r)
	}
	return batch
}

// confirm removes the records of an append from those pending, unless they were replaced meanwhile.
func (q *Quarantine) confirm(batch []jvkeyed.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range batch {
		if p, ok := q.pending[r.Key]; ok && len(p.Value) == len(r.Value) {
			delete(q.pending, r.Key)
		}
	}
}
