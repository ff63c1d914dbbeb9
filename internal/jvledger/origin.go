package jvledger

// Origin is one process start of a router or of an operator's command.
type Origin struct {
	VM   string `cbor:"vm"`
	Zone string `cbor:"zone"`
	// LastBatch is the number of the last batch applied.
	LastBatch uint64 `cbor:"number"`
	// LastSeen is the log time of the last batch, in Unix milliseconds.
	LastSeen int64 `cbor:"seen"`
	// HelloOffset is the offset of the origin's first hello record.
	HelloOffset uint64 `cbor:"since"`
	// Joined is true after the first hello record; only then may the origin hold grants.
	Joined    bool     `cbor:"joined"`
	Witnesses []string `cbor:"witnesses"`
	// Marks are the highest marks by profile, in tokens, that the origin's hello records gave.
	Marks map[string]int64 `cbor:"marks"`
	// Promised holds, for each witness that has promised, the marks that it had acknowledged.
	Promised map[string]map[string]int64 `cbor:"promised"`
	// BilledThrough is the serial up to which all of the origin's bills have been applied;
	// BilledAbove holds the applied ones beyond it.
	BilledThrough uint64          `cbor:"billed"`
	BilledAbove   map[uint64]bool `cbor:"ahead"`
	// Closed is true after a planned leave or a reclaim.
	Closed bool `cbor:"closed"`
	// Reclaimed is true where witnesses closed the origin.
	Reclaimed bool `cbor:"reclaimed"`
}

// recordBill records the serial of one of the origin's bills and reports whether it is new.
// Serials are kept without a window, since a paused origin that resumes after an hour repeats
// bills that its witnesses reported long before.
func (o *Origin) recordBill(serial uint64) bool {
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
