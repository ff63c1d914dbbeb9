package jvcaller

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// Load generates jobs at a constant rate.
type Load struct {
	Caller *Caller
	// Rate is in jobs per second. Duration is the time during which new jobs start.
	Rate     float64
	Duration time.Duration
	// Mix holds the weight of each kind.
	Mix map[Kind]float64
	// Profiles maps each model kind to its profile; Service is the pool of the other kinds.
	Profiles  map[Kind]string
	Service   string
	MaxTokens int64
	// SlowShare is the share of jobs, 0 to 1, whose caller pauses for SlowPause after each event.
	SlowShare float64
	SlowPause time.Duration
	Seed      uint64
	// KeyPrefix makes the keys different from those of other loads.
	KeyPrefix string
}

// Run sends jobs at the rate, adds their results to a summary, and returns when all jobs are
// done. The load is open-loop: a job starts on time even if earlier ones still run.
func (l *Load) Run(ctx context.Context, into *Summary) {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed+1))
	var running sync.WaitGroup
	started := time.Now()
	for n := 0; ; n++ {
		due := time.Duration(float64(n) / l.Rate * float64(time.Second))
		if due >= l.Duration || ctx.Err() != nil {
			break
		}
		sleep(ctx, due-time.Since(started))
		j := l.newJob(random, n)
		running.Add(1)
		go func() {
			defer running.Done()
			into.Add(l.Caller.Run(ctx, j))
		}()
	}
	running.Wait()
}

func (l *Load) newJob(random *rand.Rand, n int) Job {
	kind := l.pickKind(random)
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

// pickKind draws a kind by the weights of the mix.
func (l *Load) pickKind(random *rand.Rand) Kind {
	total := 0.0
	kinds := []Kind{KindDraft, KindQuick, KindChat, KindLookup, KindBooking, KindCharge}
	for _, k := range kinds {
		total += l.Mix[k]
	}
	position := random.Float64() * total
	for _, k := range kinds {
		if position -= l.Mix[k]; position < 0 && l.Mix[k] > 0 {
			return k
		}
	}
	return KindQuick
}
