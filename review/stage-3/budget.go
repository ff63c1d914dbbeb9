package main

import (
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// prepaid is the tenant's budget in tokens, prompt and output are the size of each of its requests.
	prepaid = 1800000
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

// useFor sends a number of requests a second, to each router in turn, for a time or until the tenant got a number of tokens.
func useFor(rate int, limit time.Duration, tokens int64) {
	var wg sync.WaitGroup
	pause := time.Second / time.Duration(rate)
	for n, end := 0, time.Now().Add(limit); time.Now().Before(end) && usage.Load() < tokens; n++ {
		wg.Go(func() { use(routers[n%len(routers)]) })
		time.Sleep(pause)
	}
	wg.Wait()
}

// usual is the number of requests that the tenant sends in a second, hot that of a hot tenant: 7 times as many, where the
// site file has 7.5 times for 6.5 s at most.
const (
	usual = 6
	hot   = 7 * usual
)

// drill: all routers end at the same time, and the store comes back from a copy some seconds old.
func drill() {
	kills, sets := trouble && os.Getenv("ONLY") != "drill", trouble && os.Getenv("ONLY") != "kill"
	s := newStore()
	for _, id := range []string{"i-e1", "i-e2", "i-e3"} {
		newServer(s, id, "engines", "v1", true).gap = 2 * time.Millisecond
	}
	deploy(s, 6, prepaid)
	time.Sleep(3 * time.Second)
	useFor(usual, 20*time.Second, prepaid)
	earlier := s.copy()
	note("the store is copied; used so far: %d of %d", usage.Load(), prepaid)
	useFor(hot, 5*time.Second, prepaid*95/100)
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
	useFor(usual, 40*time.Second, prepaid*5/4)
	note("used: %d of %d", usage.Load(), prepaid)
	if u := usage.Load(); u > prepaid {
		broken("the tenant got %d tokens, and its prepaid is %d", u, prepaid)
	}
	held("the tenant got %d tokens, and its prepaid is %d", usage.Load(), prepaid)
}
