package jvgrant

import (
	"slices"
	"time"
)

// sighting is the time of day that a router wrote into a statement. Places in the topic tell
// in which order things happened, whatever the clocks say: a statement is made after its
// maker has read the topic up to seen, and before it stands at its offset.
type sighting struct {
	origin string
	offset uint64
	seen   uint64
	clock  time.Time
}

// elapsed returns the most time that can have passed between the making of a statement that
// had seen the topic up to from, and the start of a process whose own first statement stands
// at to, told by the clocks of other routers alone. It holds while fewer than half of these
// are wrong: what stands before from was made earlier than the one, and whoever has seen to
// made its statement after the other.
func elapsed(list []sighting, own string, from, to uint64) (time.Duration, bool) {
	before, after := map[string]time.Time{}, map[string]time.Time{}
	for _, s := range list {
		switch {
		case s.origin == own:
		case s.offset < from:
			before[s.origin] = s.clock
		case s.seen > to:
			if _, ok := after[s.origin]; !ok {
				after[s.origin] = s.clock
			}
		}
	}
	if len(before) < leastClocks {
		return 0, false
	}
	wrong := (len(before) - 1) / 2
	if len(after) <= wrong {
		return 0, false
	}
	earliest, latest := ordered(before), ordered(after)
	slices.Reverse(earliest)
	return max(0, latest[wrong].Sub(earliest[wrong])) + clockUnit, true
}

// clockUnit is the resolution of the time of day in statements: 12.9 ms are written as 12.
const clockUnit = time.Millisecond

// leastClocks is the number of other routers from which on their clocks are believed.
const leastClocks = 3

func ordered(clocks map[string]time.Time) []time.Time {
	list := make([]time.Time, 0, len(clocks))
	for _, c := range clocks {
		list = append(list, c)
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}
