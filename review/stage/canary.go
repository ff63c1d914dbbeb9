package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// playCanary: a route of streams is split between two services, whose servers have different versions. One router is
// killed, and the clients take up the streams that it carried.
func playCanary(p *play) int {
	const (
		perSecond = 24
		events    = 50
		gap       = 150 * time.Millisecond // Between two events; targetGapMs is 200.
		calm      = 15 * time.Second
		downTime  = 3500 * time.Millisecond
		after     = 10 * time.Second
		deadline  = 15 * time.Second
		enough    = 12 // Streams that are taken up, from which on the rule counts.
		canaries  = 3  // Engines of the second service.
	)
	var c map[string]any
	_ = json.Unmarshal(configuration(7, 900_000_000, []string{"duckkey"}, 15000), &c)
	draft := c["routes"].([]any)[0].(map[string]any)
	delete(draft, "service")
	draft["trafficSplit"] = []any{map[string]any{"service": "llm", "weight": 90}, map[string]any{"service": "llm-next", "weight": 10}}
	services := c["services"].([]any)
	next := map[string]any{}
	for name, value := range services[0].(map[string]any) {
		next[name] = value
	}
	next["name"] = "llm-next"
	c["services"] = append(services, next)
	config, _ := json.Marshal(c)
	p.engines = 18
	isNext := func(n int) bool { return n >= p.engines-canaries }
	p.services = func(n int) string {
		if isNext(n) {
			return "llm-next"
		}
		return "llm"
	}
	p.versions = func(n int) string {
		if isNext(n) {
			return "v2"
		}
		return "v1"
	}
	if err := p.build(6, 134, config, gap); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	p.note("6 routers are ready; %d engines of llm have the version v1, %d of llm-next the version v2", p.engines-canaries, canaries)
	b := newBalancer(p.routers, p.stopAll)
	killed := p.routers[0]
	// retryAt returns another router for a client whose connection to one broke.
	retryAt := func(broken *router, n int) *router {
		for {
			if r := b.pick(zones[n%3]); r != broken && r != killed {
				return r
			}
			n++
		}
	}
	var mu sync.Mutex
	begun, tried, resumed, went := 0, 0, 0, 0
	refusals := map[string]int{}
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
				r := b.pick(zones[n%3])
				a := p.send(r, "POST", "/draft/x", "duckkey", usage, deadline)
				mu.Lock()
				if r != killed { // New streams at machines in touch.
					tried++
					if a.last != "" {
						begun++
					}
				}
				mu.Unlock()
				if a.whole || a.last == "" {
					return
				}
				again := p.sendWith(retryAt(r, n), "POST", "/draft/x", "duckkey", usage, "", deadline-time.Since(startedAt), "Last-Event-Id", a.last, "Resumes", a.id)
				mu.Lock()
				defer mu.Unlock()
				resumed++
				if again.last != "" {
					went++
				} else {
					refusals[fmt.Sprint(again.status)]++
				}
			})
		}
	})
	time.Sleep(calm)
	if p.trouble {
		p.note("SIGKILL to %s", killed.name)
		_ = killed.command.Process.Kill()
		<-killed.exited
		time.Sleep(downTime)
		if err := killed.run(false, p.store.address()); err != nil {
			p.note("not run: %v", err)
			return resultNotRun
		}
	} else {
		time.Sleep(downTime)
	}
	time.Sleep(after)
	close(stopLoad)
	load.Wait()
	p.note("%d of %d new streams began at machines that were not killed; %d streams were taken up there, and %d of them went on; others got %v", begun, tried, resumed, went, refusals)
	switch {
	case resumed >= enough && 2*went*tried < begun*resumed:
		p.note("LOST is broken: the share of streams that go on is under half of the share of new streams that begin")
		return resultBroken
	case p.trouble && resumed < enough, begun == 0:
		return resultNotRun
	}
	return resultHeld
}
