package jvjournal

import (
	"context"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// Journal is this process's copy of the state and its way to append. Its lock guards the
// state; callbacks run without it.
type Journal struct {
	options Options

	mu     sync.RWMutex
	state  *jvledger.State
	loaded bool
	// moved is closed and made anew each time that the state moves.
	moved chan struct{}
	// contact is when the log last answered a read, head the offset it named as its next.
	contact time.Time
	head    uint64
	failure string
	// hashes holds the state's hash at recent check records, by offset.
	hashes   map[uint64]string
	diverged int64
	ownCheck *jvrecord.Snapshot
	// delivering and outstanding are origin and number of the batch being delivered; folded
	// takes its verdicts.
	delivering  string
	outstanding uint64
	folded      chan []jvledger.Verdict

	queue   chan *submission
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Status is what a journal tells of itself.
type Status struct {
	Loaded  bool      `json:"loaded"`
	Offset  uint64    `json:"offset"`
	Head    uint64    `json:"head"`
	LastSeen time.Time `json:"contact"`
	Failure string    `json:"failure,omitempty"`
	// Diverged counts snapshots whose hash differed from this VM's state at their offset.
	Diverged int64 `json:"diverged"`
}

// NewJournal returns a journal that reads and appends until it is closed.
func NewJournal(o Options) *Journal {
	ctx, cancel := context.WithCancel(context.Background())
	j := &Journal{
		options: o,
		state:   jvledger.NewState(o.Rules),
		moved:   make(chan struct{}),
		hashes:  map[uint64]string{},
		queue:   make(chan *submission, queueLength),
		cancel:  cancel,
	}
	j.running.Add(2)
	go func() {
		defer j.running.Done()
		j.follow(ctx)
	}()
	go func() {
		defer j.running.Done()
		j.write(ctx)
	}()
	return j
}

// Close stops reading and appending; submissions that wait get KindClosed.
func (j *Journal) Close() {
	j.cancel()
	j.running.Wait()
}

// View calls look with the state under the read lock; look must not keep it.
func (j *Journal) View(look func(s *jvledger.State)) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	look(j.state)
}

// Changed returns a channel that is closed when the state next moves.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.moved
}

// Status returns offset, lag and last failure.
func (j *Journal) Status() Status {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return Status{
		Loaded:   j.loaded,
		Offset:   j.state.NextOffset(),
		Head:     j.head,
		LastSeen:  j.contact,
		Failure:  j.failure,
		Diverged: j.diverged,
	}
}

// Reachable tells whether the log has answered within a time.
func (j *Journal) Reachable(within time.Duration) bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.loaded && !j.contact.IsZero() && j.options.Timer.Since(j.contact) <= within
}

// Snapshot returns the state as it is now, for a peer that starts while the log is away.
func (j *Journal) Snapshot() (uint64, []byte, error) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	if !j.loaded {
		return 0, nil, jvfault.Newf("snapshot", KindState, "this VM has no state yet")
	}
	return j.state.NextOffset(), j.state.Snapshot(), nil
}

func (j *Journal) snapshotStream() string { return j.options.Stream + "-snapshot" }

// follow reads the log until ctx ends, starting from the newest snapshot.
func (j *Journal) follow(ctx context.Context) {
	for try := 0; ctx.Err() == nil; {
		err := j.step(ctx)
		if err == nil {
			try = 0
			continue
		}
		j.fail(err)
		select {
		case <-ctx.Done():
			return
		case <-j.options.Timer.After(j.options.backoff(try)):
		}
		try++
	}
}

func (j *Journal) step(ctx context.Context) error {
	if !j.isLoaded() {
		return j.load(ctx)
	}
	j.mu.RLock()
	from := j.state.NextOffset()
	j.mu.RUnlock()
	page, err := j.options.Log.Read(ctx, j.options.Stream, from, j.options.ReadWait)
	if jvfault.KindOf[jvplatform.Kind](err) == jvplatform.KindHorizon {
		return j.adopt(ctx)
	}
	if err != nil {
		return err
	}
	return j.apply(page)
}

func (j *Journal) isLoaded() bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.loaded
}

