package jvpace

import "time"

// Pace is how often one router of a fleet may call the store.
type Pace struct {
	// readsPerS is the number of reads a second that the store takes from all routers; 0 if it is not known.
	readsPerS float64
	// routers returns the number of routers in the fleet.
	routers func() int
}

// New returns the pace for a store that takes a number of reads a second from all routers. With 0, nothing is spaced.
func New(readsPerS float64, routers func() int) *Pace {
	return &Pace{readsPerS: readsPerS, routers: routers}
}

// topicShare is the part of the store's reads that the reads of one topic may take: about eight topics are followed,
// and more than half of the reads stay free for listings and retries.
const topicShare = 0.05

// maxGather keeps changes of the configuration and of the servers well within the bounds for them.
const maxGather = 500 * time.Millisecond

// Gather returns the pause between two reads of a topic that returned records. A topic whose records come all the time
// would otherwise be read once for each record by each router.
func (p *Pace) Gather() time.Duration {
	if p == nil || p.readsPerS <= 0 {
		return 0
	}
	pause := float64(p.routers()) / (p.readsPerS * topicShare) * float64(time.Second)
	return min(time.Duration(pause), maxGather)
}
