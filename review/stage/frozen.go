package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playFrozen: all servers of a service have one version. One router stands still, and a release to a second version begins a
// second later. The clients of the streams that the router carried give them up after two seconds without an event, and take
// them up at other routers.
func playFrozen(p *play) int {
	const (
		perSecond    = 24
		events       = 60
		gap          = 150 * time.Millisecond // Between two events; targetGapMs is 200.
		calm         = 12 * time.Second
		frozenTime   = 4 * time.Second
		untilRelease = time.Second
		replaced     = 3 // Of 15 engines, one each replaceGap: the new one starts first.
		replaceGap   = time.Second
		drainTime    = 2200 * time.Millisecond
		after        = 8 * time.Second
		deadline     = 20 * time.Second
		enough       = 12 // Streams that are taken up, from which on the rule counts.
	)
	p.engines = 15
	if err := p.build(6, 134, configuration(7, 900_000_000, []string{"duckkey"}, 20000), gap); err != nil {
		p.note("not run: %v", err)
		return resultNotRun
	}
	p.note("6 routers are ready; %d engines have the version v1", p.engines)
	b := newBalancer(p.routers, p.stopAll)
	frozen := p.routers[0]
	// retryAt returns another router for a client that has given up a stream at one.
	retryAt := func(left *router, n int) *router {
		for {
			if r := b.pick(zones[n%3]); r != left && r != frozen {
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
				if r != frozen { // New streams at machines in touch.
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
	var thaw sync.WaitGroup
	if p.trouble {
		p.note("%s stands still", frozen.name)
		_ = frozen.command.Process.Signal(syscall.SIGSTOP)
		thaw.Go(func() {
			time.Sleep(frozenTime)
			_ = frozen.command.Process.Signal(syscall.SIGCONT)
			p.note("%s runs on", frozen.name)
		})
	}
	time.Sleep(untilRelease)
	for n := range replaced {
		t, err := newTarget(fmt.Sprintf("i-next%d", n), "llm", zones[n%3], fmt.Sprintf("%s%d:0", p.net, 130+n), true, 64, gap, p.record)
		if err != nil {
			p.note("not run: %v", err)
			return resultNotRun
		}
		t.version = "v2"
		go t.beat(p.store, p.stopAll)
		p.note("release: an engine of the version v2 starts")
		old := p.targets[n]
		old.drain(p.store)
		time.AfterFunc(drainTime, func() { old.exit(p.store) })
		time.Sleep(replaceGap)
	}
	time.Sleep(after)
	thaw.Wait()
	close(stopLoad)
	load.Wait()
	p.note("%d of %d new streams began at machines that were not frozen; %d streams were taken up there, and %d of them went on; others got %v", begun, tried, resumed, went, refusals)
	switch {
	case resumed >= enough && 2*went*tried < begun*resumed:
		p.note("LOST is broken: the share of streams that go on is under half of the share of new streams that begin")
		return resultBroken
	case p.trouble && resumed < enough, begun == 0:
		return resultNotRun
	}
	return resultHeld
}
