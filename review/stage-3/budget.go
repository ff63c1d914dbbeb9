package main

import (
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// prepaid is the tenant's budget in tokens, prompt and output are the size of each of its requests.
	prepaid = 4000000
	prompt  = 4900
	output  = 100
)

// usage counts what the tenant got, by what clients have seen: the prompt of a request of which an event arrived, and the
// tokens of the events that arrived.
var usage atomic.Int64

// use sends a request and counts what it brought.
func use(r *router) result {
	a := call(r.front, draft(prompt, output))
	if n := len(a.events()); a.status == 200 && n > 0 {
		usage.Add(int64(prompt + min(output, n*stride)))
	}
	return a
}

// useAll sends requests from a client at each router, one after the other, until a time or until the tenant got a number of
// tokens, and returns the number of requests that were served.
func useAll(limit time.Duration, tokens int64) int64 {
	var wg sync.WaitGroup
	var served atomic.Int64
	end := time.Now().Add(limit)
	for _, r := range routers {
		wg.Go(func() {
			for time.Now().Before(end) && usage.Load() < tokens {
				if a := use(r); a.status == 200 {
					served.Add(1)
					continue
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return served.Load()
}

// drill: all routers end at the same time, and the store comes back from a copy some seconds old.
func drill() {
	kills, sets := trouble && os.Getenv("ONLY") != "drill", trouble && os.Getenv("ONLY") != "kill"
	s := newStore()
	for _, id := range []string{"i-e1", "i-e2", "i-e3"} {
		newServer(s, id, "engines", "v1", true).gap = 2 * time.Millisecond
	}
	deploy(s, 6, prepaid)
	time.Sleep(3 * time.Second)
	for n := range 20 * 6 { // The tenant's usual load.
		go use(routers[n%len(routers)])
		time.Sleep(time.Second / 6)
	}
	earlier := s.copy()
	note("the store is copied; used so far: %d of %d", usage.Load(), prepaid)
	useAll(5*time.Second, prepaid*9/10) // More than usual.
	note("used so far: %d of %d", usage.Load(), prepaid)
	if kills {
		for _, r := range routers {
			_ = r.command.Process.Kill()
		}
		for _, r := range routers {
			<-r.done
		}
		note("all routers killed")
	}
	if sets {
		s.setDown(true)
		time.Sleep(500 * time.Millisecond)
		s.setBack(earlier)
		s.setDown(false)
		s.put("keyed.op", "config", config(1, prepaid)) // The operator and the servers write again what they wrote.
		note("the store is back from the copy, in the next era")
	}
	if kills {
		time.Sleep(500 * time.Millisecond)
		for _, r := range routers {
			r.start()
		}
		for _, r := range routers {
			r.awaitReady(20 * time.Second)
		}
	}
	served := useAll(35*time.Second, prepaid*3/2)
	note("%d requests served after it; used: %d of %d", served, usage.Load(), prepaid)
	if u := usage.Load(); u > prepaid {
		broken("the tenant got %d tokens, and its prepaid is %d", u, prepaid)
	}
	held("the tenant got %d tokens, and its prepaid is %d", usage.Load(), prepaid)
}
