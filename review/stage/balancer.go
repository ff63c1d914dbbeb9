package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// balancer forwards connections of clients like the platform: to a router of the client's zone that answers the
// readiness probe, which comes once a second.
type balancer struct {
	routers []*router

	mu     sync.Mutex
	misses map[*router]int
}

func newBalancer(routers []*router, stop <-chan struct{}) *balancer {
	b := &balancer{routers: routers, misses: map[*router]int{}}
	for _, r := range routers {
		go func() {
			for {
				ready := r.isReady()
				b.mu.Lock()
				if ready {
					b.misses[r] = 0
				} else {
					b.misses[r]++
				}
				b.mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
	}
	return b
}

// pick returns a router for a client of a zone. Two misses take a router out of rotation. If fewer than half of a zone's
// routers are in rotation, all of that zone are used.
func (b *balancer) pick(zone string) *router {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all, in, elsewhere []*router
	for _, r := range b.routers {
		fine := b.misses[r] < 2
		switch {
		case r.zone == zone && fine:
			in = append(in, r)
			all = append(all, r)
		case r.zone == zone:
			all = append(all, r)
		case fine:
			elsewhere = append(elsewhere, r)
		}
	}
	if len(in) == 0 && len(elsewhere) > 0 {
		in = elsewhere
	} else if 2*len(in) < len(all) {
		in = all
	}
	return in[rand.IntN(len(in))]
}
