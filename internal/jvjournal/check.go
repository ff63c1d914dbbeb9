package jvjournal

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// hashesKept bounds the check records whose hash is remembered.
const hashesKept = 8

// noteCheck remembers the hash of the state at a check record; the lock must be held. The
// record's sender also keeps the state, to write it out.
func (j *Journal) noteCheck(offset uint64, a jvledger.ApplyResult) {
	data := j.state.Snapshot()
	digest := sha256.Sum256(data)
	next := offset + 1
	j.hashes[next] = hex.EncodeToString(digest[:])
	for at := range j.hashes {
		if len(j.hashes) > hashesKept && at < next {
			delete(j.hashes, at)
		}
	}
	if a.Origin == j.delivering {
		j.ownCheck = &jvrecord.Snapshot{Offset: next, Hash: j.hashes[next], State: data}
	}
}

// compare reports a snapshot whose hash differs from this VM's own state at its offset.
func (j *Journal) compare(offset uint64, hash string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	own, ok := j.hashes[offset]
	if ok && own != hash {
		j.diverged++
		j.options.Logger.Info("state differs from a snapshot", "offset", offset, "own", own, "snapshot", hash)
	}
}

// CheckpointDue tells whether a new snapshot is due, by entries or by log time.
func (j *Journal) CheckpointDue() bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	if !j.loaded || j.state.NextOffset() == 0 {
		return false
	}
	entries := j.state.NextOffset() - j.state.CheckpointOffset
	age := time.Duration(j.options.Timer.Now().UnixMilli()-j.state.CheckpointAt) * time.Millisecond
	return entries >= j.options.CheckpointEntries || (entries > 1 && age >= j.options.CheckpointInterval)
}

// Checkpoint appends a check record, writes the state at its offset to the snapshot stream, and
// then states its hash on the main stream, so that every VM can compare without reading it.
func (j *Journal) Checkpoint(ctx context.Context, origin string) error {
	if _, err := j.Submit(ctx, origin, jvrecord.Record{Checkpoint: &jvrecord.Checkpoint{}}); err != nil {
		return err
	}
	j.mu.Lock()
	snapshot := j.ownCheck
	j.ownCheck = nil
	j.mu.Unlock()
	if snapshot == nil {
		return nil
	}
	if _, err := j.options.Log.Append(ctx, j.snapshotStream(), jvcodec.Encode(snapshot)); err != nil {
		return err
	}
	stated := &jvrecord.Checkpoint{Offset: snapshot.Offset, Hash: snapshot.Hash}
	_, err := j.Submit(ctx, origin, jvrecord.Record{Checkpoint: stated})
	return err
}
