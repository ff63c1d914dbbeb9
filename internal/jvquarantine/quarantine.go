package jvquarantine

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// Refusal says why a copy of a request is not admitted.
type Refusal struct {
	// Crashes is the number of targets that ended while they ran the request, or requests with the part.
	Crashes int
	// Part is the name of the part that is to blame, or empty if it is the request.
	Part string
	// RetryAfter is the time until the next copy may be admitted.
	RetryAfter time.Duration
}

// Quarantine holds the suspects of the fleet. It is safe for concurrent use.
type Quarantine struct {
	options   Options
	follower  *jvkeyed.Follower
	publisher *jvkeyed.Publisher

	// sound are the parts that have completed at this router, with the time of the last completion.
	sound *lru.Cache[Digest, time.Time]

	mu    sync.Mutex
	table *table
	// held are the reports on parts that are held back, by the key of their record.
	held map[string]heldReport
	// quarantined are the suspects whose quarantine was logged.
	quarantined map[Digest]bool
}

// heldReport is a report on a part that is held back.
type heldReport struct {
	subject subject
	crash   Crash
}

// New returns a Quarantine that knows no suspects.
func New(o Options) *Quarantine {
	sound, err := lru.New[Digest, time.Time](max(o.MaxSound, 1))
	if err != nil {
		panic(err) // Only a size below 1 is an error.
	}
	q := &Quarantine{
		sound:       sound,
		options:     o,
		table:       newTable(o),
		held:        map[string]heldReport{},
		quarantined: map[Digest]bool{},
	}
	q.follower = jvkeyed.NewFollower(jvkeyed.Options{
		Name: o.Name, Topic: o.Topic, Timer: o.Timer, Logger: o.Logger, Random: o.Random,
		ReadWait: o.ReadWait, ReadTimeout: o.ReadTimeout, Gather: o.Gather, Apply: q.apply,
		Restore: func(records []jvkeyed.Record) { q.publisher.Restore(records) },
	})
	q.publisher = jvkeyed.NewPublisher(jvkeyed.PublisherOptions{
		Topic: o.Topic, Timer: o.Timer, Logger: o.Logger, Random: o.Random, MaxPending: o.MaxPending,
		Unconfirmed: "crashes not confirmed", Dropped: "crash not published",
	})
	return q
}

// Run follows the topic and publishes this router's records until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	expiry := q.options.Timer.Every(expireInterval, q.expire)
	defer expiry.Close()
	var running sync.WaitGroup
	running.Go(func() { q.follower.Run(ctx) })
	running.Go(func() { q.publisher.Run(ctx) })
	running.Wait()
}

// Loaded reports whether the topic has been read.
func (q *Quarantine) Loaded() bool { return q.follower.Loaded() }

// Empty reports whether there are no suspects.
func (q *Quarantine) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.table.suspects) == 0 && len(q.held) == 0
}

// Suspected reports whether a request was running in a crash.
func (q *Quarantine) Suspected(d Digest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.suspects[d] != nil
}

// Check reports whether a request may be sent to targets, now or as a trial that Admit claims.
func (q *Quarantine) Check(f Features) (Refusal, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	refusal, _, ok := q.evaluate(f)
	return refusal, ok
}

// evaluate refuses a request, or returns the suspects of which it would be a trial; q.mu must be held.
func (q *Quarantine) evaluate(f Features) (Refusal, []*suspect, bool) {
	now := q.options.Timer.Now()
	var refusal Refusal
	var due []*suspect
	for _, s := range q.table.blamedFor(f) {
		until, _ := q.table.quarantinedUntil(s)
		wait := until.Sub(now)
		if s.claiming {
			wait = max(wait, claimTimeout)
		}
		if wait <= 0 {
			due = append(due, s)
			continue
		}
		if wait > refusal.RetryAfter {
			refusal = Refusal{Crashes: len(s.crashes), Part: s.name, RetryAfter: wait}
		}
	}
	return refusal, due, refusal.RetryAfter == 0
}

// ReportCrash records that a target ended during an attempt, here and for the other routers. It returns
// the keys by which Withdraw takes the reports back.
func (q *Quarantine) ReportCrash(f Features, c Crash) (keys []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c.at = q.options.Timer.Now()
	for _, of := range f.subjects() {
		key := of.keyBase() + uuid.NewString()
		if !of.part {
			q.report(key, of, c)
			keys = append(keys, key)
			continue
		}
		c.request = f.Request
		completedAt, ok := q.sound.Get(of.digest)
		c.sound = ok && c.at.Sub(completedAt) < q.options.SoundAge
		if q.reported(of, c) {
			continue // Another request with the part was running there.
		}
		keys = append(keys, key)
		q.held[key] = heldReport{subject: of, crash: c}
		q.releaseIfAccused(of)
	}
	if len(f.Parts) > 0 {
		q.options.Timer.Alarm(q.options.PartHold, func() { q.release(keys) })
	}
	return keys
}

// reported reports whether a crash of a part is known; q.mu must be held.
func (q *Quarantine) reported(of subject, c Crash) bool {
	if s := q.table.suspects[of.digest]; s != nil && s.wasIn(c) {
		return true
	}
	for _, h := range q.held {
		if h.subject.digest == of.digest && h.crash.same(c) {
			return true
		}
	}
	return false
}

