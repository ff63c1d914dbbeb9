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

// maxHashes bounds the checkpoints whose hash is kept.
const maxHashes = 8

// recordCheckpoint keeps the hash of the state at a checkpoint; j.mu must be held. The
// checkpoint's sender also keeps the state, which it writes to the snapshot stream.
func (j *Journal) recordCheckpoint(offset uint64, a jvledger.ApplyResult) {
	data := j.state.Snapshot()
	digest := sha256.Sum256(data)
	next := offset + 1
	j.hashes[next] = hex.EncodeToString(digest[:])
	for o := range j.hashes {
		if len(j.hashes) > maxHashes && o < next {
			delete(j.hashes, o)
		}
	}
	if a.Origin == j.pendingOrigin {
		j.ownSnapshot = &jvrecord.Snapshot{Offset: next, Hash: j.hashes[next], State: data}
	}
}

// compareHash counts and logs a snapshot whose hash differs from this VM's state at its offset.
func (j *Journal) compareHash(offset uint64, hash string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	own, ok := j.hashes[offset]
	if ok && own != hash {
		j.diverged++
		j.options.Logger.Info("state differs from a snapshot", "offset", offset, "own", own, "snapshot", hash)
	}
}

// CheckpointDue reports whether a new checkpoint is due, by the entries or the time since the last.
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

// Checkpoint appends a checkpoint record, writes the state at its offset to the snapshot
// stream, and then publishes the state's hash on the main stream, so that every VM can compare
// its own without reading the snapshot.
func (j *Journal) Checkpoint(ctx context.Context, origin string) error {
	if _, err := j.Submit(ctx, origin, jvrecord.Record{Checkpoint: &jvrecord.Checkpoint{}}); err != nil {
		return err
	}
	j.mu.Lock()
	snapshot := j.ownSnapshot
	j.ownSnapshot = nil
	j.mu.Unlock()
	if snapshot == nil {
		return nil
	}
	if _, err := j.options.Log.Append(ctx, j.snapshotStream(), jvcodec.Encode(snapshot)); err != nil {
		return err
	}
	published := &jvrecord.Checkpoint{Offset: snapshot.Offset, Hash: snapshot.Hash}
	_, err := j.Submit(ctx, origin, jvrecord.Record{Checkpoint: published})
	return err
}
