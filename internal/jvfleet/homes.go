package jvfleet

import (
	"context"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
)

// homeWindow is how long a home remembers which VM runs a key.
const homeWindow = 10 * time.Minute

// homes remembers, for the keys that hash to this VM, which VM of the zone runs them.
type homes struct {
	mu   sync.Mutex
	runs *jvledger.ExpiringMap[string, string]
}

func newHomes() *homes {
	return &homes{runs: jvledger.NewExpiringMap[string, string](homeWindow.Milliseconds())}
}

// claim returns the VM that runs a key and registers vm where none does, or where the one
// registered was found without it.
func (h *homes) claim(key, vm, instead string, now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs.Advance(now.UnixMilli())
	held, ok := h.runs.Get(key)
	if ok && held != instead {
		return held
	}
	h.runs.Put(key, vm)
	return vm
}

// owner asks the key's home, among the VMs of this zone that have been heard of lately, which
// VM runs it. Where the home can't be reached,
// this VM runs it: a repeated run costs budget, but is billed once.
func (f *Fleet) owner(ctx context.Context, key, instead string) string {
	names := []string{f.options.VM}
	byName := map[string]jvpeer.Peer{}
	for _, p := range f.peers() {
		if p.Zone == f.options.Zone && f.lively(p.VM) {
			names = append(names, p.VM)
			byName[p.VM] = p
		}
	}
	home := rendezvous(key, names)
	if home == f.options.VM {
		return f.homes.claim(key, f.options.VM, instead, f.options.Timer.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.Pace.PeerTimeout)
	defer cancel()
	ask := &jvpeer.FlightRequest{Key: key, VM: f.options.VM, Replaces: instead}
	answer, err := f.ask(ctx, byName[home], jvpeer.Request{Flight: ask})
	if err != nil || answer.Flight == nil {
		return f.options.VM
	}
	return answer.Flight.VM
}
