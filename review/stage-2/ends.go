package main

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

const streamConfiguration = `{"version":7,"routes":[
 {"name":"r-2yhvz3p","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":500,"priority":0,"service":"huvo11a","maxAttempts":2,"anonymous":false,"stickySessions":true,"streamResume":true,"targetGapMs":200}],
 "services":[{"name":"huvo11a","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":372904,"stride":5}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1,"prepaid":100000000}]}`

// playEnds: a server that leaves crashes while it sends streams which have no length and end with their connection.
func playEnds(s *stage) verdict {
	const events, streams = 40, 12
	store := newStore()
	store.put("keyed.op", "config", []byte(streamConfiguration))
	stream := serverSettings{Version: "v1", Events: events, Gap: 100 * time.Millisecond, Unframed: true}
	for n := range 4 {
		stream.ID = fmt.Sprintf("i-7f3a91c%d", n)
		s.newServer(store, "huvo11a", stream)
	}
	f := newFleet(s.dir, store)
	defer f.close()
	f.add("scot-central-a")
	f.add("scot-central-b")
	if !f.waitReady(readyTime) {
		return unplayed
	}
	time.Sleep(4 * time.Second) // All machines are in touch.
	answers := make([]answer, streams)
	var playing sync.WaitGroup
	for n := range streams {
		playing.Go(func() {
			q := request{
				id: newID(), method: "POST", path: "/lohu930/2f", body: "prompt", deadline: 15 * time.Second,
				header: map[string]string{"X-Model": "m", "X-Token-Usage": "543,300", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:103,%08x:440", n)},
			}
			r := f.routers[n%2]
			s.add("attempt %s sent to %s", q.id, r.name)
			answers[n] = send(f.address(r), q, nil)
			s.add("attempt %s got status %d, %d events, complete=%t %s", q.id, answers[n].status, len(answers[n].events), answers[n].whole, answers[n].err)
		})
	}
	time.Sleep(500 * time.Millisecond)
	leaving := slices.MaxFunc(s.servers, func(a, b *server) int { return cmp.Compare(a.runs.Load(), b.runs.Load()) })
	leaving.set("draining")
	time.Sleep(time.Second)
	if s.trouble {
		leaving.crash()
	}
	playing.Wait()
	early := 0
	for _, a := range answers {
		if a.status == 200 && a.whole && len(a.events) < events {
			early++
		}
	}
	s.add("%d of %d streams ended as complete before their last event", early, streams)
	if early > 0 {
		return broken
	}
	return held
}
