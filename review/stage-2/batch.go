package main

import (
	"fmt"
	"sync"
	"time"
)

// batchConfiguration has a route of kit-query: its requests may not be repeated.
const batchConfiguration = `{"version":7,"routes":[
 {"name":"r-fi6y7z5","host":"ficu95.example","pathPrefix":"/pufi791/","kind":"streaming","timeoutMs":3000,"targetLatencyMs":600,"priority":1,"service":"huvo11a","maxAttempts":1,"anonymous":false,"stickySessions":true,"streamResume":false,"targetGapMs":200}],
 "services":[{"name":"huvo11a","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":372904,"stride":5}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1,"prepaid":100000000}]}`

const (
	batchPart = "5c1e07a2"
	// batchSize is the number of requests that come at the same time, batchPause the time between two such batches.
	batchSize  = 8
	batchPause = 6 * time.Second
	// batchOutage is how long a server is down that has crashed.
	batchOutage  = 3 * time.Second
	stableWindow = 3 * time.Second
	// manyCrashes is the crash from which on the rule counts, maxLate the number of requests that it allows.
	manyCrashes = 5
	maxLate     = 3
)

// playBatch: a part of prompts crashes each server that begins to write an answer on it. Requests with it come in batches.
func playBatch(s *stage) verdict {
	store := newStore()
	store.put("keyed.op", "config", []byte(batchConfiguration))
	var mu sync.Mutex
	var crashes []time.Time
	sentAt := map[string]time.Time{}
	late := 0
	settings := serverSettings{Version: "v1", Events: 4, Gap: 20 * time.Millisecond, ReadTime: 150 * time.Millisecond}
	if s.trouble {
		settings.CrashPart = batchPart
	}
	for n := range 18 {
		settings.ID = fmt.Sprintf("i-7f3a91%02d", n)
		m := s.newServer(store, "huvo11a", settings)
		m.crashed = func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			m.startAgain(batchOutage)
		}
		m.ran = func(id string) {
			mu.Lock()
			defer mu.Unlock()
			if at, ok := sentAt[id]; ok && len(crashes) >= manyCrashes && at.After(crashes[manyCrashes-1].Add(stableWindow)) {
				late++
			}
		}
	}
	f := newFleet(s.dir, store)
	defer f.close()
	for _, zone := range []string{"a", "b", "c"} {
		f.add("scot-central-" + zone)
	}
	if !f.waitReady(readyTime) {
		return unplayed
	}
	time.Sleep(4 * time.Second)
	for batch := range 3 {
		var playing sync.WaitGroup
		for n := range batchSize {
			playing.Go(func() {
				time.Sleep(time.Duration(n) * 5 * time.Millisecond)
				q := request{
					id: newID(), method: "POST", path: "/pufi791/2f", body: fmt.Sprintf("prompt %d.%d", batch, n), deadline: 3 * time.Second,
					header: map[string]string{"X-Model": "m", "X-Token-Usage": "700,20", "X-Prefix-Hash": fmt.Sprintf("%s:341,%08x:227,%08x:132", batchPart, 100*batch+n, 10_000+100*batch+n)},
				}
				mu.Lock()
				sentAt[q.id] = time.Now()
				mu.Unlock()
				r := f.routers[n%len(f.routers)]
				s.add("batch %d: attempt %s sent to %s", batch, q.id, r.name)
				a := send(f.address(r), q, nil)
				s.add("batch %d: attempt %s got status %d, %d events %s %s", batch, q.id, a.status, len(a.events), a.err, a.body)
			})
		}
		playing.Wait()
		time.Sleep(batchPause)
	}
	mu.Lock()
	defer mu.Unlock()
	s.add("%d servers have crashed; %d requests with the part reached servers more than %s after crash %d", len(crashes), late, stableWindow, manyCrashes)
	if late > maxLate {
		return broken
	}
	return held
}