// load takes the newest snapshot, or the log from its beginning, or while the log is away
// a peer's state.
func (j *Journal) load(ctx context.Context) error {
	err := j.adopt(ctx)
	if err == nil || j.options.FetchPeerState == nil {
		return err
	}
	offset, data, peerErr := j.options.FetchPeerState(ctx)
	if peerErr != nil {
		return err
	}
	j.options.Logger.Info("state taken from a peer", "offset", offset, "cause", err.Error())
	return j.restore(data)
}

// adopt takes the newest snapshot of the log where it is ahead of the state held.
func (j *Journal) adopt(ctx context.Context) error {
	snapshot, err := j.newest(ctx)
	if err != nil {
		return err
	}
	if snapshot == nil {
		return j.start(ctx)
	}
	j.compare(snapshot.Offset, snapshot.Hash)
	j.mu.RLock()
	behind := !j.loaded || snapshot.Offset > j.state.NextOffset()
	j.mu.RUnlock()
	if !behind {
		return jvfault.Newf("adopt snapshot", KindState, "the newest snapshot is not ahead of offset %d", snapshot.Offset)
	}
	return j.restore(snapshot.State)
}

// start begins at offset 0 where the log still holds it.
func (j *Journal) start(ctx context.Context) error {
	page, err := j.options.Log.Read(ctx, j.options.Stream, 0, 0)
	if err != nil {
		return err
	}
	j.mu.Lock()
	j.loaded = true
	j.mu.Unlock()
	return j.apply(page)
}

func (j *Journal) newest(ctx context.Context) (*jvrecord.Snapshot, error) {
	page, err := j.options.Log.Read(ctx, j.snapshotStream(), 0, 0)
	if jvfault.KindOf[jvplatform.Kind](err) == jvplatform.KindHorizon {
		err = nil
	}
	if err != nil {
		return nil, err
	}
	for at := page.Next; at > page.First; at-- {
		last, err := j.options.Log.Read(ctx, j.snapshotStream(), at-1, 0)
		if err != nil {
			return nil, err
		}
		if len(last.Entries) == 0 {
			continue
		}
		s, err := jvcodec.Decode[jvrecord.Snapshot](last.Entries[0].Data)
		if err == nil {
			return &s, nil
		}
		j.options.Logger.Error(err, "snapshot passed over", "offset", at-1)
	}
	return nil, nil
}

func (j *Journal) restore(data []byte) error {
	s, err := jvledger.Restore(j.options.Rules, data)
	if err != nil {
		return jvfault.New("adopt snapshot", KindState, err)
	}
	if !j.replace(s) {
		return nil
	}
	if j.options.OnApply != nil {
		j.options.OnApply(j, jvledger.ApplyResult{Version: s.Version})
	}
	return nil
}

// replace puts a state in place of one that is behind it; it never goes back.
func (j *Journal) replace(s *jvledger.State) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.loaded && s.NextOffset() <= j.state.NextOffset() {
		return false
	}
	j.state = s
	j.loaded = true
	j.move()
	return true
}

// move wakes those who wait for the state; the lock must be held.
func (j *Journal) move() {
	close(j.moved)
	j.moved = make(chan struct{})
}

func (j *Journal) fail(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failure == "" {
		j.options.Logger.Info("log unreachable", "cause", err.Error())
	}
	j.failure = err.Error()
}

func (j *Journal) apply(page jvplatform.Page) error {
	for _, e := range page.Entries {
		if err := j.applyEntry(e); err != nil {
			return err
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failure != "" {
		j.options.Logger.Info("log reachable again", "offset", j.state.NextOffset())
	}
	j.failure = ""
	j.contact = j.options.Timer.Now()
	j.head = page.Next
	return nil
}

func (j *Journal) applyEntry(e jvledger.Entry) error {
	j.mu.Lock()
	a, err := j.state.Apply(e)
	if a.Checkpoint {
		j.noteCheck(e.Offset, a)
	}
	j.move()
	j.mu.Unlock()
	switch jvfault.KindOf[jvledger.Kind](err) {
	case jvledger.KindMalformed:
		j.options.Logger.Error(err, "entry passed over", "offset", e.Offset)
		return nil
	case jvledger.KindGap:
		return err
	}
	j.notice(a)
	if a.SnapshotHash != nil {
		j.compare(a.SnapshotHash.Offset, a.SnapshotHash.Hash)
	}
	if j.options.OnApply != nil {
		j.options.OnApply(j, a)
	}
	return nil
}
