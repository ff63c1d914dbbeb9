package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// slowBody is a body that a client sends at the rate of its link.
type slowBody struct {
	left  int
	rate  int // Bytes a second.
	begun time.Time
	sent  int
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.begun.IsZero() {
		b.begun = time.Now()
	}
	if b.left == 0 {
		return 0, io.EOF
	}
	const most = 64 << 10
	n := min(len(p), b.left, most)
	time.Sleep(time.Until(b.begun.Add(time.Duration(b.sent+n) * time.Second / time.Duration(b.rate))))
	clear(p[:n])
	b.left -= n
	b.sent += n
	return n, nil
}

// playBodies: clients send bodies that are as long as the configuration allows, at a steady rate. A process whose memory
// exceeds that of its machine is killed, and starts again, as the platform does it. Without the trouble the bodies are
// short.
func playBodies(p *play) int {
	const (
		memoryMb  = 134
		longBody  = 4_000_000 // maxBodyBytes is 4,194,304.
		shortBody = 40_000
		uplink    = 625_000 // Bytes a second of each client: 5 Mbit/s.
		perSecond = 48      // To six machines, as deposit-book in the sheet.
		deadline  = 15 * time.Second
		playTime  = 60 * time.Second
		restart   = 500 * time.Millisecond
		machines  = 2 // A tenth of six, two at least.
		ends      = 3
		sample    = 20 * time.Millisecond
	)
	size := shortBody
	if p.trouble {
		size = longBody
	}
	if err := p.build(6, memoryMb, configuration(7, 900_000_000, []string{"duckkey"}, 15000), 5*time.Millisecond); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	p.note("6 routers are ready")
	b := newBalancer(p.routers, p.stopAll)
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	statuses, open := map[string]int{}, map[*router]int{}
	counts := map[*router]int{}
	peaks := map[*router]int{}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for _, r := range p.routers {
		running.Go(func() { // The platform.
			for {
				select {
				case <-stop:
					return
				case <-time.After(sample):
				}
				kb := r.residentKb()
				mu.Lock()
				peaks[r] = max(peaks[r], kb)
				inProgress := open[r]
				mu.Unlock()
				if kb <= memoryMb<<10 {
					select {
					case <-r.exited:
						p.note("%s ended by itself: %s", r.name, r.logTail())
					default:
						continue
					}
				} else {
					p.note("%s has %d MB, its machine %d; it is killed with %d requests in progress", r.name, kb>>10, memoryMb, inProgress)
					_ = r.command.Process.Kill()
					<-r.exited
				}
				mu.Lock()
				counts[r]++
				mu.Unlock()
				time.Sleep(restart)
				if err := r.run(false, p.store.address()); err != nil {
					p.note("%s does not start: %v", r.name, err)
					return
				}
			}
		})
	}
	running.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / perSecond):
			}
			r := b.pick(zones[n%len(zones)])
			running.Go(func() {
				mu.Lock()
				open[r]++
				mu.Unlock()
				status := p.upload(r, size, uplink, deadline)
				mu.Lock()
				open[r]--
				statuses[status]++
				mu.Unlock()
			})
		}
	})
	broken := func() bool {
		mu.Lock()
		defer mu.Unlock()
		n := 0
		for _, c := range counts {
			if c >= ends {
				n++
			}
		}
		return n >= machines
	}
	for end := time.Now().Add(playTime); time.Now().Before(end) && !broken(); time.Sleep(100 * time.Millisecond) {
	}
	result := broken()
	close(stop)
	running.Wait()
	for _, r := range p.routers {
		p.note("%s: ended %d times, %d MB at most", r.name, counts[r], peaks[r]>>10)
	}
	p.note("answers by status %v", statuses)
	switch {
	case result:
		p.note("Fault: on %d machines or more the process has ended %d times by its memory, with no disruption", machines, ends)
		return resultBroken
	case statuses["200"] == 0:
		p.note("not run: nothing was served")
		return resultNotRun
	}
	return resultHeld
}

// upload sends a booking with a body, and returns the status of its answer.
func (p *play) upload(r *router, size, rate int, deadline time.Duration) string {
	id := fmt.Sprintf("%016x", p.sent.Add(1))
	request, err := http.NewRequest("POST", "http://"+r.front+"/book/x", &slowBody{left: size, rate: rate})
	if err != nil {
		return "none"
	}
	request.ContentLength = int64(size)
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer duckkey")
	p.record("sent id=%s router=%s bytes=%d", id, r.name, size)
	c := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Do(request)
	if err != nil {
		p.record("answer id=%s none: %v", id, err)
		return "none"
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	p.record("answer id=%s status=%d whole=%v %s", id, response.StatusCode, err == nil, data[:min(len(data), 120)])
	return strconv.Itoa(response.StatusCode)
}
