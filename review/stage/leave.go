package main

import (
	"fmt"
	"sync"
	"time"
)

// playLeave: for 5 s, one in 20 streams of half of the engines ends with its connection, without a length or chunks. Then
// three of these engines drain, and their processes end drainMs and a little longer after that.
func playLeave(p *play) int {
	const (
		perSecond = 90
		events    = 100
		gap       = 110 * time.Millisecond // Between two events; targetGapMs is 200.
		every     = 20                     // Of an engine's answers, the one without a length: 0.05, as in the site file.
		calm      = 9 * time.Second
		unframed  = 5 * time.Second         // As in the site file.
		half      = 9                       // Engines that do it, of 18: share .5 of kinds.
		notice    = 2200 * time.Millisecond // From the report to the end: drainMs, and a little longer.
		after     = 12 * time.Second
		deadline  = 15 * time.Second
		leaving   = 3 // Engines, of 18: 0.167, a day of the site file has 0.178.
	)
	p.engines = 18
	if err := p.build(6, 134, configuration(7, 900_000_000, []string{"duckkey"}, 15000), gap); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	setUnframed := func(every int) {
		for _, t := range p.targets[:half] {
			t.mu.Lock()
			t.unframedEvery = every
			t.mu.Unlock()
		}
	}
	p.note("6 routers are ready")
	b := newBalancer(p.routers, p.stopAll)
	var mu sync.Mutex
	whole, short, broken, refused := 0, 0, 0, 0
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
				a := p.send(b.pick(zones[n%3]), "POST", "/draft/x", "duckkey", fmt.Sprintf("%d,%d", 500, events*stride), deadline)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case !a.signed:
					refused++
				case !a.whole:
					broken++
				case a.last != fmt.Sprint(events):
					short++
					p.record("id=%s ends as complete after event %s of %d", a.id, a.last, events)
				default:
					whole++
				}
			})
		}
	})
	time.Sleep(calm)
	setUnframed(every)
	time.Sleep(unframed)
	setUnframed(0)
	if p.trouble {
		for _, t := range p.targets[:leaving] {
			t.drain(p.store)
		}
		p.note("%d engines drain", leaving)
	}
	time.Sleep(notice)
	if p.trouble {
		for _, t := range p.targets[:leaving] {
			t.exit(p.store)
		}
		p.note("their processes end")
	}
	time.Sleep(after)
	close(stopLoad)
	load.Wait()
	p.note("%d streams whole, %d ended as complete before their last event, %d broken off, %d refused", whole, short, broken, refused)
	switch {
	case short > 0:
		p.note("ORDER is broken: %d streams end as complete before their last event", short)
		return resultBroken
	case whole < 100:
		return resultNotRun
	}
	return resultHeld
}