// releaseIfAccused reports the crashes of a part that are held back if they are enough for a quarantine; q.mu
// must be held.
func (q *Quarantine) releaseIfAccused(of subject) {
	held := map[string]Crash{}
	for key, h := range q.held {
		if h.subject.digest == of.digest {
			held[key] = h.crash
		}
	}
	if !q.table.wouldAccuse(of, held) {
		return
	}
	for key, c := range held {
		delete(q.held, key)
		q.report(key, of, c)
	}
}

// release reports the crashes of parts that were held back and are still suspected.
func (q *Quarantine) release(keys []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, key := range keys {
		if h, ok := q.held[key]; ok {
			delete(q.held, key)
			q.report(key, h.subject, h.crash)
		}
	}
}

// report adds a report, here and for the other routers; q.mu must be held.
func (q *Quarantine) report(key string, of subject, c Crash) {
	q.table.add(key, of, c)
	q.publisher.Put(encodeRecord(key, of, c))
	q.logChanges(of.digest)
}

// Withdraw takes back reports, here and for the other routers: the target did not end.
func (q *Quarantine) Withdraw(keys []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, key := range keys {
		delete(q.held, key)
		d, ok := q.table.digests[key]
		if !ok {
			continue
		}
		q.table.remove(key)
		q.publisher.Put(jvkeyed.Record{Key: key})
		q.logChanges(d)
	}
}

// ReportCompletion clears a request and the parts of its prompt, here and for the other routers.
func (q *Quarantine) ReportCompletion(f Features) {
	now := q.options.Timer.Now()
	for _, p := range f.Parts[:min(len(f.Parts), maxParts)] {
		q.sound.Add(p.Digest, now)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.table.suspects) == 0 && len(q.held) == 0 {
		return
	}
	for _, of := range f.subjects() {
		for key, h := range q.held {
			if h.subject.digest == of.digest {
				delete(q.held, key)
			}
		}
		if s := q.table.suspects[of.digest]; s != nil {
			q.clear(s)
		}
	}
}

// clear forgets a suspect, here and for the other routers; q.mu must be held.
func (q *Quarantine) clear(s *suspect) {
	q.options.Logger.Info(s.kind()+" cleared", "digest", s.digest.String(), "part", s.name, "crashes", len(s.crashes))
	for _, key := range s.keys() {
		q.publisher.Put(jvkeyed.Record{Key: key})
	}
	q.table.forget(s.digest)
	delete(q.quarantined, s.digest)
}

// kind returns the word for the subject in log messages.
func (s subject) kind() string {
	if s.part {
		return "part"
	}
	return "request"
}

// logChanges logs what a crash of a suspect changes, for it and for those that were running in the same
// crashes; q.mu must be held.
func (q *Quarantine) logChanges(d Digest) {
	for other := range q.quarantined {
		q.logQuarantine(other)
	}
	q.logQuarantine(d)
}

// logQuarantine logs when a suspect enters quarantine or is found not to be to blame; q.mu must be
// held.
func (q *Quarantine) logQuarantine(d Digest) {
	s := q.table.suspects[d]
	until, ok := q.table.quarantinedUntil(s)
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
	for _, c := range s.crashes {
		targets = append(targets, c.Target)
	}
	q.options.Logger.Info(s.kind()+" quarantined", "digest", d.String(), "part", s.name, "targets", targets,
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
		q.publisher.Drop(r)
		if len(r.Value) == 0 {
			q.table.remove(r.Key)
			continue
		}
		if p, ok := q.publisher.Pending(r.Key); ok && len(p.Value) == 0 {
			continue // Cleared here; the deletion is on its way.
		}
		d, err := decodeRecord(r, now, maxAge)
		if err != nil {
			q.options.Logger.Info("skipping a crash that can't be decoded", "offset", r.Offset, "cause", err.Error())
			continue
		}
		if !d.trialAt.IsZero() {
			q.table.addTrial(r.Key, d.subject, d.trialAt)
			continue
		}
		q.table.add(r.Key, d.subject, d.crash)
		q.logChanges(d.subject.digest)
	}
	if !complete {
		return
	}
	for key := range q.table.digests {
		if _, own := q.publisher.Pending(key); !own && !listed[key] {
			q.table.remove(key)
		}
	}
}

// expireInterval is the mean interval at which expired suspects are dropped.
const expireInterval = 10 * time.Second

// expire drops expired suspects. Each router skips some rounds at random, so that mostly one of them
// deletes a suspect's records and the others learn of it.
func (q *Quarantine) expire() {
	const skippedShare = 0.8
	q.mu.Lock()
	defer q.mu.Unlock()
	for d := range q.quarantined {
		if q.table.suspects[d] == nil {
			delete(q.quarantined, d)
		}
	}
	if q.options.Random() < skippedShare {
		return
	}
	for _, key := range q.table.expired(q.options.Timer.Now()) {
		q.table.remove(key)
		q.publisher.Put(jvkeyed.Record{Key: key})
	}
}
