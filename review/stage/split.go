package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// playSplit: a route of streams is split between the engines and a service without engines. Connections of clients are
// reset, and the clients take their streams up again.
func playSplit(p *play) int {
	const (
		prepaid    = 360_000
		prompt     = 20
		events     = 150
		gap        = 80 * time.Millisecond
		perSecond  = 36
		deadline   = 15 * time.Second
		calm       = 3 * time.Second // Before the first reset.
		resets     = 10
		resetGap   = 2500 * time.Millisecond
		resetShare = 0.5
		after      = 25 * time.Second
	)
	var c map[string]any
	_ = json.Unmarshal(configuration(7, prepaid, []string{"duckkey"}, 15000), &c)
	draft := c["routes"].([]any)[0].(map[string]any)
	delete(draft, "service")
	draft["trafficSplit"] = []any{map[string]any{"service": "llm", "weight": 50}, map[string]any{"service": "desk", "weight": 50}}
	config, _ := json.Marshal(c)
	p.engines = 18
	p.versions = func(int) string { return "v1" }
	p.deskVersion = "v3"
	if err := p.build(6, 134, config, gap); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	p.note("6 routers are ready")
	b := newBalancer(p.routers, p.stopAll)
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	statuses := map[string]int{}
	used, again, resumed, went, streams := int64(0), int64(0), 0, 0, 0
	count := func(a answer) {
		mu.Lock()
		defer mu.Unlock()
		statuses[fmt.Sprint(a.status)]++
		if !a.signed {
			return
		}
		streams++
		used += prompt
		if len(a.server) > 8 && a.server[:8] == "i-engine" {
			used += int64(a.tokens)
		}
	}
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
				usage := fmt.Sprintf("%d,%d", prompt, events*stride)
				startedAt := time.Now()
				a := p.send(b.pick(zones[n%3]), "POST", "/draft/x", "duckkey", usage, deadline)
				count(a)
				if !a.signed || a.whole || a.last == "" {
					return
				}
				next := p.sendWith(b.pick(zones[(n+1)%3]), "POST", "/draft/x", "duckkey", usage, "", deadline-time.Since(startedAt), "Last-Event-Id", a.last, "Resumes", a.id)
				count(next)
				mu.Lock()
				resumed++
				if next.signed {
					went++
					again += prompt
				}
				mu.Unlock()
			})
		}
	})
	time.Sleep(calm)
	for range resets {
		if p.trouble {
			r := p.routers[rand.IntN(len(p.routers))]
			p.record("%d connections of clients to %s are reset", p.clients.reset(r, resetShare), r.name)
		}
		time.Sleep(resetGap)
	}
	time.Sleep(after)
	close(stopLoad)
	load.Wait()
	p.note("%d tokens used of %d prepaid, %d without the prompts of streams that were taken up; %d streams began, %d were taken up again, of which %d went on; answers by status %v", used, prepaid, used-again, streams, resumed, went, statuses)
	switch {
	case used-again > prepaid: // Also if the prompt of a stream counts once over its tries.
		p.note("BUDGET is broken: duck got %d tokens or more, %d were prepaid", used-again, prepaid)
		return resultBroken
	case streams < 50 || used < prepaid*8/10:
		p.note("not run: too few streams")
		return resultNotRun
	}
	return resultHeld
}
