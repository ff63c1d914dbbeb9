package jvjournal

import (
	"context"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// queueLength bounds the submissions that wait for the next batch.
const queueLength = 8192

// submission is the records of one Submit call with the channel for their result.
type submission struct {
	origin  string
	records []jvrecord.Record
	done    chan result
}

// result is the result of a submission.
type result struct {
	verdicts []jvledger.Verdict
	err      error
}

// Submit appends records under an origin and returns the verdicts on them. An origin names one
// process start and must not be reused by another. If ctx ends first, KindPending leaves open
// whether the records will be applied.
func (j *Journal) Submit(ctx context.Context, origin string, records ...jvrecord.Record) ([]jvledger.Verdict, error) {
	s := &submission{origin: origin, records: records, done: make(chan result, 1)}
	select {
	case j.queue <- s:
	case <-ctx.Done():
		return nil, jvfault.New("submit", KindClosed, ctx.Err())
	}
	select {
	case r := <-s.done:
		return r.verdicts, r.err
	case <-ctx.Done():
		return nil, jvfault.New("submit", KindPending, ctx.Err())
	}
}

// write delivers the queued submissions in batches until ctx ends.
func (j *Journal) write(ctx context.Context) {
	numbers := map[string]uint64{}
	var next *submission
	for ctx.Err() == nil {
		var submissions []*submission
		submissions, next = j.collect(ctx, next)
		if len(submissions) == 0 {
			break
		}
		origin := submissions[0].origin
		numbers[origin]++
		j.deliver(ctx, origin, numbers[origin], submissions)
	}
	if next != nil {
		next.done <- result{err: jvfault.New[Kind]("submit", KindClosed, nil)}
	}
	j.rejectQueued()
}

// collect waits for one submission and adds those queued for the same origin, up to a full
// batch. It returns the first submission of another origin as next, for the next batch.
func (j *Journal) collect(ctx context.Context, first *submission) (submissions []*submission, next *submission) {
	if first == nil {
		select {
		case <-ctx.Done():
			return nil, nil
		case first = <-j.queue:
		}
	}
	submissions = append(submissions, first)
	records := len(first.records)
	for records < j.options.MaxBatchRecords {
		select {
		case s := <-j.queue:
			if s.origin != first.origin {
				return submissions, s
			}
			submissions = append(submissions, s)
			records += len(s.records)
		default:
			return submissions, nil
		}
	}
	return submissions, nil
}

// rejectQueued fails the submissions that were never sent.
func (j *Journal) rejectQueued() {
	for {
		select {
		case s := <-j.queue:
			s.done <- result{err: jvfault.New[Kind]("submit", KindClosed, nil)}
		default:
			return
		}
	}
}

// deliver appends one batch, repeatedly until it has been read back and applied, and passes
// the verdicts to its submissions.
func (j *Journal) deliver(ctx context.Context, origin string, number uint64, submissions []*submission) {
	batch := jvrecord.Batch{Origin: origin, Number: number}
	for _, s := range submissions {
		batch.Records = append(batch.Records, s.records...)
	}
	applied := j.expectVerdicts(origin, number)
	data := jvcodec.Encode(&batch)
	for attempt := 0; ctx.Err() == nil; attempt++ {
		delay := j.options.backoff(attempt)
		if j.appendOnce(ctx, data) {
			delay += j.options.AppendTimeout // The log has the batch; reading it back may take a while.
		}
		select {
		case verdicts := <-applied:
			finish(submissions, verdicts)
			return
		case <-ctx.Done():
		case <-j.options.Timer.After(delay):
		}
		if j.isApplied(origin, number) && len(applied) == 0 {
			finish(submissions, nil)
			return
		}
	}
	for _, s := range submissions {
		s.done <- result{err: jvfault.New("submit", KindPending, ctx.Err())}
	}
}

// appendOnce appends the batch and reports whether the log confirmed it.
func (j *Journal) appendOnce(ctx context.Context, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, j.options.AppendTimeout)
	defer cancel()
	_, err := j.options.Log.Append(ctx, j.options.Stream, data)
	if err != nil {
		j.options.Logger.V(1).Info("append not confirmed", "cause", err.Error())
	}
	return err == nil
}

// expectVerdicts sets the outstanding batch and returns the channel for its verdicts.
func (j *Journal) expectVerdicts(origin string, number uint64) <-chan []jvledger.Verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pendingOrigin = origin
	j.pendingNumber = number
	j.pendingVerdicts = make(chan []jvledger.Verdict, 1)
	return j.pendingVerdicts
}

// passVerdicts passes on the verdicts on the outstanding batch when it is first read back. A
// batch that the state machine dropped, since its origin has expired, has none.
func (j *Journal) passVerdicts(a jvledger.ApplyResult) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if a.Origin != j.pendingOrigin || a.Number != j.pendingNumber || j.pendingVerdicts == nil {
		return
	}
	j.pendingVerdicts <- a.Verdicts
	j.pendingVerdicts = nil
}

// isApplied reports whether the state includes a batch, as it may after restoring a snapshot.
func (j *Journal) isApplied(origin string, number uint64) bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	o := j.state.Origins[origin]
	return o != nil && o.LastBatch >= number
}

// finish passes each submission its part of a batch's verdicts, or KindLost where they lack it.
func finish(submissions []*submission, verdicts []jvledger.Verdict) {
	for _, s := range submissions {
		if len(verdicts) < len(s.records) {
			s.done <- result{err: jvfault.New[Kind]("submit", KindLost, nil)}
			continue
		}
		s.done <- result{verdicts: verdicts[:len(s.records):len(s.records)]}
		verdicts = verdicts[len(s.records):]
	}
}
