package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	movesPrepaid = 100_000
	movesStride  = 15
	movesPrompt  = 50
	movesOutput  = 1950
	movesEvents  = movesOutput / movesStride
)

const movesConfiguration = `{"version":7,"routes":[
 {"name":"r-2yhvz3p","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":500,"priority":0,"trafficSplit":[{"service":"huvo11a","weight":50},{"service":"wuno96b","weight":50}],"maxAttempts":2,"anonymous":false,"stickySessions":true,"streamResume":true,"targetGapMs":200}],
 "services":[{"name":"huvo11a","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":372904,"stride":%d}},{"name":"wuno96b","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1,"prepaid":%d}]}`

// consumption counts the tokens of a tenant.
type consumption struct {
	mu     sync.Mutex
	tokens int64
}

// add counts a client attempt at an engine: its prompt, and what the client got.
func (c *consumption) add(events int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens += movesPrompt + int64(events)*movesStride
}

// addTokens counts tokens.
func (c *consumption) addTokens(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens += n
}

func (c *consumption) sum() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens
}

// playMoves: while two versions serve, clients move from one zone to another in the middle of their streams, and take them
// up there.
func playMoves(s *stage) verdict {
	const streams, leaveEvents, rounds, callers = 48, 10, 60, 8
	store := newStore()
	store.put("keyed.op", "config", fmt.Appendf(nil, movesConfiguration, movesStride, movesPrepaid))
	engine := serverSettings{Events: movesEvents, Gap: 10 * time.Millisecond}
	for n := range 4 {
		engine.ID, engine.Version = fmt.Sprintf("i-7f3a91c%d-engine", n), []string{"v1", "v2"}[n%2]
		s.newServer(store, "huvo11a", engine)
	}
	s.newServer(store, "wuno96b", serverSettings{ID: "i-02d9e6b4", Version: "v1", Events: 3, Gap: 10 * time.Millisecond})
	f := newFleet(s.dir, store)
	defer f.close()
	f.add("scot-central-a")
	f.add("scot-central-b")
	if !f.waitReady(readyTime) {
		return unplayed
	}
	time.Sleep(4 * time.Second)

	used := &consumption{}
	play := func(r *router, name string, leaveAfter int, header map[string]string) (string, answer) {
		q := request{
			id: newID(), method: "POST", path: "/lohu930/2f", body: name, deadline: 10 * time.Second, leaveAfter: leaveAfter,
			header: map[string]string{"X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,%d", movesPrompt, movesOutput), "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:20,%s:30", name)},
		}
		for name, value := range header {
			q.header[name] = value
		}
		a := send(f.address(r), q, nil)
		if len(a.events) > 0 && strings.HasSuffix(a.events[0].data, "engine") { // The other service has no tokens.
			used.add(len(a.events))
		}
		s.add("attempt %s at %s, Resumes %q: status %d, %d events, tokens so far %d %s", q.id, r.name, header["Resumes"], a.status, len(a.events), used.sum(), a.body)
		return q.id, a
	}
	for n := 0; n < streams; {
		var playing sync.WaitGroup
		for range 12 {
			n++
			playing.Go(func() {
				name := fmt.Sprintf("%08x", n)
				leaveAfter := 0
				if s.trouble {
					leaveAfter = leaveEvents
				}
				id, a := play(f.routers[0], name, leaveAfter, nil)
				if s.trouble && len(a.events) == leaveEvents {
					play(f.routers[1], name, 0, map[string]string{"Resumes": id, "Last-Event-Id": strconv.Itoa(a.events[len(a.events)-1].id)})
				}
			})
		}
		playing.Wait()
	}
	s.add("after the clients that moved: %d tokens", used.sum())
	for n, refused := 0, 0; n < rounds && refused < 5; n++ {
		var playing sync.WaitGroup
		served := make([]bool, callers)
		for i := range callers {
			playing.Go(func() {
				_, a := play(f.routers[i%2], fmt.Sprintf("%08x", streams+callers*n+i), 0, nil)
				served[i] = a.status == 200
			})
		}
		playing.Wait()
		refused++
		if slices.Contains(served, true) {
			refused = 0
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.add("the tenant got %d tokens of %d", used.sum(), movesPrepaid)
	if used.sum() > movesPrepaid {
		return broken
	}
	return held
}
