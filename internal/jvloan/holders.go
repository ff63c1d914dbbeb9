package jvloan

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/jasminevale/jasminevale/internal/jvmember"
)

// Layout is which routers of a fleet hold budgets.
type Layout struct {
	// Direct is true if the fleet is so small that each router holds a part of each budget.
	Direct bool
	// ByZone are the holders of each zone, in order of name.
	ByZone map[string][]jvmember.Member
}

// minPerZone is the number of holders that a zone has at least, so that one may be lost.
const minPerZone = 2

// minWeightShare is the share of the largest machine's weight below which a machine is a holder only in a zone that has
// too few others: the link of a small machine is soon crowded.
const minWeightShare = 0.5

// NewLayout derives the layout from all members of the fleet. holders is the number of holders in the whole fleet, and
// the largest size of a fleet in which every router is one. In each zone, the machines with the most processors
// are holders; of equal ones those that a hash selects. Routers of earlier builds have no weight and are no holders.
func NewLayout(members []jvmember.Member, holders int) Layout {
	if len(members) <= holders || holders == 0 {
		return Layout{Direct: true}
	}
	l := Layout{ByZone: map[string][]jvmember.Member{}}
	zones := map[string]bool{}
	for _, m := range members {
		zones[m.Zone] = true
		if m.Weight > 0 {
			l.ByZone[m.Zone] = append(l.ByZone[m.Zone], m)
		}
	}
	perZone := max(minPerZone, holders/len(zones))
	for zone, list := range l.ByZone {
		slices.SortFunc(list, func(a, b jvmember.Member) int {
			return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(hash(a.Name, ""), hash(b.Name, "")), cmp.Compare(a.Name, b.Name))
		})
		list = list[:min(perZone, len(list))]
		for len(list) > minPerZone && list[len(list)-1].Weight < minWeightShare*list[0].Weight {
			list = list[:len(list)-1]
		}
		slices.SortFunc(list, func(a, b jvmember.Member) int { return cmp.Compare(a.Name, b.Name) })
		l.ByZone[zone] = list
	}
	return l
}

// Holds reports whether a router holds budgets.
func (l Layout) Holds(m jvmember.Member) bool {
	return l.Direct || slices.ContainsFunc(l.ByZone[m.Zone], func(h jvmember.Member) bool { return h.Name == m.Name })
}

// maxElsewhere is the number of holders in other zones that a request is made at.
const maxElsewhere = 2

// Candidates returns the holders for a workspace's requests in a zone, in the order in which they are asked, and how
// many of them are in the zone: each workspace has a first holder in each zone, so that its tokens are not spread over
// all of them.
func (l Layout) Candidates(zone, workspace string) (list []jvmember.Member, near int) {
	list = slices.Clone(l.ByZone[zone])
	byHash := func(a, b jvmember.Member) int {
		return cmp.Or(cmp.Compare(hash(a.Name, workspace), hash(b.Name, workspace)), cmp.Compare(a.Name, b.Name))
	}
	slices.SortFunc(list, byHash)
	var far []jvmember.Member
	for z, holders := range l.ByZone {
		if z != zone && len(holders) > 0 {
			far = append(far, slices.MinFunc(holders, byHash))
		}
	}
	slices.SortFunc(far, func(a, b jvmember.Member) int {
		return cmp.Or(cmp.Compare(hash(a.Zone, workspace+zone), hash(b.Zone, workspace+zone)), cmp.Compare(a.Name, b.Name))
	})
	return append(list, far[:min(maxElsewhere, len(far))]...), len(list)
}

// hash returns a number by which routers are ordered for a key, the same in all routers.
func hash(name, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "\n" + key)) // A hash never returns an error.
	v := h.Sum64()
	v ^= v >> finalShift
	v *= finalFactor
	return v ^ v>>finalShift
}

// The last bytes of similar names change few bits of FNV-1a; a step of the finalizer of MurmurHash3 spreads them.
const (
	finalShift  = 33
	finalFactor = 0xff51afd7ed558ccd
)
