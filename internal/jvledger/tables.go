package jvledger

import (
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// RunLock is the entry of a request that may run only once.
type RunLock struct {
	Digest []byte `cbor:"digest"`
	// Holder is the origin that has the sole right to run the request.
	Holder    string `cbor:"holder"`
	RequestID string `cbor:"request"`
	// Outcome is empty until the holder has reported one.
	Outcome     jvrecord.Outcome `cbor:"outcome"`
	Status      int              `cbor:"status"`
	ContentType string           `cbor:"content"`
	Body        []byte           `cbor:"body"`
	// Ended is how that response ended, or 0 if the holder's release doesn't record it.
	Ended jvend.End `cbor:"ended,omitempty"`
	// BodyDropped is true where the answer was too large to be kept.
	BodyDropped bool `cbor:"dropped"`
}

// BillTotals sums the bills of one workspace and profile.
type BillTotals struct {
	Requests int64 `cbor:"requests" json:"requests"`
	Tokens   int64 `cbor:"tokens" json:"tokens"`
	// Repeated counts further bills for a key that had been charged; they are not charged.
	Repeated int64 `cbor:"repeated" json:"repeated"`
}

// Crashes lists the target crashes during which a request with one digest was running.
type Crashes struct {
	// Instances are the crashed instances of targets, formatted as target/instance.
	Instances []string `cbor:"attempts"`
}

// Topup is an applied top-up, kept until it expires so that a repeated record is recognized.
type Topup struct {
	Profile string `cbor:"profile"`
	Tokens  int64  `cbor:"tokens"`
	// Expiry is a log time in Unix milliseconds.
	Expiry int64 `cbor:"expiry"`
}

// Item is a configuration item in force. A removed item stays without a body, so that a late
// duplicate of its first publication doesn't restore it.
type Item struct {
	Version  uint64 `cbor:"version"`
	Operator string `cbor:"operator"`
	Body     []byte `cbor:"body"`
}
