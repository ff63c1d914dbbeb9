package jvrecord

// Hello registers the sending origin; a later one replaces its witnesses.
type Hello struct {
	VM   string `cbor:"vm"`
	Zone string `cbor:"zone"`
	// Witnesses are the two origins whose promises together free the sender's grants above its
	// marks.
	Witnesses []string `cbor:"witnesses,omitempty"`
	// Marks are the sender's marks by profile, in tokens, at the time of this record.
	Marks map[string]int64 `cbor:"marks,omitempty"`
}

// Leave closes an origin after a planned stop: what its last report left unspent is freed.
type Leave struct{}

// Checkpoint marks an offset at which every VM hashes its state; the sender then writes that
// state to the snapshot stream. A record with Offset set marks nothing, but publishes the hash
// of the snapshot at that offset.
type Checkpoint struct {
	Offset uint64 `cbor:"of,omitempty"`
	Hash   string `cbor:"hash,omitempty"`
}

// Snapshot is an entry of the snapshot stream: the state at an offset of the main stream.
type Snapshot struct {
	Offset uint64 `cbor:"offset"`
	Hash   string `cbor:"hash"`
	State  []byte `cbor:"state"`
}

// Promise states that the sender, a witness of Holder, acknowledges no more marks for it.
type Promise struct {
	Holder string `cbor:"holder"`
	// Marks are the highest marks by profile, in tokens, that the sender has acknowledged.
	Marks map[string]int64 `cbor:"marks,omitempty"`
}
