package main

import (
	"fmt"
	"sync"
	"time"
)

// playOrder: engines of two software versions serve side by side, the last three of the earlier one among them. While the
// store is down, these three go dark for a second or so, and come back under their ids with the later version.
func playOrder(p *play) int {
	const (
		perSecond = 24
		events    = 50
		gap       = 150 * time.Millisecond // Between two events; targetGapMs is 200.
		calm      = 12 * time.Second
		untilDark = time.Second // From the begin of the store's outage.
		darkTime  = 1200 * time.Millisecond
		storeDown = 5 * time.Second
		earlier   = 3 // Engines of the earlier version.
		deadline  = 15 * time.Second
		most      = 2 // Streams with events of two versions that the rule lets pass.
	)
	p.engines = 18
	p.versions = func(n int) string {
		if n < earlier {
			return "v1"
		}
		return "v2"
	}
	if err := p.build(6, 134, configuration(7, 900_000_000, []string{"duckkey"}, 15000), gap); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	p.note("6 routers are ready; 3 engines have the version v1, 15 the version v2")
	b := newBalancer(p.routers, p.stopAll)
	var mu sync.Mutex
	statuses := map[string]int{}
	mixed, whole, broken := 0, 0, 0
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
				usage := fmt.Sprintf("%d,%d", 500, events*stride)
				startedAt := time.Now()
				a := p.send(b.pick(zones[n%3]), "POST", "/draft/x", "duckkey", usage, deadline)
				versions, ok := a.versions, a.status == 200 && a.whole
				if !ok && a.last != "" { // The client takes the stream up once, at another machine.
					left := deadline - time.Since(startedAt)
					again := p.sendWith(b.pick(zones[(n+1)%3]), "POST", "/draft/x", "duckkey", usage, "", left, "Last-Event-Id", a.last, "Resumes", a.id)
					ok = again.status == 200 && again.whole
					for v, n := range again.versions {
						versions[v] += n
					}
				}
				mu.Lock()
				defer mu.Unlock()
				statuses[fmt.Sprint(a.status)]++
				switch {
				case len(versions) > 1:
					mixed++
				case ok:
					whole++
				default:
					broken++
				}
			})
		}
	})
	time.Sleep(calm)
	if p.trouble {
		p.store.leave()
	}
	p.note("the store is down: %v", p.trouble)
	time.Sleep(untilDark)
	if p.trouble {
		p.note("the engines of v1 go dark for %s", darkTime)
		p.each(0, earlier, func(t *target) error { return t.dark(darkTime, "v2") })
		p.note("they are back under their ids, as v2")
	} else {
		time.Sleep(darkTime)
	}
	time.Sleep(storeDown - untilDark - darkTime)
	if p.trouble {
		p.store.comeBack(nil)
	}
	p.note("the store is back")
	time.Sleep(5 * time.Second)
	close(stopLoad)
	load.Wait()
	p.note("%d streams with events of two versions, %d others whole, %d not; answers by status %v", mixed, whole, broken, statuses)
	switch {
	case mixed > most:
		p.note("ORDER is broken: %d streams hold events of servers of two versions, in one answer or over two tries", mixed)
		return resultBroken
	case whole == 0:
		return resultNotRun
	}
	return resultHeld
}

// each does something to some of the targets at once, and waits for the end.
func (p *play) each(from, to int, do func(t *target) error) {
	var all sync.WaitGroup
	for _, t := range p.targets[from:to] {
		all.Go(func() {
			if err := do(t); err != nil {
				p.note("%s: %v", t.id, err)
			}
		})
	}
	all.Wait()
}
