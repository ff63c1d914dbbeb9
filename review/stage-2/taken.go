package main

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"sync"
	"time"
)

const (
	takenPrepaid = 600_000
	takenPrompt  = 1600
	takenOutput  = 15
	// takenRouters is the number of machines, takenEvery the pause between two requests at one of them.
	takenRouters = 6
	takenEvery   = 40 * time.Millisecond
	// takenMost is the holding from which on a machine is cut off from the store, for takenCut. The store goes away takenPause
	// later, for storeAway, and comes back from a copy.
	takenMost  = 300_000
	takenCut   = 9 * time.Second
	takenPause = time.Second
	storeAway  = 500 * time.Millisecond
)

const takenConfiguration = `{"version":7,"routes":[
 {"name":"r-2yhvz3p","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":400,"priority":0,"service":"huvo11a","maxAttempts":2,"anonymous":false,"stickySessions":true,"streamResume":true,"targetGapMs":200}],
 "services":[{"name":"huvo11a","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":372904,"stride":5}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1,"prepaid":%d}]}`

// playTaken: a machine is cut off from the store just after it has written there under a condition. Meanwhile the store
// comes back from a copy.
func playTaken(s *stage) verdict {
	store := newStore()
	store.put("keyed.op", "config", fmt.Appendf(nil, takenConfiguration, takenPrepaid))
	for n := range 6 {
		s.newServer(store, "huvo11a", serverSettings{ID: fmt.Sprintf("i-7f3a91c%d", n), Version: "v1", Events: 3, Gap: 20 * time.Millisecond})
	}
	f := newFleet(s.dir, store)
	defer f.close()
	for n := range takenRouters {
		f.add("scot-central-" + string(rune('a'+n%3)))
	}
	if !f.waitReady(readyTime) {
		return unplayed
	}
	time.Sleep(5 * time.Second)

	used := &consumption{}
	stop := make(chan struct{})
	var playing sync.WaitGroup
	load := func(r *router) {
		playing.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(takenEvery):
				}
				playing.Go(func() {
					q := request{
						id: newID(), method: "POST", path: "/lohu930/2f", body: "prompt", deadline: 5 * time.Second,
						header: map[string]string{"X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,%d", takenPrompt, takenOutput)},
					}
					a := send(f.address(r), q, nil)
					if len(a.events) > 0 {
						used.addTokens(takenPrompt + 5*int64(len(a.events)))
					}
					s.add("attempt %s at %s: status %d, %d events, tokens so far %d %s", q.id, r.name, a.status, len(a.events), used.sum(), a.err)
				})
			}
		})
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte("hule930"))
	partition := strconv.Itoa(int(h.Sum32() % 16))
	copied := store.copy()
	s.add("a copy of the store is made")
	time.Sleep(time.Second)
	first := f.routers[0]
	load(first)
	for begun := time.Now(); store.holding("keyed.grants", partition, first.name+"\nhule930") < takenMost; time.Sleep(2 * time.Millisecond) {
		if time.Since(begun) > 5*time.Second {
			s.add("no machine has taken enough")
			close(stop)
			playing.Wait()
			return unplayed
		}
	}
	s.add("%s has taken tokens: it wrote to the store under a condition", first.name)
	if s.trouble {
		store.setCut(first.name, true)
		s.add("%s is cut off from the store", first.name)
		time.AfterFunc(takenCut, func() {
			store.setCut(first.name, false)
			s.add("%s reaches the store again", first.name)
		})
		time.Sleep(takenPause)
		s.add("the store goes away")
		store.leave()
		time.Sleep(storeAway)
		store.comeBack(copied)
		store.put("keyed.op", "config", fmt.Appendf(nil, takenConfiguration, takenPrepaid))
		for _, m := range s.servers {
			m.beat()
		}
		s.add("the store is back from the copy; the operator and the servers write again")
	}
	for _, r := range f.routers[1:] {
		load(r)
	}
	time.Sleep(20 * time.Second)
	close(stop)
	playing.Wait()
	s.add("the tenant got %d tokens of %d", used.sum(), takenPrepaid)
	if used.sum() > takenPrepaid {
		return broken
	}
	return held
}
