package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// playBegun: a request crashes the engines that run it, each a moment after the first event of its answer. It comes twice,
// and some seconds later its client repeats it three more times, at once. Without the trouble the engines answer it.
func playBegun(p *play) int {
	const (
		crashTime   = 2 * time.Second // Until the server is back.
		copies      = 2               // That come one after the other; each may reach two engines.
		copyGap     = 600 * time.Millisecond
		later       = 4500 * time.Millisecond // From the last of these to the copies at once.
		atOnce      = 4                       // One, and three more.
		free        = 3                       // Servers after whose crashes a request must be known.
		knownWithin = 3 * time.Second         // stableWindowMs.
		allowed     = 3                       // Later retries.
		after       = 6 * time.Second
	)
	p.engines = 18
	if err := p.build(6, 134, configuration(7, 900_000_000, []string{"duckkey"}, 5000), 5*time.Millisecond); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	p.note("6 routers are ready")
	type arrival struct {
		at     time.Time
		server string
	}
	var mu sync.Mutex
	var arrivals []arrival
	for _, t := range p.targets {
		if !p.trouble {
			continue
		}
		t.poisonLater = true
		t.begun = func() {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, arrival{time.Now(), t.id})
		}
		var crashing atomic.Bool
		t.poisoned = func(string) {
			if !crashing.CompareAndSwap(false, true) {
				return // Of two that run at once, one crashes it.
			}
			go func() {
				defer crashing.Store(false)
				if err := t.restart(crashTime, "v1"); err != nil {
					p.note("%s does not start again: %v", t.id, err)
					return
				}
				p.store.put("keyed.servers", t.id, t.entry())
			}()
		}
	}
	b := newBalancer(p.routers, p.stopAll)
	stopLoad := make(chan struct{})
	served, whole := 0, 0
	var load sync.WaitGroup
	load.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stopLoad:
				return
			case <-time.After(50 * time.Millisecond):
			}
			load.Go(func() {
				a := p.send(b.pick(zones[n%3]), "POST", "/draft/x", "duckkey", "500,100", 3*time.Second)
				if a.signed && a.whole {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
	})
	send := func(r *router) {
		load.Go(func() {
			a := p.sendWith(r, "POST", "/draft/bad", "duckkey", "500,100", "aaaaaaa1:300,aaaaaaa2:200", 3*time.Second, "body", poisonText)
			if a.signed && a.whole {
				mu.Lock()
				whole++
				mu.Unlock()
			}
		})
	}
	time.Sleep(5 * time.Second)
	for n := range copies {
		if n > 0 {
			time.Sleep(copyGap)
		}
		send(b.pick(zones[n%3]))
	}
	time.Sleep(later)
	mu.Lock()
	p.note("%d copies of the request have reached engines %d times", copies, len(arrivals))
	mu.Unlock()
	for n := range atOnce {
		send(p.routers[n])
	}
	p.note("%d copies come at once, at %d machines", atOnce, atOnce)
	time.Sleep(after)
	close(stopLoad)
	load.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	var times []string
	var known time.Time
	crashed := map[string]bool{}
	for _, a := range arrivals {
		times = append(times, fmt.Sprintf("%.1f", a.at.Sub(arrivals[0].at).Seconds()))
		if !known.IsZero() && a.at.Sub(known) > knownWithin {
			late++
		}
		crashed[a.server] = true
		if len(crashed) == free && known.IsZero() {
			known = a.at
		}
	}
	p.note("the request has reached engines %d times, at %s s after the first time; %d times more than %s after the crash of the third; %d copies whole, %d other streams whole", len(arrivals), strings.Join(times, " "), late, knownWithin, whole, served)
	switch {
	case late > allowed:
		p.note("BUDGET is broken: a request that crashes servers reached them in %d late retries, %d are allowed", late, allowed)
		return resultBroken
	case p.trouble && len(crashed) < free, !p.trouble && whole < copies+atOnce:
		p.note("not run: the request did not reach %d servers, or was not answered", free)
		return resultNotRun
	}
	return resultHeld
}
