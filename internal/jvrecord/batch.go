package jvrecord

// Batch is what one append carries: the records of one process start, numbered so that
// the fold drops a batch that was appended twice.
type Batch struct {
	// Origin is the incarnation that appends: VM name and a random part per process start.
	Origin string `cbor:"origin"`
	// Number counts the origin's batches from 1; an origin has one batch outstanding.
	Number uint64 `cbor:"number"`
	// Records are applied in order.
	Records []Record `cbor:"records"`
}

// Record is one entry of a batch; exactly one field is set.
type Record struct {
	Hello   *Hello   `cbor:"hello,omitempty"`
	Publish *Publish `cbor:"publish,omitempty"`
	Topup   *Topup   `cbor:"topup,omitempty"`
	Claim   *Claim   `cbor:"claim,omitempty"`
	Report  *Report  `cbor:"report,omitempty"`
	RunLock    *RunLock    `cbor:"take,omitempty"`
	Finish  *Finish  `cbor:"finish,omitempty"`
	Promise *Promise `cbor:"promise,omitempty"`
	Poison  *Poison  `cbor:"poison,omitempty"`
	Leave   *Leave   `cbor:"leave,omitempty"`
	Checkpoint   *Checkpoint   `cbor:"check,omitempty"`
}
