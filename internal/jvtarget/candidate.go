package jvtarget

import (
	"hash/fnv"
	"time"
)

// Candidate is a target that may be selected.
type Candidate struct {
	Name  string
	Slots int64
	// Busy is the estimated number of requests in progress on the target.
	Busy int64
	// SameZone is true if the target is in the router's own availability zone.
	SameZone bool
	// Answered is true if the target has responded lately and not failed since.
	Answered bool
	// others is the number of other routers' requests by the target's last report, whatever its age.
	others int64
}

// Weights are how selection weighs load against other criteria, as shares of a target's slots.
type Weights struct {
	// CrossZone is added to the load of targets in other availability zones, so that requests stay
	// in their own zone unless that costs more than this share of load.
	CrossZone float64
	// PrefixBonus is subtracted from the load of the target whose prefix cache likely holds the
	// prompt's beginning.
	PrefixBonus float64
	// PrefixAnyZone selects that target across all zones, so that all routers agree on it.
	PrefixAnyZone bool
	// MaxReportAge is the age from which a load report no longer counts; 0 means never.
	MaxReportAge time.Duration
}

// DefaultWeights returns the weights for targets that report their load every second and
// whose prompts mostly share no long prefix.
func DefaultWeights() Weights { return Weights{CrossZone: 0.10, PrefixBonus: 0.30} }

// Select returns the index of the candidate with the lower load of two with a free slot: a random
// one and the one that the prefix hashes to, or another random one if there is no prefix. It
// returns -1 if no candidate has a free slot.
func (w Weights) Select(candidates []Candidate, prefix string, random func() float64) int {
	free := freeCandidates(candidates)
	if len(free) == 0 {
		return -1
	}
	first := free[randomIndex(len(free), random)]
	bonus, crossZone := 0.0, w.CrossZone
	if prefix != "" {
		first = rendezvous(candidates, free, prefix, !w.PrefixAnyZone)
		bonus = w.PrefixBonus
		if w.PrefixAnyZone {
			crossZone = 0
		}
	}
	second := free[randomIndex(len(free), random)]
	if score(candidates[second], 0, crossZone) < score(candidates[first], bonus, crossZone) {
		return second
	}
	return first
}

// freeCandidates returns the indexes of the candidates with a free slot.
func freeCandidates(candidates []Candidate) []int {
	free := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if c.Busy < c.Slots {
			free = append(free, i)
		}
	}
	return free
}

func randomIndex(n int, random func() float64) int { return min(int(random()*float64(n)), n-1) }

// score returns a candidate's load as a share of its slots, less the bonus, plus crossZone if it is
// in another zone. Lower is better.
func score(c Candidate, bonus, crossZone float64) float64 {
	s := float64(c.Busy)/float64(c.Slots) - bonus
	if !c.SameZone {
		s += crossZone
	}
	return s
}

// Rendezvous returns the index, out of among, of the candidate with the highest rendezvous hash
// for the key, those of the same zone first. It only changes if that candidate is removed or a
// higher one is added.
func Rendezvous(candidates []Candidate, among []int, key string) int {
	return rendezvous(candidates, among, key, true)
}

func rendezvous(candidates []Candidate, among []int, key string, sameZoneFirst bool) int {
	best := among[0]
	var highest uint64
	for n, i := range among {
		c := candidates[i]
		h := hashPair(key, c.Name) >> 1 // The top bit is for candidates of the same zone.
		if sameZoneFirst && c.SameZone {
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
	// FNV alone gives close hashes to names that differ only in their last byte.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
