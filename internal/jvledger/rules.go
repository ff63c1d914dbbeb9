package jvledger

import "time"

// Rules are the fold's windows and bounds. All VMs of a fleet must use the same rules,
// since the fold has to come to the same state everywhere; they are not settings.
type Rules struct {
	// BillWindow must be longer than the partitions to be survived: a key that ran in two zones
	// is billed once only if the second bill comes while the first is remembered.
	// RunLockWindow, BillWindow, PoisonWindow and PublishWindow are in milliseconds of log time.
	RunLockWindow    int64
	BillWindow    int64
	PoisonWindow  int64
	PublishWindow int64
	// OriginWindow is how long a closed origin is remembered, in milliseconds.
	OriginWindow int64
	// SilentWindow is how long an origin without witnesses may be silent before what it holds
	// is written off for good, in milliseconds.
	SilentWindow int64
	// MaxClockSkew is how far a key's own time may differ from the log's, in milliseconds.
	MaxClockSkew int64
	// MaxRunLocks bounds the requests remembered, MaxAnswer one kept answer and MaxAnswers all
	// kept answers, the latter two in bytes.
	MaxRunLocks   int
	MaxAnswerBytes  int
	MaxTotalAnswerBytes int
	// MaxTopups bounds the top-ups remembered.
	MaxTopups int
	// MaxTopupExpiry is how far ahead a top-up may expire, in milliseconds.
	MaxTopupExpiry int64
	// QuarantineCrashes is the number of target crashes after which a request is quarantined.
	QuarantineCrashes int
}

// DefaultRules returns the rules of this release.
func DefaultRules() Rules {
	return Rules{
		RunLockWindow:     (24 * time.Hour).Milliseconds(),
		BillWindow:     (2 * time.Hour).Milliseconds(),
		PoisonWindow:   time.Hour.Milliseconds(),
		PublishWindow:  (24 * time.Hour).Milliseconds(),
		OriginWindow:   (24 * time.Hour).Milliseconds(),
		SilentWindow:   (7 * 24 * time.Hour).Milliseconds(),
		MaxClockSkew:           (30 * time.Second).Milliseconds(),
		MaxRunLocks:       200_000,
		MaxAnswerBytes:      64 << 10,
		MaxTotalAnswerBytes:     32 << 20,
		MaxTopups:      50_000,
		MaxTopupExpiry: (31 * 24 * time.Hour).Milliseconds(),
		QuarantineCrashes:        2,
	}
}
