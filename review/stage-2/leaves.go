package main

import (
	"fmt"
	"sync"
	"time"
)

const lookupConfiguration = `{"version":7,"routes":[
 {"name":"r-fi6y7z5","host":"ficu95.example","pathPrefix":"/cufi504/","kind":"safe","timeoutMs":1000,"targetLatencyMs":100,"priority":2,"service":"wuno96b","maxAttempts":2,"anonymous":false,"stickySessions":false,"streamResume":false}],
 "services":[{"name":"wuno96b","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`

const (
	drainTime = 2 * time.Second
	// leavesRouters is the number of machines, leavesClients that of the clients of one, leavesEvery a client's pause.
	leavesRouters = 6
	leavesClients = 5
	leavesEvery   = 40 * time.Millisecond
)

// playLeaves: a server that has started again some seconds ago leaves, and says so in all its answers. The store comes back
// from a copy that has the entry of the server's earlier process.
func playLeaves(s *stage) verdict {
	const outage, away = 2000 * time.Millisecond, 300 * time.Millisecond
	store := newStore()
	store.put("keyed.op", "config", []byte(lookupConfiguration))
	var servers []*server
	for n := range 4 {
		servers = append(servers, s.newServer(store, "wuno96b", serverSettings{ID: fmt.Sprintf("i-02d9e6b%d", n), Version: "v1", ReadTime: 80 * time.Millisecond}))
	}
	f := newFleet(s.dir, store)
	defer f.close()
	for n := range leavesRouters {
		f.add("scot-central-" + string(rune('a'+n%3)))
	}
	if !f.waitReady(readyTime) {
		return unplayed
	}
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	late := 0
	saidAt := map[*router]time.Time{}
	stop := make(chan struct{})
	var playing sync.WaitGroup
	for n := range leavesRouters * leavesClients {
		r := f.routers[n%leavesRouters]
		playing.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(leavesEvery):
				}
				q := request{id: newID(), method: "GET", path: "/cufi504/fi50/2f", deadline: time.Second}
				sentAt := time.Now()
				a := send(f.address(r), q, nil)
				leaving := a.header.Get("Server-Leaving") != ""
				mu.Lock()
				said, known := saidAt[r]
				if known && leaving && sentAt.Sub(said) > drainTime {
					late++
				}
				if !known && leaving {
					saidAt[r] = time.Now()
				}
				mu.Unlock()
				s.add("attempt %s at %s: status %d, leaving=%t, %s %s", q.id, r.name, a.status, leaving, a.body, a.err)
			}
		})
	}
	time.Sleep(2 * time.Second)
	copied := store.copy()
	s.add("a copy of the store is made")
	time.Sleep(200 * time.Millisecond)
	servers[0].crash()
	time.Sleep(outage)
	servers[0].start()
	servers[0].set("ready")
	time.Sleep(500 * time.Millisecond)
	servers[0].leave()
	time.Sleep(400 * time.Millisecond)
	servers[0].set("draining")
	time.Sleep(1600 * time.Millisecond)
	if s.trouble {
		s.add("the store goes away")
		store.leave()
		time.Sleep(away)
		store.comeBack(copied)
		store.put("keyed.op", "config", []byte(lookupConfiguration))
		s.add("the store is back from the copy; the servers write their entries again with their next heartbeat")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	playing.Wait()
	s.add("%d requests reached the server more than %s after their machine had passed on that it leaves", late, drainTime)
	if late > 0 {
		return broken
	}
	return held
}

// leave makes the server say in all its answers that it leaves.
func (m *server) leave() {
	must(m.command.Process.Signal(sigLeave))
	m.s.add("server %s says in its answers that it leaves", m.ID)
}
