package jvkeyed

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Pauses between tries while the log does not answer.
const (
	retryLeast = 50 * time.Millisecond
	retryMost  = 500 * time.Millisecond
)

// Options are what a Follower is built from.
type Options struct {
	Name   string
	Topic  Topic
	Timer  *jvtimer.Service
	Logger logr.Logger
	// Random returns a number in 0..1; it spreads retries.
	Random func() float64
	// Wait is how long one read waits for records.
	Wait time.Duration
	// ReadTimeout bounds one read of Run, Wait included, so that a silent connection is found.
	ReadTimeout time.Duration
	// Apply takes over items in order. With whole set they are all that the topic holds, and
	// any other key is gone. It is called from one goroutine at a time.
	Apply func(items []Record, whole bool)
	// OnReconnect is called when the log answers again after it did not; it may be nil.
	OnReconnect func()
}

// Follower holds a position in a topic and passes on what comes after it.
type Follower struct {
	options Options
	// polling lets one poll run at a time; it is taken before mu.
	polling sync.Mutex

	mu      sync.Mutex
	loaded  bool
	next    uint64
	failure string
	contact time.Time
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(o Options) *Follower { return &Follower{options: o} }

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for try := 0; ctx.Err() == nil; {
		call, cancel := context.WithTimeout(ctx, f.options.ReadTimeout)
		err := f.Poll(call, f.options.Wait)
		cancel()
		if err == nil {
			try = 0
			continue
		}
		pause := min(retryLeast<<min(try, 8), retryMost)
		pause -= time.Duration(f.options.Random() * float64(pause) / 2)
		try++
		select {
		case <-ctx.Done():
		case <-f.options.Timer.After(pause):
		}
	}
}

// Poll reads once, the whole topic where the follower has no position yet or has lost it.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) error {
	return f.use(ctx, func() error { return f.poll(ctx, wait) })
}

// Reload lists the newest records of the whole topic; where records are replaced many times
// between two reads that is less than all of them.
func (f *Follower) Reload(ctx context.Context) error {
	return f.use(ctx, func() error { return f.load(ctx) })
}

func (f *Follower) use(ctx context.Context, read func() error) error {
	f.polling.Lock()
	defer f.polling.Unlock()
	err := read()
	if !errors.Is(ctx.Err(), context.Canceled) {
		f.note(err)
	}
	return err
}

func (f *Follower) poll(ctx context.Context, wait time.Duration) error {
	if !f.Loaded() {
		return f.load(ctx)
	}
	page, err := f.options.Topic.Read(ctx, f.Next(), wait)
	if jvfault.KindOf[Kind](err) == KindCompacted {
		f.options.Logger.Info("history dropped, reading the topic whole", "topic", f.options.Name, "from", f.Next())
		return f.load(ctx)
	}
	if err != nil {
		return err
	}
	if len(page.Records) == 0 {
		return nil
	}
	f.options.Apply(page.Records, false)
	f.move(page.Records[len(page.Records)-1].Offset + 1)
	return nil
}

// load lists the whole topic. Pages are no snapshot, so the position is the end that the
// first page told: what changed while later ones were read comes again.
func (f *Follower) load(ctx context.Context) error {
	var all []Record
	after := ""
	var end uint64
	for first := true; ; first = false {
		page, err := f.options.Topic.Newest(ctx, after)
		if err != nil {
			return err
		}
		if first {
			end = page.End
		}
		all = append(all, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	if f.Loaded() && end < f.Next() {
		return jvfault.Newf("load topic", KindUnknown, "the topic ends at %d, before the position %d", end, f.Next())
	}
	f.options.Apply(all, true)
	f.mu.Lock()
	f.loaded = true
	f.mu.Unlock()
	f.move(end)
	return nil
}

func (f *Follower) move(next uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = max(f.next, next)
}

// note keeps whether the log answers, and tells when that changes.
func (f *Follower) note(err error) {
	f.mu.Lock()
	before := f.failure
	f.failure = ""
	if err != nil {
		f.failure = err.Error()
	} else {
		f.contact = f.options.Timer.Now()
	}
	f.mu.Unlock()
	switch {
	case err != nil && before == "":
		f.options.Logger.Info("log lost", "topic", f.options.Name, "cause", err.Error())
	case err == nil && before != "":
		f.options.Logger.Info("log regained", "topic", f.options.Name, "offset", f.Next())
		if f.options.OnReconnect != nil {
			f.options.OnReconnect()
		}
	}
}

// Loaded tells whether the topic has been read whole once.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// Next returns the offset of the first record that was not read yet.
func (f *Follower) Next() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// LastSeen returns when the log last answered, and whether its last answer was a good one.
func (f *Follower) LastSeen() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact, f.loaded && f.failure == ""
}

// Advance takes over items that this process itself appended at the follower's position.
func (f *Follower) Advance(at, end uint64, items []Record) {
	f.polling.Lock()
	defer f.polling.Unlock()
	if f.Next() != at {
		return
	}
	own := make([]Record, len(items))
	for n, i := range items {
		own[n] = Record{Key: i.Key, Value: i.Value, Offset: at + uint64(n)}
	}
	f.options.Apply(own, false)
	f.move(end)
}
