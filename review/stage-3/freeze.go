package main

import (
	"sync"
	"syscall"
	"time"
)

// freeze: a router stands still while a server crashes and starts again, in the middle of streams without a length.
func freeze() {
	const clients, output = 32, 200
	s := newStore()
	first := newServer(s, "i-e1", "engines", "v1", true)
	servers := []*server{first}
	for _, id := range []string{"i-e2", "i-e3", "i-e4"} {
		servers = append(servers, newServer(s, id, "engines", "v1", true))
	}
	for _, v := range servers {
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
		check(r.command.Process.Signal(syscall.SIGSTOP))
		note("router %s stands still", r.name)
	}
	time.Sleep(300 * time.Millisecond)
	first.stop()
	time.Sleep(1200 * time.Millisecond)
	first.start("v1")
	time.Sleep(700 * time.Millisecond)
	if trouble {
		check(r.command.Process.Signal(syscall.SIGCONT))
		note("router %s goes on", r.name)
	}
	wg.Wait()
	if short > 0 {
		broken("%d streams of %d look complete and lack events; %d were whole, %d broken off", short, clients, whole, brokenOff)
	}
	held("%d streams of %d look complete and lack events; %d were whole, %d broken off", short, clients, whole, brokenOff)
}
