package jvrecord

// Hello opens an origin, and later names its witnesses anew.
type Hello struct {
	VM   string `cbor:"vm"`
	Zone string `cbor:"zone"`
	// Witnesses are the two origins whose promises together free the sender's unopened grants.
	Witnesses []string `cbor:"witnesses,omitempty"`
	// Marks are the sender's open marks per budget when it names its witnesses.
	Marks map[string]int64 `cbor:"marks,omitempty"`
}

// Leave closes an origin after a planned stop: what its last report left unspent is free again.
type Leave struct{}

// Checkpoint marks an offset at which every VM notes the hash of its state; its sender then
// writes that state to the snapshot stream. With Of set it marks nothing, but states the
// hash of the snapshot at the offset Of.
type Checkpoint struct {
	Offset   uint64 `cbor:"of,omitempty"`
	Hash string `cbor:"hash,omitempty"`
}

// Snapshot is what the snapshot stream holds: the state at an offset of the main stream.
type Snapshot struct {
	Offset uint64 `cbor:"offset"`
	Hash   string `cbor:"hash"`
	State  []byte `cbor:"state"`
}

// Promise says that the sender, a witness of Holder, acknowledges no more marks for it.
type Promise struct {
	Holder string `cbor:"holder"`
	// Marks are the highest marks per budget, in tokens, that the sender has acknowledged.
	Marks map[string]int64 `cbor:"marks,omitempty"`
}
