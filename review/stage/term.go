package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// session is a client with a kept connection.
type session struct {
	client *http.Client
	router *router
}

// newSession returns a client of a router that keeps one connection.
func newSession(r *router) *session {
	dialer := net.Dialer{Timeout: time.Second}
	return &session{router: r, client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DialContext: dialer.DialContext}}}
}

// ask sends one streaming request on the kept connection and reads its answer. goesOn is false if the connection is closed
// after it.
func (p *play) ask(s *session, key string, prompt, most, events int, deadline time.Duration) (a answer, goesOn bool) {
	a.id = fmt.Sprintf("%016x", p.sent.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.router.front+"/draft/x", strings.NewReader(fmt.Sprintf("events=%d", events)))
	if err != nil {
		return a, false
	}
	request.Host = "h.example"
	h := request.Header
	h.Set("X-Request-Id", a.id)
	h.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	h.Set("Authorization", "Bearer "+key)
	h.Set("X-Model", "m")
	h.Set("X-Token-Usage", fmt.Sprintf("%d,%d", prompt, most))
	h.Set("X-Prefix-Hash", fmt.Sprintf("%s:%d", a.id[8:], prompt))
	p.record("sent id=%s router=%s events=%d", a.id, s.router.name, events)
	response, err := s.client.Do(request)
	if err != nil {
		p.record("answer id=%s none: %v", a.id, err)
		a.err = err
		return a, false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	a.status, a.signed, a.whole, a.err = response.StatusCode, response.Header.Get("X-Server-Signature") != "", err == nil, err
	for _, line := range strings.Split(string(data[:bytes.LastIndex(data, []byte("\n\n"))+1]), "\n") {
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			a.last = text
		}
	}
	p.record("answer id=%s status=%d signed=%v whole=%v last=%s error=%v", a.id, a.status, a.signed, a.whole, a.last, err)
	return a, err == nil && !response.Close
}

// playTerm: clients with kept connections ask some short questions and then for a long answer. One router gets SIGTERM.
func playTerm(p *play) int {
	const (
		sessions    = 120
		questions   = 3 // With short answers, before the long one.
		prompt      = 500
		most        = 1000 // Output tokens, which all requests allow.
		short, long = 8, 110
		gap         = 50 * time.Millisecond // Between two events; targetGapMs is 200.
		deadline    = 15 * time.Second
		pause       = 3200 * time.Millisecond // Of a client after an answer, and up to pauseSpread more.
		pauseSpread = 1200 * time.Millisecond
		excused     = 3 * time.Second // A request that is sent sooner after the SIGTERM may be cut.
		grace       = 8 * time.Second
	)
	p.engines = 18
	if err := p.build(6, 134, configuration(7, 900_000_000, []string{"duckkey"}, 15000), gap); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	p.note("6 routers are ready")
	b := newBalancer(p.routers, p.stopAll)
	stopped := p.routers[0]
	var mu sync.Mutex
	var stoppedAt time.Time
	whole, lost, broken, refused := 0, 0, 0, 0
	var asking, asked sync.WaitGroup
	for n := range sessions {
		asking.Add(1)
		asked.Go(func() {
			time.Sleep(time.Duration(rand.Int64N(int64(500 * time.Millisecond))))
			s := newSession(b.pick(zones[n%3]))
			for question := range questions + 1 {
				events := short
				if question == questions {
					events = long
				}
				var a answer
				goesOn := true
				for try := range 2 { // The sheet's one retry.
					sentAt := time.Now()
					a, goesOn = p.ask(s, "duckkey", prompt, most, events, deadline)
					endedAt := time.Now()
					mu.Lock()
					planned := s.router == stopped && !stoppedAt.IsZero() && sentAt.Sub(stoppedAt) > excused && endedAt.Before(stoppedAt.Add(grace+time.Second))
					switch {
					case a.signed && a.whole && a.last == strconv.Itoa(events):
						whole++
					case a.signed:
						broken++
						if planned && endedAt.Sub(sentAt) < deadline*7/10 {
							lost++
							p.record("id=%s was sent %s after the SIGTERM and passed on, and its connection ends after event %s without a complete answer, %s after the SIGTERM", a.id, sentAt.Sub(stoppedAt).Round(time.Millisecond), a.last, endedAt.Sub(stoppedAt).Round(time.Millisecond))
						}
					default:
						refused++
					}
					mu.Unlock()
					if !goesOn {
						s.client.CloseIdleConnections()
						s = newSession(b.pick(zones[(n+try)%3]))
					}
					if a.signed {
						break
					}
				}
				if question == questions-1 {
					asking.Done()
				}
				if question < questions {
					time.Sleep(pause + time.Duration(rand.Int64N(int64(pauseSpread))))
				}
			}
		})
	}
	asking.Wait()
	if p.trouble {
		p.note("SIGTERM to %s", stopped.name)
		mu.Lock()
		stoppedAt = time.Now()
		mu.Unlock()
		stopped.stop()
	}
	asked.Wait()
	p.note("%d answers whole, %d not, of which %d count: sent to %s more than %s after its SIGTERM, passed on, and cut; %d not answered by a server", whole, broken, lost, stopped.name, excused, refused)
	switch {
	case lost > 0:
		p.note("LOST is broken: %d requests around a planned stop end without a complete answer", lost)
		return resultBroken
	case whole < sessions:
		return resultNotRun
	}
	return resultHeld
}
