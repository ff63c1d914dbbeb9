package jvquarantine

import (
	"context"
	"strconv"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// claimTimeout bounds the claim of a trial.
const claimTimeout = time.Second

// Admit reports whether an attempt of a request may begin now. After a quarantine the attempt is a trial,
// which this router claims first.
func (q *Quarantine) Admit(ctx context.Context, f Features) (Refusal, bool) {
	q.mu.Lock()
	end := q.follower.Next() // Before the decision, which then rests on all records up to it.
	refusal, due, ok := q.evaluate(f)
	if !ok || len(due) == 0 {
		q.mu.Unlock()
		return refusal, ok
	}
	refusal = Refusal{Crashes: len(due[0].crashes), Part: due[0].name, RetryAfter: claimTimeout}
	trials := make([]jvkeyed.Record, 0, len(due))
	now := q.options.Timer.Now()
	for _, s := range due {
		s.claiming = true
		key := s.keyBase() + trialPrefix + strconv.Itoa(len(s.trials)+1)
		trials = append(trials, encodeTrial(key, s.subject, now))
	}
	q.mu.Unlock()
	claimed := q.claim(ctx, end, trials, due, now)
	return refusal, claimed
}

// claim appends the records of trials and reports whether that is confirmed. The append takes effect only
// if this router has read all records before it, so that no two routers claim the same trial. One that is
// in doubt counts as a trial.
func (q *Quarantine) claim(ctx context.Context, end jvkeyed.Mark, trials []jvkeyed.Record, due []*suspect, now time.Time) bool {
	ctx, cancel := q.options.Timer.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var err error
	if q.follower.Loaded() {
		var appended jvkeyed.Mark
		appended, err = q.options.Topic.AppendAt(ctx, end.Offset, trials)
		if err == nil && appended.Era != end.Era {
			err = jvfault.Newf("claim trial", jvkeyed.KindUnknown, "the log was set back to era %d, and the decision rests on era %d", appended.Era, end.Era)
		}
	} else {
		err = jvfault.Newf("claim trial", jvkeyed.KindRefused, "the topic has not been read")
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	kind := jvfault.KindOf[jvkeyed.Kind](err)
	for n, s := range due {
		s.claiming = false
		if err == nil || kind == jvkeyed.KindUnknown {
			q.table.addTrial(trials[n].Key, s.subject, now)
		}
		if err == nil {
			q.options.Logger.Info("quarantine ended, one copy admitted", "digest", s.digest.String(), "part", s.name, "crashes", len(s.crashes), "trial", len(s.trials))
		}
	}
	if err != nil {
		q.options.Logger.Info("trial not claimed", "digest", due[0].digest.String(), "part", due[0].name, "cause", err.Error())
	}
	return err == nil
}
