package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// need is what an engine says in Server-Limit, and which routers have passed that on.
type need struct {
	limit float64 // 0 if it names none.
	since time.Time
	// passedOn is when each router first passed on an answer that names the limit.
	passedOn map[string]time.Time
	// counted are the arrivals that the rule counts.
	counted []time.Time
}

// needs are those of all engines. It is safe for concurrent use.
type needs struct {
	mu       sync.Mutex
	engines  map[string]*need
	routerOf map[string]string // By request.
}

// set changes what an engine says.
func (s *needs) set(p *play, t *target, limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[t.id] = &need{limit: limit, since: time.Now(), passedOn: map[string]time.Time{}}
	text := ""
	if limit > 0 {
		text = strconv.FormatFloat(limit, 'f', -1, 64)
	}
	t.mu.Lock()
	t.needs = text
	t.mu.Unlock()
	p.record("%s names the limit %q", t.id, text)
}

// arrive counts a request at an engine, if the engine has named its limit for long enough, and so has the router passed it on.
func (s *needs) arrive(engine, request string) {
	const (
		stable = 3 * time.Second        // stableWindowMs
		passed = 500 * time.Millisecond // From the first answer that the router has passed on.
	)
	s.mu.Lock()
	defer s.mu.Unlock()
	n, now := s.engines[engine], time.Now()
	if n == nil || n.limit == 0 {
		return
	}
	at, ok := n.passedOn[s.routerOf[request]]
	if ok && now.Sub(at) >= passed && now.Sub(n.since) >= stable {
		n.counted = append(n.counted, now)
	}
}

// worst returns the most requests that an engine got in a window, and when that ended.
func (n *need) worst(window time.Duration) (most int, end time.Time) {
	first := 0
	for i, at := range n.counted {
		for at.Sub(n.counted[first]) > window {
			first++
		}
		if i-first+1 > most {
			most, end = i-first+1, at
		}
	}
	return most, end
}

// ask sends a streaming request on a kept connection, and notes what its answer says.
func (s *needs) ask(p *play, r *router, client *http.Client, usage string, deadline time.Duration) (status string) {
	id := fmt.Sprintf("%016x", p.sent.Add(1))
	request, err := http.NewRequest("POST", "http://"+r.front+"/draft/x", strings.NewReader("x"))
	if err != nil {
		return "none"
	}
	request.Host = "h.example"
	h := request.Header
	h.Set("X-Request-Id", id)
	h.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	h.Set("Authorization", "Bearer duckkey")
	h.Set("X-Model", "m")
	h.Set("X-Token-Usage", usage)
	prompt, _, _ := strings.Cut(usage, ",")
	h.Set("X-Prefix-Hash", id[8:]+":"+prompt)
	s.mu.Lock()
	s.routerOf[id] = r.name
	s.mu.Unlock()
	p.record("sent id=%s router=%s", id, r.name)
	response, err := client.Do(request)
	if err != nil {
		p.record("answer id=%s none: %v", id, err)
		return "none"
	}
	defer func() { _ = response.Body.Close() }()
	says, engine := response.Header.Get("Server-Limit"), ""
	if parts := strings.Split(response.Header.Get("X-Server-Signature"), "."); len(parts) == 3 {
		engine = parts[1]
	}
	_, err = readPatiently(response.Body, func() {})
	p.record("answer id=%s status=%d server=%s limit=%s whole=%v", id, response.StatusCode, engine, says, err == nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.engines[engine]; n != nil && n.limit > 0 && says != "" && n.passedOn[r.name].IsZero() {
		n.passedOn[r.name] = time.Now()
	}
	return strconv.Itoa(response.StatusCode)
}

// playLate: all engines are in need and name a limit. While answers of the store are lost, and what they answer is done late,
// one engine after the other is well for a moment, and then in need again.
func playLate(p *play) int {
	const (
		limit     = 9.0 // Requests a second, of each engine.
		perSecond = 190 // Streams, as in the sheet.
		usage     = "100,50"
		gap       = 20 * time.Millisecond
		deadline  = 15 * time.Second
		calm      = 6 * time.Second
		before    = 8 * time.Second // From the first limits on.
		rounds    = 4
		share     = 0.35
		begin     = 500 * time.Millisecond // From the begin of the store's trouble to the first engine that is well.
		between   = 200 * time.Millisecond // Two engines.
		well      = 500 * time.Millisecond
		end       = 400 * time.Millisecond // From the last engine on: the trouble lasts for 4.5 s.
		after     = 9 * time.Second
		window    = 4 * time.Second
		most      = 1.5*limit*4 + 5
	)
	p.engines = 18
	if err := p.build(6, 134, configuration(7, 900_000_000, []string{"duckkey"}, 15000), gap); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	p.note("6 routers are ready")
	s := &needs{engines: map[string]*need{}, routerOf: map[string]string{}}
	engines := p.targets[:p.engines]
	for _, t := range engines {
		t.most = t.slots
		t.arrived = func(id string) { s.arrive(t.id, id) }
	}
	p.store.doneLate = func(topic string, list []record, delay time.Duration) {
		for _, r := range list {
			if topic == "keyed.limits" {
				p.record("the store does %s late, %.1f s after it was sent, a record of %d bytes", r.key, delay.Seconds(), len(r.value))
			}
		}
	}
	b := newBalancer(p.routers, p.stopAll)
	var mu sync.Mutex
	statuses := map[string]int{}
	clients := map[*router]*http.Client{}
	for _, r := range p.routers {
		dialer := net.Dialer{Timeout: time.Second}
		clients[r] = &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: perSecond, DialContext: dialer.DialContext}}
	}
	stopLoad := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		next := time.Now()
		for n := 0; ; n++ {
			next = next.Add(time.Second / perSecond)
			select {
			case <-stopLoad:
				return
			case <-time.After(time.Until(next)):
			}
			load.Go(func() {
				r := b.pick(zones[n%3])
				status := s.ask(p, r, clients[r], usage, deadline)
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
	})
	time.Sleep(calm)
	for _, t := range engines {
		s.set(p, t, limit)
	}
	p.note("%d engines name the limit %g", len(engines), limit)
	time.Sleep(before)
	broken := 0
	for round := 1; round <= rounds && broken == 0; round++ {
		if p.trouble {
			p.store.loseAnswers(share)
		}
		p.note("round %d: %.2f of the store's writes are done late for 4.5 s: %v", round, share, p.trouble)
		time.Sleep(begin)
		var flickering sync.WaitGroup
		for _, t := range engines {
			flickering.Go(func() {
				s.set(p, t, 0)
				time.Sleep(well)
				s.set(p, t, limit)
			})
			time.Sleep(between)
		}
		time.Sleep(end)
		p.store.loseAnswers(0)
		time.Sleep(after)
		flickering.Wait()
		s.mu.Lock()
		highest := 0
		for _, t := range engines {
			n, at := s.engines[t.id].worst(window)
			highest = max(highest, n)
			if n > most {
				broken++
				p.note("%s got %d requests in %s, up to %s after it named its limit of %g a second", t.id, n, window, at.Sub(s.engines[t.id].since).Round(time.Millisecond), limit)
			}
		}
		s.mu.Unlock()
		p.note("round %d: an engine got %d requests in %s at most, %g are allowed", round, highest, window, most)
	}
	close(stopLoad)
	load.Wait()
	p.note("answers by status %v", statuses)
	switch {
	case broken > 0:
		p.note("LIMIT is broken: %d engines got more requests than their limit allows", broken)
		return resultBroken
	case statuses["200"] == 0:
		return resultNotRun
	}
	return resultHeld
}
