package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playInPlace: while the store is down, a server starts again under its ID with another version of its software. Streams
// that begin there then break off, as the server goes down once more.
func playInPlace(s *stage) verdict {
	const events, streams, storeDown, down = 50, 24, 6500 * time.Millisecond, 2 * time.Second
	store := newStore()
	store.put("keyed.op", "config", []byte(streamConfiguration))
	settings := serverSettings{Version: "v1", Events: events, Gap: 100 * time.Millisecond}
	var servers []*server
	for n := range 4 {
		settings.ID = fmt.Sprintf("i-7f3a91c%d", n)
		servers = append(servers, s.newServer(store, "huvo11a", settings))
	}
	f := newFleet(s.dir, store)
	defer f.close()
	f.add("scot-central-a")
	f.add("scot-central-b")
	if !f.waitReady(readyTime) {
		return unplayed
	}
	time.Sleep(2 * time.Second)
	answers := make([]answer, streams)
	play := func(pause time.Duration, last int) {
		var playing sync.WaitGroup
		for n := range streams {
			playing.Go(func() {
				time.Sleep(time.Duration(n) * pause)
				q := request{
					id: newID(), method: "POST", path: "/lohu930/2f", body: "prompt", deadline: 15 * time.Second,
					header: map[string]string{"X-Model": "m", "X-Token-Usage": "543,300", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:103,%08x:440", n)},
				}
				if last > 0 {
					q.header["Last-Event-Id"] = fmt.Sprint(last)
				}
				r := f.routers[n%2]
				s.add("attempt %s sent to %s", q.id, r.name)
				answers[n] = send(f.address(r), q, nil)
				s.add("attempt %s got status %d, %d events, %s, complete=%t %s", q.id, answers[n].status, len(answers[n].events), versions(answers[n]), answers[n].whole, answers[n].err)
			})
		}
		playing.Wait()
	}
	play(0, 0)
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.setStoreDown(store, true)
		time.AfterFunc(storeDown, func() { s.setStoreDown(store, false) })
		time.Sleep(300 * time.Millisecond)
		servers[0].crash()
		servers[0].Version = "v2"
		time.Sleep(down)
		servers[0].start()
		servers[0].set("ready")
		time.AfterFunc(2200*time.Millisecond, func() {
			servers[0].crash()
			time.Sleep(down)
			servers[0].start()
			servers[0].set("ready")
		})
	}
	time.Sleep(700 * time.Millisecond)
	play(15*time.Millisecond, 0)
	mixed := 0
	for _, a := range answers {
		if strings.Contains(versions(a), "+") {
			mixed++
		}
	}
	s.add("%d of %d streams hold events of two versions", mixed, streams)
	if mixed > 2 {
		return broken
	}
	return held
}

// versions returns the versions of the servers whose events an answer has.
func versions(a answer) string {
	var list []string
	for _, e := range a.events {
		version, _, _ := strings.Cut(e.data, " ")
		if len(list) == 0 || list[len(list)-1] != version {
			list = append(list, version)
		}
	}
	return strings.Join(list, "+")
}

// setStoreDown makes the store refuse all calls, those of the servers too, or serve again; the servers write their entries
// then.
func (s *stage) setStoreDown(store *store, down bool) {
	s.add("the store is down: %t", down)
	if down {
		store.leave()
		return
	}
	store.comeBack(nil)
	for _, m := range s.servers {
		m.beat()
	}
}
