package jvtarget

import (
	"hash/fnv"
)

// Candidate is one target as a choice sees it.
type Candidate struct {
	Name  string
	Slots int64
	// Busy is the estimate of requests under way.
	Busy int64
	// Near is true for a target in the router's own availability zone.
	Near bool
}

// Weights of a choice, in shares of a target's slots.
const (
	// farPenalty keeps work in its own zone while that costs less than this share of load.
	farPenalty = 0.10
	// prefixBonus prefers the target whose prefix cache likely holds the prompt's beginning.
	prefixBonus = 0.30
)

// Choose picks among candidates with a free slot: the one that the prefix hashes to and one
// at random compete by load. It returns -1 where no candidate has a free slot.
func Choose(candidates []Candidate, prefix string, random func() float64) int {
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
	bonus := 0.0
	if prefix != "" {
		first = Rendezvous(candidates, free, prefix)
		bonus = prefixBonus
	}
	second := free[pick(len(free), random)]
	if score(candidates[second], 0) < score(candidates[first], bonus) {
		return second
	}
	return first
}

func pick(n int, random func() float64) int { return min(int(random()*float64(n)), n-1) }

func score(c Candidate, bonus float64) float64 {
	s := float64(c.Busy)/float64(c.Slots) - bonus
	if !c.Near {
		s += farPenalty
	}
	return s
}

// Rendezvous returns the index among the given ones whose name hashes highest with the key,
// near targets before far ones; it stays the same while the target is a candidate.
func Rendezvous(candidates []Candidate, among []int, key string) int {
	best := among[0]
	var highest uint64
	for n, i := range among {
		c := candidates[i]
		h := hashPair(key, c.Name) >> 1
		if c.Near {
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
