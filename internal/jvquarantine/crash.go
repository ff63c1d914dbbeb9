package jvquarantine

import (
	"encoding/hex"
	"slices"
	"time"
)

// Digest identifies a request by its content, or a part of prompts; all copies of a request have the same.
type Digest [16]byte

// DigestOf returns the Digest with the first bytes of a hash.
func DigestOf(hash []byte) (d Digest) {
	copy(d[:], hash)
	return d
}

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Crash is the end of a target's process during an attempt.
type Crash struct {
	Target string
	// StartedAtMillis is the start of the target's process, in Unix milliseconds of its own clock; 0
	// is unknown.
	StartedAtMillis int64
	// SentAt and EndedAt are when the attempt began and when it broke off, by the time of day of the
	// router that made the attempt.
	SentAt  time.Time
	EndedAt time.Time
	// Progress is true if the target had sent part of the response.
	Progress bool
	// at is EndedAt on this router's steady clock.
	at time.Time
	// request is the request that was running, sound whether the part had completed at the reporting router
	// shortly before; both are set in reports on parts.
	request Digest
	sound   bool
}

// same reports whether two attempts ended in the same crash.
func (c Crash) same(other Crash) bool {
	if c.Target != other.Target {
		return false
	}
	if c.StartedAtMillis != 0 && other.StartedAtMillis != 0 && c.StartedAtMillis != other.StartedAtMillis {
		return false
	}
	return !c.SentAt.After(other.EndedAt) && !other.SentAt.After(c.EndedAt)
}

// Weights of crashes. A request is quarantined from limitWeight on: after three crashes, or six where
// the target had sent part of the response.
const (
	crashWeight    = 2
	progressWeight = 1
	limitWeight    = 6
)

// Weights of crashes of a part. It is quarantined from limitSuccession on in crashes of different requests that
// followed one another, three of them, or from limitCrashes on in crashes of at least two requests, five of them,
// of which two followed one another. A crash weighs less if the part had completed shortly before.
const (
	partWeight      = 2
	soundWeight     = 1
	limitSuccession = 6
	limitCrashes    = 10
)

func (c Crash) weight() int {
	if c.Progress {
		return progressWeight
	}
	return crashWeight
}

func (c Crash) partWeight() int {
	if c.sound {
		return soundWeight
	}
	return partWeight
}

// succession returns crashes of which each began after the one before had ended, as many as there are, of
// different requests only if distinct is true; reports are in order of their end.
func succession(reports []Crash, distinct bool) (list []Crash) {
	var end time.Time
	requests := map[Digest]bool{}
	for _, c := range reports {
		if c.SentAt.Before(end) || distinct && requests[c.request] {
			continue
		}
		list = append(list, c)
		end = c.EndedAt
		requests[c.request] = true
	}
	return list
}

// blamePart reports whether the crashes of a part, and the reports on them, are enough for a quarantine.
// Crashes at the same time have a common cause, and copies of one request alone say nothing about its parts.
func blamePart(crashes, reports []Crash) bool {
	sum := func(list []Crash) (weight int) {
		for _, c := range list {
			weight += c.partWeight()
		}
		return weight
	}
	if sum(succession(reports, true)) >= limitSuccession {
		return true
	}
	severalRequests := slices.ContainsFunc(reports, func(c Crash) bool { return c.request != reports[0].request })
	return sum(crashes) >= limitCrashes && severalRequests && len(succession(reports, false)) > 1
}
