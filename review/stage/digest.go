package main

import (
	"crypto/sha256"
	"fmt"
	"sync"
	"time"
)

// playDigest: all servers have one version, which is named by the digest of their software's image. One router is killed, and
// the clients take up the streams that it carried.
func playDigest(p *play) int {
	return p.playResumed(fmt.Sprintf("sha256:%x", sha256.Sum256([]byte("the servers' image"))))
}

// playTag is playDigest with a short version.
func playTag(p *play) int { return p.playResumed("v1") }

// playResumed kills a router before engines of one version, and lets the clients take up its streams.
func (p *play) playResumed(version string) int {
	const (
		perSecond = 24
		events    = 50
		gap       = 150 * time.Millisecond // Between two events; targetGapMs is 200.
		calm      = 12 * time.Second
		downTime  = 3500 * time.Millisecond
		after     = 10 * time.Second
		deadline  = 15 * time.Second
		enough    = 12 // Streams that are taken up, from which on the rule counts.
	)
	p.engines = 18
	p.versions = func(int) string { return version }
	if err := p.build(6, 134, configuration(7, 900_000_000, []string{"duckkey"}, 15000), gap); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	p.note("6 routers are ready; 18 engines have the version %q", version)
	b := newBalancer(p.routers, p.stopAll)
	killed := p.routers[0]
	// retryAt returns another router for a client whose connection to one broke.
	retryAt := func(broken *router, n int) *router {
		for {
			if r := b.pick(zones[n%3]); r != broken && r != killed {
				return r
			}
			n++
		}
	}
	var mu sync.Mutex
	begun, tried, resumed, went := 0, 0, 0, 0
	refusals := map[string]int{}
	stopLoad := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stopLoad:
				return
			case <-time.After(time.Second / perSecond):
			}
			load.Go(func() {
				usage := fmt.Sprintf("%d,%d", 500, events*stride)
				startedAt := time.Now()
				r := b.pick(zones[n%3])
				a := p.send(r, "POST", "/draft/x", "duckkey", usage, deadline)
				mu.Lock()
				if r != killed { // New streams at machines in touch.
					tried++
					if a.last != "" {
						begun++
					}
				}
				mu.Unlock()
				if a.whole || a.last == "" {
					return
				}
				again := p.sendWith(retryAt(r, n), "POST", "/draft/x", "duckkey", usage, "", deadline-time.Since(startedAt), "Last-Event-Id", a.last, "Resumes", a.id)
				mu.Lock()
				defer mu.Unlock()
				resumed++
				if again.last != "" {
					went++
				} else {
					refusals[fmt.Sprint(again.status)]++
				}
			})
		}
	})
	time.Sleep(calm)
	if p.trouble {
		p.note("SIGKILL to %s", killed.name)
		_ = killed.command.Process.Kill()
		<-killed.exited
		time.Sleep(downTime)
		if err := killed.run(false, p.store.address()); err != nil {
			p.note("not run: %v", err)
			return resultNotRun
		}
	} else {
		time.Sleep(downTime)
	}
	time.Sleep(after)
	close(stopLoad)
	load.Wait()
	p.note("%d of %d new streams began at machines that were not killed; %d streams were taken up there, and %d of them went on; others got %v", begun, tried, resumed, went, refusals)
	switch {
	case resumed >= enough && 2*went*tried < begun*resumed:
		p.note("LOST is broken: the share of streams that go on is under half of the share of new streams that begin")
		return resultBroken
	case p.trouble && resumed < enough, begun == 0:
		return resultNotRun
	}
	return resultHeld
}
