package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// poisonText is in the bodies of requests that crash each server that begins to run them.
const poisonText = "poison"

// playPoison: a request crashes the engines that run it, and is stopped. The store has its drill, by which the records of
// that are lost. Later another request, one to the plain service, crashes the servers that run it.
func playPoison(p *play) int {
	const (
		crashTime   = 2 * time.Second
		firstGap    = 400 * time.Millisecond // Between two copies of the first request, and of the second one.
		secondGap   = 1200 * time.Millisecond
		firstTime   = 4 * time.Second // Copies of the first request.
		awayTime    = time.Second
		afterDrill  = 6 * time.Second // The store is stable 3 s after its return.
		secondTime  = 35 * time.Second
		free        = 3               // Servers after whose crashes a request must be known.
		knownWithin = 3 * time.Second // stableWindowMs.
		allowed     = 3               // Later retries.
	)
	if err := p.build(6, 134, configuration(7, 900_000_000, []string{"duckkey"}, 5000), 5*time.Millisecond); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	p.note("6 routers are ready")
	var mu sync.Mutex
	type arrival struct {
		at     time.Time
		server string
	}
	arrivals := map[string][]arrival{}
	for _, t := range p.targets {
		t.poisoned = func(body string) {
			mu.Lock()
			arrivals[body] = append(arrivals[body], arrival{time.Now(), t.id})
			mu.Unlock()
			go func() {
				if err := t.restart(crashTime, "v1"); err != nil {
					p.note("%s does not start again: %v", t.id, err)
					return
				}
				p.store.put("keyed.servers", t.id, t.entry())
			}()
		}
	}
	b := newBalancer(p.routers, p.stopAll)
	stopLoad := make(chan struct{})
	served := 0
	var load sync.WaitGroup
	load.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stopLoad:
				return
			case <-time.After(50 * time.Millisecond):
			}
			load.Go(func() {
				if p.sendWith(b.pick(zones[n%3]), "GET", "/check/x", "duckkey", "", "", 3*time.Second).signed {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
	})
	send := func(path, usage, parts, body string, gap, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gap) {
			load.Go(func() {
				p.sendWith(b.pick(zones[rand.IntN(len(zones))]), "POST", path, "duckkey", usage, parts, 3*time.Second, "body", body)
			})
		}
	}
	time.Sleep(2 * time.Second)
	c := p.store.copy()
	p.note("a copy of the store is taken; keyed.crashes ends at %d", p.store.end("keyed.crashes", "0"))
	send("/draft/bad", "1500,100", "aaaaaaa1:300,aaaaaaa2:300,aaaaaaa3:300,aaaaaaa4:300,aaaaaaa5:300", poisonText+" one", firstGap, firstTime)
	mu.Lock()
	p.note("the first request has reached engines %d times; keyed.crashes ends at %d", len(arrivals[poisonText+" one"]), p.store.end("keyed.crashes", "0"))
	mu.Unlock()
	if p.trouble {
		p.store.leave()
		time.Sleep(awayTime)
		lost := p.store.comeBack(&c)
		p.note("the store was away and is back from a copy that is %.1f s old; %d records are gone", time.Since(c.at).Seconds(), lost)
		p.store.put("keyed.op", "config", configuration(7, 900_000_000, []string{"duckkey"}, 5000))
		for _, t := range p.targets {
			p.store.put("keyed.servers", t.id, t.entry())
		}
	} else {
		time.Sleep(awayTime)
	}
	time.Sleep(afterDrill)
	p.note("a second request comes, to the plain service")
	send("/book/bad", "", "", poisonText+" two", secondGap, secondTime)
	close(stopLoad)
	load.Wait()
	mu.Lock()
	defer mu.Unlock()
	second := arrivals[poisonText+" two"]
	// The time counts from the crash of the third server, not from the third crash of one.
	late := 0
	var times []string
	var known time.Time
	crashed := map[string]bool{}
	for _, a := range second {
		times = append(times, fmt.Sprintf("%.1f", a.at.Sub(second[0].at).Seconds()))
		if !known.IsZero() && a.at.Sub(known) > knownWithin {
			late++
		}
		crashed[a.server] = true
		if len(crashed) == free && known.IsZero() {
			known = a.at
		}
	}
	p.note("the second request has reached servers %d times, at %s s after the first time; %d times more than %s after the crash of the third server; %d other requests served", len(second), strings.Join(times, " "), late, knownWithin, served)
	switch {
	case late > allowed:
		p.note("BUDGET is broken: a request that crashes servers reached them in %d late retries, %d are allowed", late, allowed)
		return resultBroken
	case len(second) < free:
		p.note("not run: the request did not reach %d servers", free)
		return resultNotRun
	}
	return resultHeld
}
