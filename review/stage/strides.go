package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// playStrides: a route of streams is split between the engines and a service without engines. The routers are stopped and
// started in turn, and clients take up again the streams that are cut at the end of a stop.
func playStrides(p *play) int {
	const (
		prepaid      = 500_000
		prompt       = 10
		events       = 140
		few          = 2 // Events of one in smallEvery streams.
		smallEvery   = 4
		gap          = 100 * time.Millisecond // Between two events; targetGapMs is 200.
		perSecond    = 160
		engineWeight = 10 // Of 100; the service without engines has the rest.
		deadline     = 15 * time.Second
		calm         = 12 * time.Second
		betweenStops = 2 * time.Second // As in the site file.
		after        = 20 * time.Second
		longest      = 105 * time.Second // Of the whole play.
	)
	var c map[string]any
	_ = json.Unmarshal(configuration(7, prepaid, []string{"duckkey"}, 15000), &c)
	draft := c["routes"].([]any)[0].(map[string]any)
	delete(draft, "service")
	draft["trafficSplit"] = []any{map[string]any{"service": "llm", "weight": engineWeight}, map[string]any{"service": "desk", "weight": 100 - engineWeight}}
	config, _ := json.Marshal(c)
	p.engines = 18
	p.deskVersion = "v3"
	if err := p.build(6, 134, config, gap); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	p.note("6 routers are ready")
	b := newBalancer(p.routers, p.stopAll)
	var mu sync.Mutex
	statuses := map[string]int{}
	// used leaves out the prompts of streams that were taken up.
	used, streams, cut, resumed := int64(0), 0, 0, 0
	count := func(a answer, prompts int64) {
		mu.Lock()
		defer mu.Unlock()
		statuses[fmt.Sprint(a.status)]++
		if !a.signed {
			return
		}
		used += prompts
		if len(a.server) > 8 && a.server[:8] == "i-engine" {
			streams++
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
				if n%smallEvery == 0 {
					usage = fmt.Sprintf("%d,%d", prompt, few*stride)
				}
				startedAt := time.Now()
				r := b.pick(zones[n%3])
				a := p.send(r, "POST", "/draft/x", "duckkey", usage, deadline)
				count(a, prompt)
				if !a.signed || a.whole || a.last == "" {
					return
				}
				next := b.pick(zones[(n+1)%3]) // The client takes the stream up once, at another machine.
				again := p.sendWith(next, "POST", "/draft/x", "duckkey", usage, "", deadline-time.Since(startedAt), "Last-Event-Id", a.last, "Resumes", a.id)
				count(again, 0)
				mu.Lock()
				defer mu.Unlock()
				cut++
				if again.last != "" {
					resumed++
				}
			})
		}
	})
	show := func(when string) {
		mu.Lock()
		defer mu.Unlock()
		p.note("%s: %d tokens used of %d prepaid, %d streams of engines, %d cut, %d of them went on; answers by status %v", when, used, prepaid, streams, cut, resumed, statuses)
	}
	time.Sleep(calm)
	for _, r := range p.routers {
		if !p.trouble {
			time.Sleep(betweenStops + 8*time.Second)
			continue
		}
		show("SIGTERM to " + r.name)
		r.stop()
		if err := r.run(false, p.store.address()); err != nil {
			p.note("not run: %v", err)
			return resultNotRun
		}
		time.Sleep(betweenStops)
	}
	time.Sleep(min(after, longest-time.Since(p.started)))
	close(stopLoad)
	load.Wait()
	show("at the end")
	switch {
	case used > prepaid:
		p.note("BUDGET is broken: duck got %d tokens, %d were prepaid", used, prepaid)
		return resultBroken
	case used < prepaid*8/10:
		p.note("not run: too few streams")
		return resultNotRun
	}
	return resultHeld
}
