package jvledger

import "github.com/jasminevale/jasminevale/internal/jvrecord"

// RunLock is the fold's memory of a request that may run once.
type RunLock struct {
	Digest  []byte `cbor:"digest"`
	Holder  string `cbor:"holder"`
	RequestID string `cbor:"request"`
	// Outcome is empty while the holder has not reported one.
	Outcome jvrecord.Outcome `cbor:"outcome"`
	Status  int              `cbor:"status"`
	ContentType string           `cbor:"content"`
	Body    []byte           `cbor:"body"`
	// BodyDropped is true where the answer was too large to be kept.
	BodyDropped bool `cbor:"dropped"`
}

// BillTotals sums the bills of one workspace and profile.
type BillTotals struct {
	Requests int64 `cbor:"requests" json:"requests"`
	Tokens   int64 `cbor:"tokens" json:"tokens"`
	// Repeated counts bills that came again for a key and were not charged.
	Repeated int64 `cbor:"repeated" json:"repeated"`
}

// Crashes lists the target crashes that a request digest was part of.
type Crashes struct {
	Attempts []string `cbor:"attempts"`
}

// Topup is the fold's memory of a top-up.
type Topup struct {
	Profile string `cbor:"profile"`
	Tokens  int64  `cbor:"tokens"`
	Expiry  int64  `cbor:"expiry"`
}

// Item is a configuration item in force; a removed item stays without a body, so that
// a late duplicate of its first publication cannot bring it back.
type Item struct {
	Version  uint64 `cbor:"version"`
	Operator string `cbor:"operator"`
	Body     []byte `cbor:"body"`
}
