package jvledger

// Origin is one process start of a router or of an operator's command.
type Origin struct {
	VM     string `cbor:"vm"`
	Zone   string `cbor:"zone"`
	LastBatch uint64 `cbor:"number"`
	// LastSeen is the log time of the last batch, in Unix milliseconds.
	LastSeen int64 `cbor:"seen"`
	// HelloOffset is the offset of the origin's first hello.
	HelloOffset uint64 `cbor:"since"`
	// Joined is true once the origin has said hello, so that it may hold grants.
	Joined    bool     `cbor:"joined"`
	Witnesses []string `cbor:"witnesses"`
	// Marks are the open marks that the origin declared when it last named its witnesses.
	Marks map[string]int64 `cbor:"marks"`
	// Promised holds, per witness that promised, the marks that it had acknowledged.
	Promised map[string]map[string]int64 `cbor:"promised"`
	// BilledThrough is the serial up to which all of the origin's bills have been taken, Ahead holds
	// those beyond it.
	BilledThrough uint64          `cbor:"billed"`
	BilledAbove  map[uint64]bool `cbor:"ahead"`
	// Closed is true after a planned leave, a reclaim or a write-off.
	Closed bool `cbor:"closed"`
	// Reclaimed is true where witnesses closed the origin.
	Reclaimed bool `cbor:"reclaimed"`
}

// bill takes one of the origin's bills in, and tells whether it is new. It needs no window: a
// holder that wakes after an hour repeats bills that its witnesses have long reported.
func (o *Origin) bill(serial uint64) bool {
	if serial <= o.BilledThrough || o.BilledAbove[serial] {
		return false
	}
	if o.BilledAbove == nil {
		o.BilledAbove = map[uint64]bool{}
	}
	o.BilledAbove[serial] = true
	for o.BilledAbove[o.BilledThrough+1] {
		o.BilledThrough++
		delete(o.BilledAbove, o.BilledThrough)
	}
	return true
}
