package jvcaller

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// Load is a stream of jobs at a rate.
type Load struct {
	Caller *Caller
	// Rate is in jobs a second.
	Rate     float64
	Duration time.Duration
	// Mix weighs the kinds.
	Mix map[Kind]float64
	// Profiles maps the model kinds to profiles, Service is the pool of the others.
	Profiles  map[Kind]string
	Service   string
	MaxTokens int64
	// SlowShare is the share of callers whose line takes SlowPause for each event.
	SlowShare float64
	SlowPause time.Duration
	Seed      uint64
	// KeyPrefix makes keys different from those of other loads.
	KeyPrefix string
}

// Run sends jobs at the rate and returns when all have their answers. Jobs start at their
// time whether or not earlier ones are done.
func (l *Load) Run(ctx context.Context, into *Summary) {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed+1))
	var running sync.WaitGroup
	started := time.Now()
	for n := 0; ; n++ {
		due := time.Duration(float64(n) / l.Rate * float64(time.Second))
		if due >= l.Duration || ctx.Err() != nil {
			break
		}
		wait(ctx, due-time.Since(started))
		j := l.job(random, n)
		running.Add(1)
		go func() {
			defer running.Done()
			into.Add(l.Caller.Run(ctx, j))
		}()
	}
	running.Wait()
}

func (l *Load) job(random *rand.Rand, n int) Job {
	kind := l.pick(random)
	j := Job{Kind: kind, Number: n, MaxTokens: l.MaxTokens, FirstRouter: random.IntN(len(l.Caller.Routers))}
	j.Key = l.KeyPrefix + string(kind) + "-" + strconv.Itoa(n)
	if random.Float64() < l.SlowShare {
		j.ReadDelay = l.SlowPause
	}
	switch kind {
	case KindDraft:
		j.PromptBytes = 4000 + random.IntN(8000)
	case KindQuick:
		j.PromptBytes = 200
	case KindChat:
		j.PromptBytes = 600
	}
	j.Profile = l.Profiles[kind]
	if j.Profile == "" {
		j.Service = l.Service
	}
	return j
}

func (l *Load) pick(random *rand.Rand) Kind {
	sum := 0.0
	kinds := []Kind{KindDraft, KindQuick, KindChat, KindLookup, KindBooking, KindCharge}
	for _, k := range kinds {
		sum += l.Mix[k]
	}
	at := random.Float64() * sum
	for _, k := range kinds {
		if at -= l.Mix[k]; at < 0 && l.Mix[k] > 0 {
			return k
		}
	}
	return KindQuick
}
