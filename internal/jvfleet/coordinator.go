package jvfleet

import (
	"context"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
)

// runnerWindow is the minimum time for which a coordinator keeps the runner of a key.
const runnerWindow = 10 * time.Minute

// coordinator holds the runners of the keys that this VM coordinates.
type coordinator struct {
	mu      sync.Mutex
	runners *jvledger.ExpiringMap[string, string]
}

func newCoordinator() *coordinator {
	return &coordinator{runners: jvledger.NewExpiringMap[string, string](runnerWindow.Milliseconds())}
}

// register returns the runner of a key. It registers vm as the runner if there is none, or if the
// current runner equals replaces, the VM from which vm could not read the answer.
func (c *coordinator) register(key, vm, replaces string, now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runners.Advance(now.UnixMilli())
	runner, ok := c.runners.Get(key)
	if ok && runner != replaces {
		return runner
	}
	c.runners.Put(key, vm)
	return vm
}

// runner returns the runner of a key as its coordinator has it. The coordinator is selected among
// the VMs of this zone that were seen recently. If it can't be reached, this VM runs the request: a
// repeated run costs budget, but is billed once.
func (rt *Router) runner(ctx context.Context, key, replaces string) string {
	names := []string{rt.options.VM}
	byName := map[string]jvpeer.Peer{}
	for _, p := range rt.peers() {
		if p.Zone == rt.options.Zone && rt.seenRecently(p.VM) {
			names = append(names, p.VM)
			byName[p.VM] = p
		}
	}
	coordinator := rendezvous(key, names)
	if coordinator == rt.options.VM {
		return rt.coordinator.register(key, rt.options.VM, replaces, rt.options.Timer.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, rt.options.Timing.PeerTimeout)
	defer cancel()
	request := &jvpeer.FlightRequest{Key: key, VM: rt.options.VM, Replaces: replaces}
	response, err := rt.send(ctx, byName[coordinator], jvpeer.Request{Flight: request})
	if err != nil || response.Flight == nil {
		return rt.options.VM
	}
	return response.Flight.VM
}
