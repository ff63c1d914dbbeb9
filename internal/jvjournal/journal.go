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

// Journal is this process's copy of the state and its writer to the log. Its lock guards the
// state; callbacks run without it.
type Journal struct {
	options Options

	mu     sync.RWMutex
	state  *jvledger.State
	loaded bool
	// changed is closed and replaced each time that the state changes.
	changed chan struct{}
	// lastSeen is when the log last responded to a read, head the next offset that it named.
	lastSeen time.Time
	head     uint64
	// failure is the error of the last read, or empty once a read has succeeded.
	failure string
	// hashes holds the state's hash at recent checkpoints, by offset.
	hashes   map[uint64]string
	diverged int64
	// ownSnapshot is the state at this process's last checkpoint until it is written.
	ownSnapshot *jvrecord.Snapshot
	// pendingOrigin and pendingNumber identify the outstanding batch; pendingVerdicts receives
	// its verdicts.
	pendingOrigin   string
	pendingNumber   uint64
	pendingVerdicts chan []jvledger.Verdict

	queue   chan *submission
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Status is a journal's progress.
type Status struct {
	Loaded bool   `json:"loaded"`
	Offset uint64 `json:"offset"`
	// Head is the log's next offset at the last read.
	Head     uint64    `json:"head"`
	LastSeen time.Time `json:"contact"`
	// Failure is the error of the last read, or empty.
	Failure string `json:"failure,omitempty"`
	// Diverged counts snapshots whose hash differed from this VM's state at their offset.
	Diverged int64 `json:"diverged"`
}

// NewJournal returns a journal that reads and appends until it is closed.
func NewJournal(o Options) *Journal {
	ctx, cancel := context.WithCancel(context.Background())
	j := &Journal{
		options: o,
		state:   jvledger.NewState(o.Rules),
		changed: make(chan struct{}),
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

// Close stops reading and appending; waiting submissions fail with KindClosed, or KindPending
// if their batch is outstanding.
func (j *Journal) Close() {
	j.cancel()
	j.running.Wait()
}

// View calls read with the state under the read lock; read must not retain the state.
func (j *Journal) View(read func(s *jvledger.State)) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	read(j.state)
}

// Changed returns a channel that is closed when the state next changes.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.changed
}

// Status returns the journal's progress.
func (j *Journal) Status() Status {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return Status{
		Loaded:   j.loaded,
		Offset:   j.state.NextOffset(),
		Head:     j.head,
		LastSeen: j.lastSeen,
		Failure:  j.failure,
		Diverged: j.diverged,
	}
}

// Reachable reports whether the state is loaded and the log has responded within a time.
func (j *Journal) Reachable(within time.Duration) bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.loaded && !j.lastSeen.IsZero() && j.options.Timer.Since(j.lastSeen) <= within
}

// Snapshot returns the current state and its offset, for a peer that starts while the log is
// unreachable.
func (j *Journal) Snapshot() (uint64, []byte, error) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	if !j.loaded {
		return 0, nil, jvfault.Newf("snapshot", KindState, "this VM has no state yet")
	}
	return j.state.NextOffset(), j.state.Snapshot(), nil
}

func (j *Journal) snapshotStream() string { return j.options.Stream + "-snapshot" }

// follow loads the state and then reads the log until ctx ends; it retries with a backoff.
func (j *Journal) follow(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; {
		err := j.step(ctx)
		if err == nil {
			attempt = 0
			continue
		}
		j.recordFailure(err)
		select {
		case <-ctx.Done():
			return
		case <-j.options.Timer.After(j.options.backoff(attempt)):
		}
		attempt++
	}
}

// step loads the state if it isn't loaded, else reads and applies one page.
func (j *Journal) step(ctx context.Context) error {
	if !j.isLoaded() {
		return j.load(ctx)
	}
	j.mu.RLock()
	from := j.state.NextOffset()
	j.mu.RUnlock()
	page, err := j.options.Log.Read(ctx, j.options.Stream, from, j.options.ReadWait)
	if jvfault.KindOf[jvplatform.Kind](err) == jvplatform.KindHorizon {
		return j.loadFromLog(ctx)
	}
	if err != nil {
		return err
	}
	return j.applyPage(page)
}

