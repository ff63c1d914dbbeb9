package main

import (
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jasminevale/jasminevale/platform/jvstage"
)

const streamConfiguration = `{"version":7,"routes":[
 {"name":"r-2yhvz3p","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":500,"priority":0,"service":"huvo11a","maxAttempts":2,"anonymous":false,"stickySessions":true,"streamResume":true,"targetGapMs":200}],
 "services":[{"name":"huvo11a","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":372904,"stride":5}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1,"prepaid":100000000}]}`

// What a stream of the case is like: the events of siting-advice, some seconds long.
const (
	darkEvents  = 56
	darkGap     = 120 * time.Millisecond
	darkStreams = 20
	// darkTime is how long the machine is without power.
	darkTime = 3500 * time.Millisecond
	// patience is the gap after which clients abandon a stream: two seconds, four times the objective or eight times the
	// pause, whichever is longest.
	patience     = 2 * time.Second
	darkDeadline = 15 * time.Second
	darkTries    = 4
)

// stream is one stream over all tries of its client.
type stream struct {
	last    int
	resumed bool
	wentOn  bool
}

// playStream requests a stream, and takes it up at the other routers when it breaks off.
func (s *stage) playStream(f *fleet, routers []*router, name string) stream {
	var result stream
	begun := time.Now()
	origin := ""
	for try := 0; try < darkTries && time.Since(begun) < darkDeadline; try++ {
		q := request{
			id: newID(), method: "POST", path: "/lohu930/2f", body: name, deadline: darkDeadline - time.Since(begun), patience: patience,
			header: map[string]string{"X-Model": "m", "X-Token-Usage": "543,300", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:103,%s:440", name)},
		}
		if origin != "" {
			q.header["Last-Event-Id"], q.header["Resumes"] = strconv.Itoa(result.last), origin
			result.resumed = true
		}
		r := routers[min(try, len(routers)-1)]
		s.add("%s: attempt %s sent to %s, after event %d", name, q.id, r.name, result.last)
		got := 0
		a := send(f.address(r), q, func(e event) {
			got++
			result.last = e.id
			if origin == "" {
				origin = q.id
			} else if origin != q.id {
				result.wentOn = true
			}
		})
		s.add("%s: attempt %s got status %d, %d events, whole=%t %s %s", name, q.id, a.status, got, a.whole, a.err, a.body)
		if a.status == 200 && a.whole && result.last == darkEvents {
			return result
		}
		time.Sleep(a.retryAfter(darkDeadline - time.Since(begun)))
	}
	return result
}

// playDark: a router loses power just before the first server of a new version starts. Its clients take their streams up
// at the other routers.
func playDark(s *stage) verdict {
	store := jvstage.NewStore()
	defer store.Close()
	store.Put("keyed.op", "config", []byte(streamConfiguration))
	settings := serverSettings{Version: "v1", Events: darkEvents, Gap: darkGap}
	for n := range 3 {
		settings.ID = fmt.Sprintf("i-7f3a91c%d", n)
		s.newServer(store, "huvo11a", settings)
	}
	f := newFleet(s.dir, store.Address())
	defer f.close()
	for _, zone := range []string{"a", "b", "c"} {
		f.add("scot-central-" + zone)
	}
	if !f.waitReady(readyTime) {
		return unplayed
	}
	time.Sleep(5 * time.Second) // All machines are in touch.
	first, others := f.routers[0], f.routers[1:]

	var playing sync.WaitGroup
	old, fresh := make([]stream, darkStreams), make([]stream, darkStreams)
	for n := range old {
		playing.Go(func() {
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			old[n] = s.playStream(f, []*router{first, others[n%2], others[(n+1)%2]}, fmt.Sprintf("aa%02d", n))
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		s.add("%s loses power for %s", first.name, darkTime)
		first.signal(syscall.SIGSTOP) // It answers nothing, and its connections hang.
		go func() {
			time.Sleep(darkTime)
			first.kill()
			s.add("%s starts again", first.name)
			f.start(first, false)
		}()
	}
	time.Sleep(time.Second)
	s.add("a release begins: its first server starts")
	settings.ID, settings.Version = "i-9b04d7e0", "v2"
	s.newServer(store, "huvo11a", settings)
	for n := range fresh {
		playing.Go(func() {
			time.Sleep(time.Second + time.Duration(n)*50*time.Millisecond)
			fresh[n] = s.playStream(f, []*router{others[n%2]}, fmt.Sprintf("bb%02d", n))
		})
	}
	playing.Wait()
	resumed, wentOn, begun := 0, 0, 0
	for _, t := range old {
		if t.resumed {
			resumed++
		}
		if t.wentOn {
			wentOn++
		}
	}
	for _, t := range fresh {
		if t.last > 0 {
			begun++
		}
	}
	s.add("%d streams were taken up at the other routers, %d of them went on; %d of %d new streams began there", resumed, wentOn, begun, len(fresh))
	if resumed >= 12 && float64(wentOn)/float64(resumed) < 0.5*float64(begun)/float64(len(fresh)) {
		return broken
	}
	return held
}
