package jvtarget

import (
	"hash/fnv"
	"time"
)

// Candidate is one target as a choice sees it.
type Candidate struct {
	Name  string
	Slots int64
	// Busy is the estimate of requests under way.
	Busy int64
	// SameZone is true for a target in the router's own availability zone.
	SameZone bool
}

// Weights are how a choice trades load for other things, in shares of a target's slots.
type Weights struct {
	// CrossZone keeps work in its own zone while that costs less than this share of load.
	CrossZone float64
	// PrefixBonus prefers the target whose prefix cache likely holds the prompt's beginning.
	PrefixBonus float64
	// PrefixAnyZone lets prompts with a prefix go to any zone, so that all routers agree on its target.
	PrefixAnyZone bool
	// MaxReportAge is the age at which a load report no longer counts, or 0 for never.
	MaxReportAge time.Duration
}

// DefaultWeights returns the weights for targets that report their load every second and
// whose prompts mostly share no long prefix.
func DefaultWeights() Weights { return Weights{CrossZone: 0.10, PrefixBonus: 0.30} }

// Select picks among candidates with a free slot: the one that the prefix hashes to and one
// at random compete by load. It returns -1 where no candidate has a free slot.
func (w Weights) Select(candidates []Candidate, prefix string, random func() float64) int {
	free := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if c.Busy < c.Slots {
			free = append(free, i)
		}
	}
	if len(free) == 0 {
		return -1
	}
	first := free[pick(len(free), random)]
	bonus, far := 0.0, w.CrossZone
	if prefix != "" {
		first = rendezvous(candidates, free, prefix, !w.PrefixAnyZone)
		bonus = w.PrefixBonus
		if w.PrefixAnyZone {
			far = 0
		}
	}
	second := free[pick(len(free), random)]
	if score(candidates[second], 0, far) < score(candidates[first], bonus, far) {
		return second
	}
	return first
}

func pick(n int, random func() float64) int { return min(int(random()*float64(n)), n-1) }

func score(c Candidate, bonus, far float64) float64 {
	s := float64(c.Busy)/float64(c.Slots) - bonus
	if !c.SameZone {
		s += far
	}
	return s
}

// Rendezvous returns the index among the given ones whose name hashes highest with the key,
// near targets before far ones; it stays the same while the target is a candidate.
func Rendezvous(candidates []Candidate, among []int, key string) int {
	return rendezvous(candidates, among, key, true)
}

func rendezvous(candidates []Candidate, among []int, key string, nearFirst bool) int {
	best := among[0]
	var highest uint64
	for n, i := range among {
		c := candidates[i]
		h := hashPair(key, c.Name) >> 1
		if nearFirst && c.SameZone {
			h |= 1 << 63
		}
		if n == 0 || h > highest {
			best, highest = i, h
		}
	}
	return best
}

func hashPair(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	x := h.Sum64()
	// FNV alone leaves names that differ in their last byte close together.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