func (j *Journal) isLoaded() bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.loaded
}

// load restores the state from the log, or from a peer while the log is unreachable.
func (j *Journal) load(ctx context.Context) error {
	err := j.loadFromLog(ctx)
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

// loadFromLog restores the newest snapshot if it is ahead of the state; where there is none it
// reads the log from offset 0.
func (j *Journal) loadFromLog(ctx context.Context) error {
	snapshot, err := j.newestSnapshot(ctx)
	if err != nil {
		return err
	}
	if snapshot == nil {
		return j.readFromStart(ctx)
	}
	j.compareHash(snapshot.Offset, snapshot.Hash)
	j.mu.RLock()
	ahead := !j.loaded || snapshot.Offset > j.state.NextOffset()
	j.mu.RUnlock()
	if !ahead {
		return jvfault.Newf("adopt snapshot", KindState, "the newest snapshot, of offset %d, is not ahead of the state", snapshot.Offset)
	}
	return j.restore(snapshot.State)
}

// readFromStart applies the log's first page, which requires that the log still has offset 0.
func (j *Journal) readFromStart(ctx context.Context) error {
	page, err := j.options.Log.Read(ctx, j.options.Stream, 0, 0)
	if err != nil {
		return err
	}
	j.mu.Lock()
	j.loaded = true
	j.mu.Unlock()
	return j.applyPage(page)
}

// newestSnapshot returns the newest snapshot that can be decoded, or nil where there is none.
func (j *Journal) newestSnapshot(ctx context.Context) (*jvrecord.Snapshot, error) {
	page, err := j.options.Log.Read(ctx, j.snapshotStream(), 0, 0)
	if jvfault.KindOf[jvplatform.Kind](err) == jvplatform.KindHorizon {
		err = nil // The page still names the offsets that are kept.
	}
	if err != nil {
		return nil, err
	}
	for next := page.Next; next > page.First; next-- {
		last, err := j.options.Log.Read(ctx, j.snapshotStream(), next-1, 0)
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
		j.options.Logger.Error(err, "snapshot passed over", "offset", next-1)
	}
	return nil, nil
}

func (j *Journal) restore(data []byte) error {
	s, err := jvledger.Restore(j.options.Rules, data)
	if err != nil {
		return jvfault.New("adopt snapshot", KindState, err)
	}
	if !j.replaceState(s) {
		return nil
	}
	if j.options.OnApply != nil {
		j.options.OnApply(j, jvledger.ApplyResult{Version: s.Version})
	}
	return nil
}

// replaceState replaces the state unless it is at or ahead of the new one, and reports whether
// it did.
func (j *Journal) replaceState(s *jvledger.State) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.loaded && s.NextOffset() <= j.state.NextOffset() {
		return false
	}
	j.state = s
	j.loaded = true
	j.notifyChanged()
	return true
}

// notifyChanged wakes those that wait on Changed; j.mu must be held.
func (j *Journal) notifyChanged() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// recordFailure keeps a read error for Status and logs the first one of an outage.
func (j *Journal) recordFailure(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failure == "" {
		j.options.Logger.Info("log unreachable", "cause", err.Error())
	}
	j.failure = err.Error()
}

func (j *Journal) applyPage(page jvplatform.Page) error {
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
	j.lastSeen = j.options.Timer.Now()
	j.head = page.Next
	return nil
}

func (j *Journal) applyEntry(e jvledger.Entry) error {
	j.mu.Lock()
	a, err := j.state.Apply(e)
	if a.Checkpoint {
		j.recordCheckpoint(e.Offset, a)
	}
	j.notifyChanged()
	j.mu.Unlock()
	switch jvfault.KindOf[jvledger.Kind](err) {
	case jvledger.KindMalformed:
		j.options.Logger.Error(err, "entry passed over", "offset", e.Offset)
		return nil
	case jvledger.KindGap:
		return err
	}
	j.passVerdicts(a)
	if a.SnapshotHash != nil {
		j.compareHash(a.SnapshotHash.Offset, a.SnapshotHash.Hash)
	}
	if j.options.OnApply != nil {
		j.options.OnApply(j, a)
	}
	return nil
}
