package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// playBudget: a workspace is served steadily. The store has its drill, and comes back from a copy that is 3 s older than the
// begin of the drill. Nothing else happens.
func playBudget(p *play) int {
	const (
		prepaid   = 1_200_000
		prompt    = 1_500
		output    = 100
		perSecond = 24
		quietTime = 5 * time.Second  // Before the workspace's first request.
		before    = 12 * time.Second // From that to the copy.
		copyAge   = 3 * time.Second  // From the copy to the begin of the drill.
		awayTime  = time.Second
		after     = 40 * time.Second // From the end of the drill.
	)
	config := configuration(7, prepaid, []string{"duckkey"}, 5000)
	if err := p.build(6, 134, config, 5*time.Millisecond); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	p.note("6 routers are ready")
	b := newBalancer(p.routers, p.stopAll)
	time.Sleep(quietTime)

	var mu sync.Mutex
	statuses := map[string]int{}
	var used, began atomic.Int64
	stopLoad := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stopLoad:
				return
			case <-time.After(time.Second / perSecond):
			}
			r := b.pick(zones[n%len(zones)])
			load.Go(func() {
				a := p.send(r, "POST", "/draft/x", "duckkey", fmt.Sprintf("%d,%d", prompt, output), 5*time.Second)
				mu.Lock()
				statuses[fmt.Sprint(a.status)]++
				mu.Unlock()
				if a.signed {
					began.Add(1)
					used.Add(prompt + int64(a.tokens))
				}
			})
		}
	})
	show := func(when string) {
		mu.Lock()
		defer mu.Unlock()
		p.note("%s: %d tokens used of %d prepaid, %d streams; answers by status %v", when, used.Load(), prepaid, began.Load(), statuses)
	}
	time.Sleep(before)
	c := p.store.copy()
	show("a copy of the store is taken")
	time.Sleep(copyAge)
	show("before the drill")
	if p.trouble {
		p.store.leave()
		p.note("the store is away")
		time.Sleep(awayTime)
		lost := p.store.comeBack(&c)
		p.note("the store is back from a copy that is %.1f s old; %d records are gone", time.Since(c.at).Seconds(), lost)
		p.store.put("keyed.op", "config", config)
	} else {
		time.Sleep(awayTime)
	}
	time.Sleep(after)
	close(stopLoad)
	load.Wait()
	show("at the end")
	if used.Load() > prepaid {
		p.note("BUDGET is broken: duck got %d tokens, %d were prepaid", used.Load(), prepaid)
		return resultBroken
	}
	if began.Load() < 50 {
		p.note("not run: too few streams")
		return resultNotRun
	}
	return resultHeld
}
