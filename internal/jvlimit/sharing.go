package jvlimit

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// Sharing is how limits are divided. Its methods are pure.
type Sharing struct {
	// UsedShare is the part of a limit that routers use. Where clocks differ, two selections of routers
	// may use a limit at once.
	UsedShare float64
	// MinShare is the smallest part of a limit that a router gets, in requests a second, unless the limit
	// is smaller.
	MinShare float64
	// ProbeRate is used of a limit of 0, in requests a second: only a response shows that it has ended.
	ProbeRate float64
	// Period is the shortest period. It is doubled until PeriodRequests fit in it, since a router begins
	// each one without saved requests.
	Period         time.Duration
	PeriodRequests float64
}

// DefaultSharing returns a Sharing with defaults.
func DefaultSharing() Sharing {
	return Sharing{UsedShare: 0.7, MinShare: 1, ProbeRate: 0.05, Period: 10 * time.Second, PeriodRequests: 5}
}

// usable returns the requests a second that all routers together send to a target with a limit.
func (s Sharing) usable(limit float64) float64 {
	if limit <= 0 {
		return s.ProbeRate
	}
	return s.UsedShare * limit
}

// senders returns the number of routers that use a limit at a time, of a number of members.
func (s Sharing) senders(limit float64, members int) int {
	n := s.usable(limit) / s.MinShare
	if n >= float64(members) {
		return members
	}
	return max(int(n), 1)
}

// period returns the length of a limit's periods.
func (s Sharing) period(limit float64) time.Duration {
	rate := s.usable(limit)
	p := s.Period
	for p.Seconds()*rate < s.PeriodRequests && p < maxPeriod {
		p *= 2
	}
	return p
}

// maxPeriod bounds the periods of limits of almost 0.
const maxPeriod = 24 * time.Hour

// rate returns the requests a second that a member may send to a target in a period, by its number. members
// are the names of all of them, the member's own among them.
func (s Sharing) rate(limit float64, target string, number int64, member string, members []string) float64 {
	senders := s.senders(limit, len(members))
	own := hash(target, number, member)
	ahead := 0
	for _, m := range members {
		if m == member {
			continue
		}
		if h := hash(target, number, m); h > own || (h == own && m > member) {
			ahead++
		}
	}
	if ahead >= senders {
		return 0
	}
	return s.usable(limit) / float64(senders)
}

// hash returns the rank of a member for a target in a period.
func hash(target string, number int64, member string) uint64 {
	h := fnv.New64a()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(number))
	for _, part := range [][]byte{[]byte(target), {0}, n[:], []byte(member)} {
		_, _ = h.Write(part)
	}
	x := h.Sum64()
	// FNV alone gives close hashes to names that differ only in their last byte.
	for range 2 {
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
	}
	return x ^ x>>33
}
