package main

import (
	"encoding/json"
	"sync"
	"time"
)

// playWeights: a version of the configuration splits a route at 99.5 to 0.5. The next one, with the same split, takes a key away.
// Without the trouble the split is 99 to 1.
func playWeights(p *play) int {
	const (
		configApply  = 2 * time.Second
		beforeRevoke = 5 * time.Second
		watch        = 10 * time.Second
	)
	large, small := 99.5, 0.5
	if !p.trouble {
		large, small = 99, 1
	}
	split := func(version int, keys []string) []byte {
		var c map[string]any
		_ = json.Unmarshal(configuration(version, 5_000_000, keys, 5000), &c)
		check := c["routes"].([]any)[1].(map[string]any)
		delete(check, "service")
		check["trafficSplit"] = []any{map[string]any{"service": "desk", "weight": large}, map[string]any{"service": "desk-next", "weight": small}}
		services := c["services"].([]any)
		next := map[string]any{}
		for name, value := range services[1].(map[string]any) {
			next[name] = value
		}
		next["name"] = "desk-next"
		c["services"] = append(services, next)
		body, _ := json.Marshal(c)
		return body
	}
	if err := p.build(6, 134, configuration(7, 5_000_000, []string{"duckkey", "oldkey"}, 5000), 5*time.Millisecond); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	t, err := newTarget("i-next", "desk-next", zones[0], p.net+"130:0", false, 6, 15*time.Millisecond, p.record)
	if err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	go t.beat(p.store, p.stopAll)
	p.note("6 routers are ready")
	b := newBalancer(p.routers, p.stopAll)
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
				a := p.send(b.pick(zones[n%3]), "POST", "/book/x", key, "", 3*time.Second)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case key != "oldkey" && a.signed:
					served++
				case key == "oldkey" && !revokedAt.IsZero() && sentAt.Sub(revokedAt) > configApply && a.signed:
					late++
				case key == "oldkey" && !revokedAt.IsZero() && a.status == 401:
					refused++
				}
			})
		}
	})
	time.Sleep(2 * time.Second)
	p.store.put("keyed.op", "config", split(10, []string{"duckkey", "oldkey"}))
	p.note("version 10 splits a route at %v to %v", large, small)
	time.Sleep(beforeRevoke)
	p.store.put("keyed.op", "config", split(13, []string{"duckkey"}))
	mu.Lock()
	revokedAt = time.Now()
	mu.Unlock()
	p.note("version 13 takes the key oldkey away")
	time.Sleep(watch)
	close(stopLoad)
	load.Wait()
	p.note("of the bookings with the dropped key that were sent more than %s after the acknowledgement %d were run; %d were refused with 401; %d others served", configApply, late, refused, served)
	switch {
	case late > 0:
		p.note("CONFIG is broken: %d bookings ran with a dropped key", late)
		return resultBroken
	case refused == 0 || served == 0:
		return resultNotRun
	}
	return resultHeld
}
