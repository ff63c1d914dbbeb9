package jvfleet

import (
	"context"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
)

// runnerWindow is the least time for which a coordinator keeps the runner of a key.
const runnerWindow = 10 * time.Minute

// coordinator holds the runners of the keys that this VM coordinates.
type coordinator struct {
	mu      sync.Mutex
	runners *jvledger.ExpiringMap[string, string]
}

func newCoordinator() *coordinator {
	return &coordinator{runners: jvledger.NewExpiringMap[string, string](runnerWindow.Milliseconds())}
}

// register returns the runner of a key. It registers vm if the key has no runner, or if its runner
// is instead, a VM that was found without the request.
func (h *coordinator) register(key, vm, instead string, now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runners.Advance(now.UnixMilli())
	held, ok := h.runners.Get(key)
	if ok && held != instead {
		return held
	}
	h.runners.Put(key, vm)
	return vm
}

// runner returns the runner of a key as its coordinator has it. The coordinator is selected among
// the VMs of this zone that were seen recently. If it can't be reached this VM runs the request: a
// repeated run costs budget, but is billed once.
func (f *Router) runner(ctx context.Context, key, instead string) string {
	names := []string{f.options.VM}
	byName := map[string]jvpeer.Peer{}
	for _, p := range f.peers() {
		if p.Zone == f.options.Zone && f.seenRecently(p.VM) {
			names = append(names, p.VM)
			byName[p.VM] = p
		}
	}
	home := rendezvous(key, names)
	if home == f.options.VM {
		return f.coordinator.register(key, f.options.VM, instead, f.options.Timer.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.Timing.PeerTimeout)
	defer cancel()
	ask := &jvpeer.FlightRequest{Key: key, VM: f.options.VM, Replaces: instead}
	answer, err := f.send(ctx, byName[home], jvpeer.Request{Flight: ask})
	if err != nil || answer.Flight == nil {
		return f.options.VM
	}
	return answer.Flight.VM
}
