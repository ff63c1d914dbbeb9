package jvkeyed

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvpressure"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Pauses between retries while the log does not respond.
const (
	minRetry = 50 * time.Millisecond
	maxRetry = 500 * time.Millisecond
	// lateRead is how much longer than its wait a read may take before the next one asks without a wait.
	lateRead = 250 * time.Millisecond
	// refusedFactor is the pause after a refused read, in pauses of Gather: a log that refuses calls has too many.
	refusedFactor = 2
)

// Options configure a Follower.
type Options struct {
	// Name is the topic's name in log messages.
	Name   string
	Topic  Topic
	Timer  *jvtimer.Service
	Logger logr.Logger
	// Random returns a number in [0, 1), by which retries are randomized.
	Random func() float64
	// ReadWait is how long one read of Run waits for new records.
	ReadWait time.Duration
	// ReadTimeout bounds one read of Run, including ReadWait, so that a silent connection is detected.
	ReadTimeout time.Duration
	// Gather returns the pause of Run after a read that returned records, so that the next read returns several
	// records: each record ends the waiting reads of all routers at once. It may be nil.
	Gather func() time.Duration
	// Apply applies records in order. With complete set they are all records of the topic, and keys
	// without a record no longer exist. It is called from one goroutine at a time.
	Apply func(records []Record, complete bool)
	// Renew applies all records of the topic in place of Apply after the log came back from an earlier copy of
	// itself: what was read before may be missing. It may be nil.
	Renew func(era uint64, records []Record)
	// Restore is called with the records that were read lately and that such a copy lacks, unless their keys were
	// written again. Apply has got them with those of the copy. It may be nil.
	Restore func(records []Record)
	// OnReconnect is called when the log responds again after a failure; it may be nil.
	OnReconnect func()
	// Observe is called at the end of each read that was not canceled; it may be nil.
	Observe func(jvpressure.Read)
}

// Follower keeps an offset in a topic and applies the records from there on.
type Follower struct {
	options Options
	// readMu serializes reads and Advance; it is acquired before mu.
	readMu sync.Mutex

	mu     sync.Mutex
	loaded bool
	// next is the offset of the first record that has not been read, in the log's era.
	next Mark
	// tail are the records that were read lately, for Restore.
	tail tail
	// failure is the error of the latest read, or empty.
	failure  string
	lastSeen time.Time
}

// NewFollower returns a Follower that has read nothing yet.
func NewFollower(o Options) *Follower { return &Follower{options: o} }

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := f.options.ReadWait
	for retries := 0; ctx.Err() == nil; {
		startedAt := f.options.Timer.Uptime()
		call, cancel := f.options.Timer.WithTimeout(ctx, f.options.ReadTimeout)
		before := f.NextOffset()
		err := f.Poll(call, wait)
		cancel()
		wait = f.options.ReadWait
		if err != nil || f.options.Timer.Uptime()-startedAt > f.options.ReadWait+lateRead {
			wait = 0 // What is known is old by now: the next read must not wait for a change.
		}
		if err == nil {
			retries = 0
			if f.options.Gather != nil && f.NextOffset() != before {
				gather := f.options.Gather()
				wait = max(0, wait-gather)
				f.pause(ctx, gather)
			}
			continue
		}
		pause := min(minRetry<<min(retries, 8), maxRetry)
		if f.options.Gather != nil && jvfault.KindOf[Kind](err).NoEffect() {
			pause = max(pause, refusedFactor*f.options.Gather())
		}
		pause -= time.Duration(f.options.Random() * float64(pause) / 2)
		retries++
		f.pause(ctx, pause)
	}
}

// pause waits for a time, or until ctx ends.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.options.Timer.After(d):
	}
}

// Poll reads once from the follower's offset, or the whole topic where it has no offset yet or the
// records there are no longer kept.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) error {
	return f.read(ctx, wait, func() (int, error) { return f.poll(ctx, wait) })
}

// Reload lists the newest records of the whole topic. Where records are replaced many times between
// two reads, that transfers less than reading all of them.
func (f *Follower) Reload(ctx context.Context) error {
	return f.read(ctx, 0, func() (int, error) { return f.load(ctx) })
}

// read runs one read at a time, which returns the number of records, and reports its result.
func (f *Follower) read(ctx context.Context, wait time.Duration, read func() (int, error)) error {
	f.readMu.Lock()
	defer f.readMu.Unlock()
	startedAt := f.options.Timer.Uptime()
	records, err := read()
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return err
	}
	if f.options.Observe != nil {
		f.options.Observe(jvpressure.Read{StartedAt: startedAt, EndedAt: f.options.Timer.Uptime(), Wait: wait, Records: records, Err: err})
	}
	f.reportResult(err)
	return err
}

