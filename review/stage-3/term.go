package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// term: a router that stops takes long streams of clients that have kept their connections.
func term() {
	const clients, maxTokens, short, long, chat = 12, 1500, 100, 1500, 1400
	s := newStore()
	for n := range 3 {
		newServer(s, fmt.Sprint("i-e", n+1), "engines", "v1", true)
	}
	list := deploy(s, 2, 10000000)
	r := list[0]
	time.Sleep(2 * time.Second)
	ask := func(tokens int) *request {
		q := draft(100, maxTokens)
		q.body = fmt.Sprintf("a question with an answer of %d tokens", tokens)
		return q
	}
	var asked, wg sync.WaitGroup
	var mu sync.Mutex
	whole, cut, refused, closed := 0, 0, 0, 0
	var stoppedAt time.Time
	stopped := make(chan struct{})
	for n := range clients {
		asked.Add(1)
		wg.Go(func() {
			c, err := dial(r.front)
			check(err)
			defer c.close()
			for range 4 {
				if a := c.do(ask(short)); a.status != 200 || !a.whole {
					cannotRun("a short question failed: " + a.String())
				}
				time.Sleep(300 * time.Millisecond)
			}
			asked.Done()
			<-stopped
			time.Sleep(3200*time.Millisecond + time.Duration(n)*50*time.Millisecond)
			q := ask(long)
			sentAt := time.Now()
			a := c.do(q)
			mu.Lock()
			defer mu.Unlock()
			note("%s was sent %d ms after SIGTERM; at servers: %d", q.id, sentAt.Sub(stoppedAt).Milliseconds(), len(runsOf(q.id)))
			switch {
			case a.status == 200 && a.whole:
				whole++
			case a.status == 503:
				refused++
			case !a.whole && len(runsOf(q.id)) > 0 && sentAt.Sub(stoppedAt) > 3*time.Second:
				cut++
			default:
				closed++
			}
		})
	}
	asked.Wait()
	for range 4 { // Streams of another route, which the router ends whole.
		wg.Go(func() {
			q := ask(chat)
			q.path = "/chat/x"
			call(r.front, q)
		})
	}
	time.Sleep(200 * time.Millisecond)
	stoppedAt = time.Now()
	if trouble {
		check(r.command.Process.Signal(syscall.SIGTERM))
		note("router %s gets SIGTERM", r.name)
		time.AfterFunc(8*time.Second, func() {
			if r.running() {
				r.kill()
			}
		})
	}
	close(stopped)
	wg.Wait()
	if cut > 0 {
		broken("%d streams of %d that were sent later than 3 s after SIGTERM were taken, passed on and cut; %d whole, %d refused, %d not passed on", cut, clients, whole, refused, closed)
	}
	held("%d streams of %d cut; %d whole, %d refused, %d not passed on", cut, clients, whole, refused, closed)
}
