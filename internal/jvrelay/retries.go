package jvrelay

import (
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvretry"
)

// The bound on retries is summed over all routers. Each of them uses its part, by the size of the fleet,
// since a message for each retry would cost more than the retry.
const (
	// usableRetryShare is the part of the allowed share that routers use. The rest covers bursts, as a
	// router may save retries in one window and make them in the next.
	usableRetryShare = 0.75
	// savedSlackShare is the part of the slack that all routers may have saved together,
	// startSlackShare the part that they have when all of them start again in one window.
	savedSlackShare = 0.75
	startSlackShare = 0.25
	// maxStartRetries is as many retries as a router needs until it has earned its own.
	maxStartRetries = 1
	// fleetSizeHold is how long a router goes on with the largest fleet that it has seen: routers
	// without requests publish nothing and seem to be gone.
	fleetSizeHold = 30 * time.Second
)

// retryBudgets are the retry budgets of the pools.
type retryBudgets struct {
	options Options

	mu     sync.Mutex
	byPool map[string]*jvretry.Budget
	// routers is the size of the fleet, seenAt when it was last as large.
	routers int
	seenAt  time.Time
}

func newRetryBudgets(o Options) *retryBudgets {
	return &retryBudgets{options: o, byPool: map[string]*jvretry.Budget{}}
}

// budget returns the retry budget of a pool.
func (r *retryBudgets) budget(pool string) *jvretry.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.byPool[pool]
	if b == nil {
		r.updateSize()
		maxSaved, start := r.limits()
		b = jvretry.NewBudgetWith(r.options.RetryShare, maxSaved, start)
		r.byPool[pool] = b
	}
	return b
}

// resize adapts the budgets to the size of the fleet.
func (r *retryBudgets) resize() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateSize()
	maxSaved, _ := r.limits()
	for _, b := range r.byPool {
		b.SetMaxSaved(maxSaved)
	}
}

// updateSize reads the size of the fleet. A smaller fleet counts only if it has been seen for
// fleetSizeHold without an interruption; r.mu must be held.
func (r *retryBudgets) updateSize() {
	now := r.options.Timer.Now()
	routers, current := r.options.CountRouters()
	switch {
	case routers >= r.routers, current && now.Sub(r.seenAt) >= fleetSizeHold:
		r.routers = routers
		r.seenAt = now
	case !current:
		r.seenAt = now
	}
}

// limits returns the maximum of saved retries, and the number with which a budget starts; r.mu must be
// held.
func (r *retryBudgets) limits() (maxSaved, start float64) {
	maxSaved = r.options.MaxSavedRetries
	if r.options.RetrySlack == 0 {
		return maxSaved, maxSaved
	}
	part := r.options.RetrySlack / float64(max(r.routers, 1))
	// Below 1 a router could never retry. The share bounds it then.
	return max(min(maxSaved, savedSlackShare*part), 1), min(maxStartRetries, startSlackShare*part)
}

// saved returns the number of saved retries, by pool.
func (r *retryBudgets) saved() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	saved := map[string]float64{}
	for pool, b := range r.byPool {
		saved[pool] = b.Saved()
	}
	return saved
}

func (r *retryBudgets) fleetSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routers
}