// poll reads once and returns the number of records.
func (f *Follower) poll(ctx context.Context, wait time.Duration) (int, error) {
	if !f.Loaded() {
		return f.load(ctx)
	}
	next := f.Next()
	page, err := f.options.Topic.Read(ctx, next.Offset, wait)
	if jvfault.KindOf[Kind](err) == KindCompacted {
		f.options.Logger.Info("history dropped, reading the whole topic", "topic", f.options.Name, "from", next.Offset, "era", next.Era)
		return f.load(ctx)
	}
	if err != nil {
		return 0, err
	}
	if page.Era != next.Era && page.Era != 0 {
		return f.load(ctx) // The offset is one of the era before.
	}
	if len(page.Records) == 0 {
		return 0, nil
	}
	f.apply(page.Records)
	f.setNext(Mark{Era: next.Era, Offset: page.Records[len(page.Records)-1].Offset + 1})
	return len(page.Records), nil
}

// apply applies records that follow those that were read.
func (f *Follower) apply(records []Record) {
	f.remember(records)
	f.options.Apply(records, false)
}

// remember keeps records for Restore.
func (f *Follower) remember(records []Record) {
	if f.options.Restore != nil {
		f.tail = f.tail.With(records, f.options.Timer.Now())
	}
}

// load lists the whole topic. The pages together are no snapshot, so the next offset is the end in
// the first page: what changed while later pages were read is read again. It returns the number of records.
func (f *Follower) load(ctx context.Context) (int, error) {
	var all []Record
	after := ""
	var end Mark
	for first := true; ; first = false {
		page, err := f.options.Topic.Newest(ctx, after)
		if err != nil {
			return 0, err
		}
		if first {
			end = Mark{Era: page.Era, Offset: page.End}
		}
		if page.Era != end.Era {
			return 0, jvfault.Newf("load topic", KindUnknown, "the listing began in era %d, and era %d has begun", end.Era, page.Era)
		}
		all = append(all, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	before := f.Next()
	renewed := f.Loaded() && end.Era != before.Era
	if f.Loaded() && !renewed && end.Offset < before.Offset {
		return 0, jvfault.Newf("load topic", KindUnknown, "the topic ends at %d, before the follower's offset %d", end.Offset, before.Offset)
	}
	if renewed {
		f.renew(before, end, all)
	} else {
		f.options.Apply(all, true)
	}
	f.mu.Lock()
	f.loaded = true
	f.mu.Unlock()
	f.setNext(end)
	return len(all), nil
}

// renew applies the listing of a log that came back from an earlier copy of itself.
func (f *Follower) renew(before, end Mark, listed []Record) {
	merged, missing := f.tail.Merge(listed)
	f.options.Logger.Info("log set back", "topic", f.options.Name, "era", end.Era, "from", before.Era, "offset", before.Offset,
		"end", end.Offset, "missing", len(missing))
	f.tail = tail{}
	if f.options.Renew != nil {
		f.options.Renew(end.Era, listed)
		return
	}
	f.options.Apply(merged, true)
	if f.options.Restore != nil {
		f.options.Restore(missing)
	}
}

// setNext advances the next offset; it goes back in a new era only.
func (f *Follower) setNext(next Mark) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Era == f.next.Era {
		next.Offset = max(f.next.Offset, next.Offset)
	}
	f.next = next
}

// reportResult stores whether the log responds, and logs when that changes.
func (f *Follower) reportResult(err error) {
	f.mu.Lock()
	before := f.failure
	f.failure = ""
	if err != nil {
		f.failure = err.Error()
	} else {
		f.lastSeen = f.options.Timer.Now()
	}
	f.mu.Unlock()
	switch {
	case err != nil && before == "":
		next := f.Next()
		f.options.Logger.Info("log lost", "topic", f.options.Name, "era", next.Era, "offset", next.Offset, "cause", err.Error())
	case err == nil && before != "":
		next := f.Next()
		f.options.Logger.Info("log regained", "topic", f.options.Name, "era", next.Era, "offset", next.Offset)
		if f.options.OnReconnect != nil {
			f.options.OnReconnect()
		}
	}
}

// Loaded reports whether the whole topic has been read once.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// Next returns where the first record is that has not been read yet.
func (f *Follower) Next() Mark {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// NextOffset returns the offset of the first record that has not been read yet.
func (f *Follower) NextOffset() uint64 { return f.Next().Offset }

// LastSeen returns when the log last responded, and whether the whole topic has been read and the
// latest read succeeded.
func (f *Follower) LastSeen() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastSeen, f.loaded && f.failure == ""
}

// Advance applies records that this process itself appended at a position, after which the topic ends at another one.
// It does nothing where the follower is elsewhere, or the log's era has changed meanwhile.
func (f *Follower) Advance(at, end Mark, records []Record) {
	f.readMu.Lock()
	defer f.readMu.Unlock()
	if f.Next() != at || end.Era != at.Era {
		return
	}
	own := make([]Record, len(records))
	for n, r := range records {
		own[n] = Record{Key: r.Key, Value: r.Value, Offset: at.Offset + uint64(n)}
	}
	f.apply(own)
	f.setNext(end)
}
