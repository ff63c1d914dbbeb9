package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// configuration returns a configuration in the platform's format.
func configuration(version int, prepaid int64, keys []string, timeoutMs int) []byte {
	route := func(name, prefix, kind, service string, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 400, "priority": 0,
			"service": service, "maxAttempts": 2, "anonymous": false, "stickySessions": kind == "streaming", "streamResume": resume, "targetGapMs": 200,
		}
	}
	body, _ := json.Marshal(map[string]any{
		"version": version,
		"routes":  []any{route("draft", "/draft/", "streaming", "llm", true), route("check", "/check/", "safe", "desk", false), route("book", "/book/", "unsafe", "desk", false)},
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kvCapacityTokens": 372904, "stride": stride, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "duck", "apiKeys": keys, "priority": 1, "prepaid": prepaid}},
	})
	return body
}

// playConfig: changes of the configuration come in quick succession. The store has its drill, and the operator writes the
// newest configuration again. Long after that it takes a key away.
func playConfig(p *play) int {
	const (
		prepaid      = 5_000_000
		copyAge      = 3 * time.Second
		changes      = 9
		changeGap    = copyAge / changes // 0.33 s: config_storm in the site file.
		awayTime     = time.Second
		beforeRevoke = 10 * time.Second // From the end of the drill: the store is stable again after stableWindowMs, 3 s.
		configApply  = 2 * time.Second
		watch        = 20 * time.Second
	)
	version := 7
	if err := p.build(6, 134, configuration(version, prepaid, []string{"duckkey", "oldkey"}, 5000), 5*time.Millisecond); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	p.note("6 routers are ready")
	b := newBalancer(p.routers, p.stopAll)
	write := func(keys []string, timeoutMs int) {
		version += 3
		ok := p.store.put("keyed.op", "config", configuration(version, prepaid, keys, timeoutMs))
		p.record("config version=%d keys=%v acknowledged=%v", version, keys, ok)
	}
	var mu sync.Mutex
	var revokedAt time.Time
	late, refused, served := 0, 0, 0
	stopLoad := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stopLoad:
				return
			case <-time.After(50 * time.Millisecond):
			}
			key := []string{"duckkey", "oldkey"}[n%2]
			load.Go(func() {
				sentAt := time.Now()
				a := p.send(b.pick(zones[n%3]), "GET", "/check/x", key, "", 3*time.Second)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case key != "oldkey" && a.signed:
					served++
				case key == "oldkey" && !revokedAt.IsZero() && sentAt.Sub(revokedAt) > configApply:
					if a.signed {
						late++
					} else if a.status == 401 {
						refused++
					}
				}
			})
		}
	})
	time.Sleep(6 * time.Second)
	c := p.store.copy()
	p.note("a copy of the store is taken; the configuration has version %d", version)
	for n := range changes {
		time.Sleep(changeGap)
		write([]string{"duckkey", "oldkey"}, 5000+10*n)
	}
	p.note("%d changes are acknowledged, the newest has version %d", changes, version)
	if p.trouble {
		p.store.leave()
		p.note("the store is away")
		time.Sleep(awayTime)
		lost := p.store.comeBack(&c)
		p.note("the store is back from a copy that is %.1f s old; %d records are gone", time.Since(c.at).Seconds(), lost)
		p.store.put("keyed.op", "config", configuration(version, prepaid, []string{"duckkey", "oldkey"}, 5000+10*(changes-1)))
		p.note("the operator has written version %d again", version)
	} else {
		time.Sleep(awayTime)
	}
	time.Sleep(beforeRevoke)
	write([]string{"duckkey"}, 5000)
	mu.Lock()
	revokedAt = time.Now()
	mu.Unlock()
	p.note("the key oldkey is taken away by version %d, acknowledged", version)
	time.Sleep(watch)
	close(stopLoad)
	load.Wait()
	p.note("of the requests with the dropped key that were sent more than %s after the acknowledgement, %d were run and %d refused with 401; %d others served", configApply, late, refused, served)
	switch {
	case late > 0:
		p.note("CONFIG is broken: %d requests ran by a configuration that was no longer in force, up to %s after the acknowledgement", late, watch)
		return resultBroken
	case refused == 0 || served == 0:
		p.note("not run: %s", fmt.Sprint("no request shows the configuration"))
		return resultNotRun
	}
	return resultHeld
}
