package jvversion

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/jasminevale/jasminevale/internal/jvmember"
)

const (
	// holdersPerSide is the number of routers that are sent an origin, in the zone of the router that
	// began the stream, whose callers mostly stay there, and again in the other zones together.
	holdersPerSide = 2
	// askedPerZone is the number of routers that are asked in each zone. It exceeds holdersPerSide, since
	// the members may have changed since.
	askedPerZone = 3
)

// ranked returns members in the order in which they hold the origin of a request's stream.
func ranked(request string, members []jvmember.Member) []jvmember.Member {
	type rankedMember struct {
		jvmember.Member

		rank uint64
	}
	list := make([]rankedMember, len(members))
	for n, m := range members {
		sum := sha256.Sum256([]byte(request + "\x00" + m.Name))
		list[n] = rankedMember{Member: m, rank: binary.BigEndian.Uint64(sum[:])}
	}
	slices.SortFunc(list, func(a, b rankedMember) int { return cmp.Compare(a.rank, b.rank) })
	sorted := make([]jvmember.Member, len(list))
	for n, m := range list {
		sorted[n] = m.Member
	}
	return sorted
}

// holders returns the routers that are sent the origin of a stream that began in a zone, with some more of each side.
func holders(request, zone string, others []jvmember.Member, more int) []jvmember.Member {
	var list []jvmember.Member
	own, elsewhere := 0, 0
	for _, m := range ranked(request, others) {
		switch {
		case m.Zone == zone && own < holdersPerSide+more:
			own++
		case m.Zone != zone && elsewhere < holdersPerSide+more:
			elsewhere++
		default:
			continue
		}
		list = append(list, m)
	}
	return list
}

// likelyHolders returns the routers that may hold the origin of a stream that began in any zone, and the rest.
func likelyHolders(request string, others []jvmember.Member) (likely, rest []jvmember.Member) {
	perZone := map[string]int{}
	for _, m := range ranked(request, others) {
		if perZone[m.Zone] < askedPerZone {
			perZone[m.Zone]++
			likely = append(likely, m)
			continue
		}
		rest = append(rest, m)
	}
	return likely, rest
}
