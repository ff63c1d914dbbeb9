package jvgrant

import (
	"slices"
	"time"
)

// clockObservation is the wall clock that a router wrote into a statement. Offsets in the topic
// order events whatever the clocks show: a router creates a statement after it has read the topic
// up to readOffset, and before the statement is appended at its own offset.
type clockObservation struct {
	router     string
	offset     uint64
	readOffset uint64
	clock      time.Time
}

// elapsed returns the longest time that can have passed from the creation of a process's last statement
// to the start of the router's next process. The last statement was created when the topic had been
// read up to from, and the next process's first statement is at offset to. Only the clocks of other
// routers are used: their statements at offsets before from are older than the last statement, and
// those whose routers had read past to are newer than the start. The result holds while fewer than half
// of these clocks are wrong.
func elapsed(list []clockObservation, own string, from, to uint64) (time.Duration, bool) {
	before, after := map[string]time.Time{}, map[string]time.Time{}
	for _, o := range list {
		switch {
		case o.router == own:
		case o.offset < from:
			before[o.router] = o.clock
		case o.readOffset > to:
			if _, ok := after[o.router]; !ok {
				after[o.router] = o.clock
			}
		}
	}
	if len(before) < minPeerClocks {
		return 0, false
	}
	wrong := (len(before) - 1) / 2
	if len(after) <= wrong {
		return 0, false
	}
	beforeDescending, afterAscending := sortedTimes(before), sortedTimes(after)
	slices.Reverse(beforeDescending)
	return max(0, afterAscending[wrong].Sub(beforeDescending[wrong])) + clockResolution, true
}

// clockResolution is the resolution of the wall clock in statements: 12.9 ms are written as 12 ms.
const clockResolution = time.Millisecond

// minPeerClocks is the minimum number of other routers whose clocks are relied on.
const minPeerClocks = 3

func sortedTimes(clocks map[string]time.Time) []time.Time {
	list := make([]time.Time, 0, len(clocks))
	for _, c := range clocks {
		list = append(list, c)
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}
