package main

import (
	"encoding/json"
	"strings"
	"time"
)

// playHeaders: a version of the configuration raises maxHeaderBytes. Later, requests come with headers that only the new
// version allows. Without the trouble the limit is as high from the start.
func playHeaders(p *play) int {
	const (
		low, high   = 4096, 16384
		configApply = 2 * time.Second
		requests    = 200
		most        = 5 + requests/500 // That the rule lets pass.
	)
	with := func(version, limit int) []byte {
		var c map[string]any
		_ = json.Unmarshal(configuration(version, 5_000_000, []string{"duckkey"}, 5000), &c)
		c["limits"].(map[string]any)["maxHeaderBytes"] = limit
		body, _ := json.Marshal(c)
		return body
	}
	first := high
	if p.trouble {
		first = low
	}
	if err := p.build(6, 134, with(7, first), 5*time.Millisecond); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	p.note("6 routers are ready; headers may have %d bytes", first)
	p.store.put("keyed.op", "config", with(10, high))
	time.Sleep(2 * configApply)
	p.note("the limit is %d bytes since %s", high, 2*configApply)
	served, denied := 0, 0
	long := strings.Repeat("x", high*3/4)
	for n := range requests {
		switch a := p.sendWith(p.routers[n%len(p.routers)], "GET", "/check/x", "duckkey", "", "", 3*time.Second, "X-Note", long); {
		case a.signed:
			served++
		case a.status == 431:
			denied++
		}
	}
	p.note("%d requests with headers of over %d bytes were served, %d got 431", served, len(long), denied)
	switch {
	case denied > most:
		p.note("DENIED is broken: %d of %d proper requests got 431", denied, requests)
		return resultBroken
	case served == 0:
		return resultNotRun
	}
	return resultHeld
}
