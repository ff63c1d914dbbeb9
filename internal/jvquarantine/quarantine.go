package jvquarantine

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// Refusal says why a copy of a request is not admitted.
type Refusal struct {
	// Crashes is the number of targets that ended while they ran the request.
	Crashes int
	// RetryAfter is the time until the next copy may be admitted.
	RetryAfter time.Duration
}

// Quarantine holds the suspected requests of the fleet. It is safe for concurrent use.
type Quarantine struct {
	options  Options
	follower *jvkeyed.Follower
	// wake tells the publisher that records are pending.
	wake chan struct{}

	mu    sync.Mutex
	table *table
	// pending are the records that the topic has not confirmed, by key; a record without a value
	// deletes its key.
	pending map[string]jvkeyed.Record
	// quarantined are the requests whose quarantine was logged.
	quarantined map[Digest]bool
}

// New returns a Quarantine that knows no requests.
func New(o Options) *Quarantine {
	q := &Quarantine{
		options:     o,
		wake:        make(chan struct{}, 1),
		table:       newTable(o),
		pending:     map[string]jvkeyed.Record{},
		quarantined: map[Digest]bool{},
	}
	q.follower = jvkeyed.NewFollower(jvkeyed.Options{
		Name: o.Name, Topic: o.Topic, Timer: o.Timer, Logger: o.Logger, Random: o.Random,
		ReadWait: o.ReadWait, ReadTimeout: o.ReadTimeout, Apply: q.apply,
	})
	return q
}

// Run follows the topic and publishes this router's records until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	expiry := q.options.Timer.Every(expireInterval, q.expire)
	defer expiry.Close()
	var running sync.WaitGroup
	running.Go(func() { q.follower.Run(ctx) })
	running.Go(func() { q.publish(ctx) })
	running.Wait()
}

// Loaded reports whether the topic has been read.
func (q *Quarantine) Loaded() bool { return q.follower.Loaded() }

// Empty reports whether no request is suspected.
func (q *Quarantine) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.table.requests) == 0
}

// Suspected reports whether a request was running in a crash.
func (q *Quarantine) Suspected(d Digest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.requests[d] != nil
}

// Admit reports whether a copy of a request may be sent to targets. After the quarantine it admits one
// copy in each TrialInterval.
func (q *Quarantine) Admit(d Digest) (Refusal, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.options.Timer.Now()
	until, ok := q.table.quarantinedUntil(d)
	if !ok {
		return Refusal{}, true
	}
	r := q.table.requests[d]
	if trial := r.trialAt.Add(q.options.TrialInterval); !r.trialAt.IsZero() && trial.After(until) {
		until = trial
	}
	if now.Before(until) {
		return Refusal{Crashes: len(r.crashes), RetryAfter: until.Sub(now)}, false
	}
	r.trialAt = now
	q.options.Logger.Info("quarantine ended, one copy admitted", "digest", d.String(), "crashes", len(r.crashes))
	return Refusal{}, true
}

// Check reports, like Admit, whether a copy that was admitted may still be sent to a target.
func (q *Quarantine) Check(d Digest) (Refusal, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.options.Timer.Now()
	until, ok := q.table.quarantinedUntil(d)
	if !ok || !now.Before(until) {
		return Refusal{}, true
	}
	return Refusal{Crashes: len(q.table.requests[d].crashes), RetryAfter: until.Sub(now)}, false
}

// ReportCrash records that a target ended during an attempt, here and for the other routers. It returns
// the key by which Withdraw takes the report back.
func (q *Quarantine) ReportCrash(d Digest, c Crash) (key string) {
	key = d.String() + keySeparator + uuid.NewString()
	q.mu.Lock()
	defer q.mu.Unlock()
	c.at = q.options.Timer.Now()
	q.table.add(key, d, c)
	q.enqueue(encodeRecord(key, c))
	q.logChanges(d)
	return key
}

// Withdraw takes back a report, here and for the other routers: the target did not end.
func (q *Quarantine) Withdraw(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	d, ok := q.table.digests[key]
	if !ok {
		return
	}
	q.table.remove(key)
	q.enqueue(jvkeyed.Record{Key: key})
	q.logChanges(d)
}

// ReportCompletion clears a request, here and for the other routers.
func (q *Quarantine) ReportCompletion(d Digest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.table.requests[d]
	if r == nil {
		return
	}
	q.options.Logger.Info("request cleared", "digest", d.String(), "crashes", len(r.crashes))
	for key := range r.reports {
		q.table.remove(key)
		q.enqueue(jvkeyed.Record{Key: key})
	}
	delete(q.quarantined, d)
}

// logChanges logs what a crash of a request changes, for it and for those that were running in the same
// crashes; q.mu must be held.
func (q *Quarantine) logChanges(d Digest) {
	for other := range q.quarantined {
		q.logQuarantine(other)
	}
	q.logQuarantine(d)
}

// logQuarantine logs when a request enters quarantine or is found not to be to blame; q.mu must be
// held.
func (q *Quarantine) logQuarantine(d Digest) {
	until, ok := q.table.quarantinedUntil(d)
	if ok == q.quarantined[d] {
		return
	}
	if !ok {
		delete(q.quarantined, d)
		q.options.Logger.Info("quarantine lifted", "digest", d.String())
		return
	}
	q.quarantined[d] = true
	var targets []string
	for _, c := range q.table.requests[d].crashes {
		targets = append(targets, c.Target)
	}
	q.options.Logger.Info("request quarantined", "digest", d.String(), "targets", targets,
		"for", until.Sub(q.options.Timer.Now()).Round(time.Millisecond).String())
}

// maxLiveAge is the age that a record may have when it is read right after it was appended.
const maxLiveAge = 10 * time.Second

// apply applies records of the topic.
func (q *Quarantine) apply(records []jvkeyed.Record, complete bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.options.Timer.Now()
	maxAge := maxLiveAge
	if complete {
		maxAge = q.options.Window - q.options.MaxPause // Kept long enough not to depend on this machine's clock.
	}
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
		if len(r.Value) == 0 {
			q.table.remove(r.Key)
			continue
		}
		if p, ok := q.pending[r.Key]; ok && len(p.Value) == 0 {
			continue // Cleared here; the deletion is on its way.
		}
		d, c, err := decodeRecord(r, now, maxAge)
		if err != nil {
			q.options.Logger.Info("skipping a crash that can't be decoded", "offset", r.Offset, "cause", err.Error())
			continue
		}
		q.table.add(r.Key, d, c)
		q.logChanges(d)
	}
	if !complete {
		return
	}
	for key := range q.table.digests {
		if _, own := q.pending[key]; !own && !listed[key] {
			q.table.remove(key)
		}
	}
}

// expireInterval is the mean interval at which expired requests are dropped.
const expireInterval = 10 * time.Second

// expire drops expired requests. Each router skips some rounds at random, so that mostly one of them
// deletes a request's records and the others learn of it.
func (q *Quarantine) expire() {
	const skippedShare = 0.8
	q.mu.Lock()
	defer q.mu.Unlock()
	for d := range q.quarantined {
		if q.table.requests[d] == nil {
			delete(q.quarantined, d)
		}
	}
	if q.options.Random() < skippedShare {
		return
	}
	for _, key := range q.table.expired(q.options.Timer.Now()) {
		q.table.remove(key)
		q.enqueue(jvkeyed.Record{Key: key})
	}
}
