package jvrecord

// Batch is the records that one append writes to the log. Its number makes the state machine
// drop a batch that was appended twice.
type Batch struct {
	// Origin identifies the process that appends: its VM name and a random part.
	Origin string `cbor:"origin"`
	// Number counts the origin's batches from 1; an origin has one batch outstanding.
	Number uint64 `cbor:"number"`
	// Records are applied in order.
	Records []Record `cbor:"records"`
}

// Record is one record of a batch; exactly one field is set.
type Record struct {
	Hello      *Hello      `cbor:"hello,omitempty"`
	Publish    *Publish    `cbor:"publish,omitempty"`
	Topup      *Topup      `cbor:"topup,omitempty"`
	Claim      *Claim      `cbor:"claim,omitempty"`
	Report     *Report     `cbor:"report,omitempty"`
	RunLock    *RunLock    `cbor:"take,omitempty"`
	Finish     *Finish     `cbor:"finish,omitempty"`
	Promise    *Promise    `cbor:"promise,omitempty"`
	Poison     *Poison     `cbor:"poison,omitempty"`
	Clear      *Clear      `cbor:"clear,omitempty"`
	Leave      *Leave      `cbor:"leave,omitempty"`
	Checkpoint *Checkpoint `cbor:"check,omitempty"`
}
