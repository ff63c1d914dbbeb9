package jvledger

import "time"

// Rules are the windows and bounds of the state machine. They are not settings: all VMs of a
// fleet must use the same rules, or their states would differ. Windows are in milliseconds of
// log time.
type Rules struct {
	// RunLockWindow is the shortest time that a run lock is kept.
	RunLockWindow int64
	// BillWindow must be longer than the network partitions that the fleet has to survive: a
	// request that ran in two zones under one key is billed once only if the second bill is
	// applied while the key of the first is kept.
	BillWindow int64
	// PoisonWindow is the shortest time that target crashes are kept.
	PoisonWindow int64
	// PublishWindow is the shortest time that a publication's ID is kept, and the time that an
	// origin without a hello record is kept.
	PublishWindow int64
	// OriginWindow is how long a closed origin is kept.
	OriginWindow int64
	// SilentWindow is how long an origin may send no batch before it is removed and what it
	// holds is written off for good. It concerns origins without witnesses, since witnesses
	// reclaim a silent origin much earlier.
	SilentWindow int64
	// MaxClockSkew is how far a key's timestamp may differ from the log's, in milliseconds.
	MaxClockSkew int64
	// MaxRunLocks bounds the run locks kept, MaxAnswerBytes the size of one answer kept with its
	// lock and MaxTotalAnswerBytes the size of all of them.
	MaxRunLocks         int
	MaxAnswerBytes      int
	MaxTotalAnswerBytes int
	// MaxTopups bounds the top-ups that have not expired.
	MaxTopups int
	// MaxTopupExpiry is how far in the future a top-up may expire, in milliseconds.
	MaxTopupExpiry int64
	// QuarantineCrashes is the number of target crashes after which a request is quarantined.
	QuarantineCrashes int
}

// DefaultRules returns the rules of this release.
func DefaultRules() Rules {
	return Rules{
		RunLockWindow:       (24 * time.Hour).Milliseconds(),
		BillWindow:          (2 * time.Hour).Milliseconds(),
		PoisonWindow:        time.Hour.Milliseconds(),
		PublishWindow:       (24 * time.Hour).Milliseconds(),
		OriginWindow:        (24 * time.Hour).Milliseconds(),
		SilentWindow:        (7 * 24 * time.Hour).Milliseconds(),
		MaxClockSkew:        (30 * time.Second).Milliseconds(),
		MaxRunLocks:         200_000,
		MaxAnswerBytes:      64 << 10,
		MaxTotalAnswerBytes: 32 << 20,
		MaxTopups:           50_000,
		MaxTopupExpiry:      (31 * 24 * time.Hour).Milliseconds(),
		QuarantineCrashes:   2,
	}
}
