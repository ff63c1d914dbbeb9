package main

import (
	"sync"
	"time"
)

// spot: a server announces that it leaves, and exits a little after drainMs, while it runs streams without a length. Without
// the announcement it is gone all the same.
func spot() {
	const clients, output = 16, 300
	s := newStore()
	first := newServer(s, "i-e1", "engines", "v1", true)
	second := newServer(s, "i-e2", "engines", "v1", true)
	for _, v := range []*server{first, second} {
		v.gap, v.unframed = 100*time.Millisecond, true
	}
	r := deploy(s, 2, 10000000)[0]
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	short, whole, brokenOff := 0, 0, 0
	for range clients {
		wg.Go(func() {
			a := call(r.front, draft(100, output))
			n := len(a.events())
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == 200 && a.whole && n < output/stride:
				short++
				note("an answer that looks complete has %d events of %d", n, output/stride)
			case a.status == 200 && a.whole:
				whole++
			default:
				brokenOff++
			}
		})
	}
	time.Sleep(700 * time.Millisecond)
	if trouble {
		first.drain()
	}
	time.Sleep(2200 * time.Millisecond) // drainMs, and a little longer.
	first.stop()
	wg.Wait()
	if short > 0 {
		broken("%d streams of %d look complete and lack events; %d were whole, %d broken off", short, clients, whole, brokenOff)
	}
	held("%d streams of %d look complete and lack events; %d were whole, %d broken off", short, clients, whole, brokenOff)
}
