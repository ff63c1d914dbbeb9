package main

import (
	"fmt"
	"sync"
	"time"
)

// playIDs: the ids of the events in a stream rise by the tokens of an event. The routers are stopped and started in turn.
// Without the trouble the ids rise by one.
func playIDs(p *play) int {
	const (
		perSecond    = 24
		events       = 10
		gap          = 60 * time.Millisecond // Between two events; targetGapMs is 200.
		deadline     = 5 * time.Second
		calm         = 4 * time.Second
		betweenStops = 2 * time.Second
		grace        = 8 * time.Second
	)
	p.engines = 18
	if err := p.build(6, 134, configuration(7, 900_000_000, []string{"duckkey"}, 5000), gap); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	step := 1
	if p.trouble {
		step = stride
	}
	for _, t := range p.targets[:p.engines] {
		t.idStep = step
	}
	p.note("6 routers are ready; the ids of events rise by %d", step)
	b := newBalancer(p.routers, p.stopAll)
	var mu sync.Mutex
	stoppedAt := map[*router]time.Time{}
	whole, broken, lost, refused := 0, 0, 0, 0
	stopLoad := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stopLoad:
				return
			case <-time.After(time.Second / perSecond):
			}
			load.Go(func() {
				r := b.pick(zones[n%3])
				sentAt := time.Now()
				a := p.send(r, "POST", "/draft/x", "duckkey", fmt.Sprintf("%d,%d", 500, events*stride), deadline)
				endedAt := time.Now()
				mu.Lock()
				defer mu.Unlock()
				stop, planned := stoppedAt[r]
				// The connection ended between the SIGTERM and 1 s after the grace period, and not by the deadline.
				planned = planned && endedAt.After(stop) && sentAt.Before(stop.Add(grace)) && endedAt.Before(stop.Add(grace+time.Second)) && endedAt.Sub(sentAt) < deadline*9/10
				switch {
				case !a.signed:
					refused++
				case a.whole && a.tokens == events*stride:
					whole++
				default:
					broken++
					if planned {
						lost++
						p.record("id=%s was passed on, and ends after event %s without a complete answer, %s after the SIGTERM of %s", a.id, a.last, endedAt.Sub(stop).Round(time.Millisecond), r.name)
					}
				}
			})
		}
	})
	time.Sleep(calm)
	for _, r := range p.routers {
		p.note("SIGTERM to %s", r.name)
		mu.Lock()
		stoppedAt[r] = time.Now()
		mu.Unlock()
		r.stop()
		if err := r.run(false, p.store.address()); err != nil {
			p.note("not run: %v", err)
			return resultNotRun
		}
		time.Sleep(betweenStops)
	}
	close(stopLoad)
	load.Wait()
	p.note("%d streams whole, %d without a complete answer, %d of them at a router after its SIGTERM; %d without an answer of a server", whole, broken, lost, refused)
	switch {
	case lost > 0:
		p.note("LOST is broken: %d streams that were passed on to an engine end without a complete answer around the planned stop of their router", lost)
		return resultBroken
	case whole < 50:
		return resultNotRun
	}
	return resultHeld
}
