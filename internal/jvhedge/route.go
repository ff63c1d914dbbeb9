package jvhedge

import (
	"time"

	"github.com/valyala/histogram"
)

const (
	// recentAnswers is the number of a route's latest answer times that show how fast its targets are now, earlierAnswers that
	// of those before them, with which they are compared.
	recentAnswers  = 64
	earlierAnswers = 192
	// minAnswers is the number of times from which a quantile is estimated: below it the p95 is the maximum.
	minAnswers = 20
	// delayQuantile is the quantile of the answer times that an attempt may take before an extra one is considered.
	delayQuantile = 0.95
	// riseFactor is how many times the earlier quantile the recent one may be. Two estimates of the p95 from 64 samples of the
	// same heavy-tailed times seldom differ by more.
	riseFactor = 2
)

// answer is how long a target took to answer an attempt. An attempt that was canceled before has the time that it had taken
// so far, since leaving out slow attempts would lower the quantile.
type answer struct {
	target  string
	sentAt  time.Time
	took    time.Duration
	arrived bool
}

// Attempt is an attempt whose target has not answered yet.
type Attempt struct {
	route  string
	target string
	sentAt time.Time
	// delay is how long it may take before an extra attempt is considered; known is false if that is a default.
	delay time.Duration
	known bool
	risen bool
}

// Delay returns how long the attempt may take before an extra one is considered.
func (a *Attempt) Delay() time.Duration { return a.delay }

// route holds the attempts of a route in progress and its latest answer times.
type route struct {
	attempts map[*Attempt]struct{}
	// answers are the latest ones; the oldest is at next once the list is full.
	answers []answer
	next    int
}

// add adds an answer in place of the oldest one.
func (r *route) add(a answer) {
	if len(r.answers) < recentAnswers+earlierAnswers {
		r.answers = append(r.answers, a)
		return
	}
	r.answers[r.next] = a
	r.next = (r.next + 1) % len(r.answers)
}

// newest returns the answer that n others have followed.
func (r *route) newest(n int) answer {
	return r.answers[(r.next-1-n+2*len(r.answers))%len(r.answers)]
}

// quantile returns the quantile of the answer times of all targets but one, among a number of answers that others have
// followed, and false if they are too few.
func (r *route) quantile(except string, followed, n int) (time.Duration, bool) {
	h := histogram.GetFast()
	defer histogram.PutFast(h)
	known := 0
	for i := followed; i < min(followed+n, len(r.answers)); i++ {
		if a := r.newest(i); a.target != except {
			h.Update(float64(a.took))
			known++
		}
	}
	if known < minAnswers {
		return 0, false
	}
	return time.Duration(h.Quantile(delayQuantile)), true
}

// delay returns the time that other targets than one seldom exceed, and whether that has risen.
func (r *route) delay(target string) (d time.Duration, risen, known bool) {
	recent, ok := r.quantile(target, 0, recentAnswers)
	earlier, okEarlier := r.quantile(target, recentAnswers, earlierAnswers)
	return recent, recent > riseFactor*earlier, ok && okEarlier
}

// mostSlow reports whether fewer targets have answered an attempt in time that was sent no earlier than one, than have let
// an attempt wait for longer than its delay. Answers to earlier attempts don't count: all targets may have become slow since.
func (r *route) mostSlow(one *Attempt, now time.Time) bool {
	overdue := map[string]bool{one.target: true}
	for a := range r.attempts {
		if now.Sub(a.sentAt) >= one.delay {
			overdue[a.target] = true
		}
	}
	quick := map[string]bool{}
	for _, a := range r.answers {
		if a.arrived && !overdue[a.target] && !a.sentAt.Before(one.sentAt) && a.took < one.delay {
			quick[a.target] = true
		}
	}
	return len(quick) < len(overdue)
}
