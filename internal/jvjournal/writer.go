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

// submission is the records of one caller with the channel for their verdicts.
type submission struct {
	origin  string
	records []jvrecord.Record
	done    chan result
}

// result is what became of a submission.
type result struct {
	verdicts []jvledger.Verdict
	err      error
}

// Submit appends records under an origin and returns the fold's verdicts on them. Where ctx
// ends first, KindPending leaves open whether they will be folded.
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

func (j *Journal) write(ctx context.Context) {
	numbers := map[string]uint64{}
	var next *submission
	for ctx.Err() == nil {
		var waiting []*submission
		waiting, next = j.collect(ctx, next)
		if len(waiting) == 0 {
			break
		}
		origin := waiting[0].origin
		numbers[origin]++
		j.deliver(ctx, origin, numbers[origin], waiting)
	}
	if next != nil {
		next.done <- result{err: jvfault.New[Kind]("submit", KindClosed, nil)}
	}
	j.refuse()
}

// collect waits for one submission and takes what else is queued for the same origin, up to
// a full batch. It returns the first submission of another origin for the next batch.
func (j *Journal) collect(ctx context.Context, first *submission) (waiting []*submission, next *submission) {
	if first == nil {
		select {
		case <-ctx.Done():
			return nil, nil
		case first = <-j.queue:
		}
	}
	waiting = append(waiting, first)
	records := len(first.records)
	for records < j.options.MaxBatchRecords {
		select {
		case s := <-j.queue:
			if s.origin != first.origin {
				return waiting, s
			}
			waiting = append(waiting, s)
			records += len(s.records)
		default:
			return waiting, nil
		}
	}
	return waiting, nil
}

// refuse answers the submissions that were never sent.
func (j *Journal) refuse() {
	for {
		select {
		case s := <-j.queue:
			s.done <- result{err: jvfault.New[Kind]("submit", KindClosed, nil)}
		default:
			return
		}
	}
}

// deliver appends one batch until the fold shows it, and hands out the verdicts.
func (j *Journal) deliver(ctx context.Context, origin string, number uint64, waiting []*submission) {
	batch := jvrecord.Batch{Origin: origin, Number: number}
	for _, s := range waiting {
		batch.Records = append(batch.Records, s.records...)
	}
	folded := j.watch(origin, number)
	data := jvcodec.Encode(&batch)
	for try := 0; ctx.Err() == nil; try++ {
		pause := j.options.backoff(try)
		if j.appendOnce(ctx, data) {
			pause += j.options.AppendTimeout // It is in the log; reading it back may take a while.
		}
		select {
		case verdicts := <-folded:
			handOut(waiting, verdicts)
			return
		case <-ctx.Done():
		case <-j.options.Timer.After(pause):
		}
		if j.passed(origin, number) && len(folded) == 0 {
			handOut(waiting, nil)
			return
		}
	}
	for _, s := range waiting {
		s.done <- result{err: jvfault.New("submit", KindPending, ctx.Err())}
	}
}

// appendOnce sends the batch and tells whether the log confirmed it.
func (j *Journal) appendOnce(ctx context.Context, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, j.options.AppendTimeout)
	defer cancel()
	_, err := j.options.Log.Append(ctx, j.options.Stream, data)
	if err != nil {
		j.options.Logger.V(1).Info("append not confirmed", "cause", err.Error())
	}
	return err == nil
}

// watch returns the channel on which the verdicts on the outstanding batch come.
func (j *Journal) watch(origin string, number uint64) <-chan []jvledger.Verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.delivering = origin
	j.outstanding = number
	j.folded = make(chan []jvledger.Verdict, 1)
	return j.folded
}

// notice passes on the verdicts on the outstanding batch, the first time that it is read.
// A batch that the fold dropped, since it has forgotten the origin, has none.
func (j *Journal) notice(a jvledger.ApplyResult) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if a.Origin != j.delivering || a.Number != j.outstanding || j.folded == nil {
		return
	}
	j.folded <- a.Verdicts
	j.folded = nil
}

// passed tells whether the state holds a batch of this origin, as after a snapshot.
func (j *Journal) passed(origin string, number uint64) bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	o := j.state.Origins[origin]
	return o != nil && o.LastBatch >= number
}

func handOut(waiting []*submission, verdicts []jvledger.Verdict) {
	for _, s := range waiting {
		if len(verdicts) < len(s.records) {
			s.done <- result{err: jvfault.New[Kind]("submit", KindLost, nil)}
			continue
		}
		s.done <- result{verdicts: verdicts[:len(s.records):len(s.records)]}
		verdicts = verdicts[len(s.records):]
	}
}
