package jvtarget

import (
	"math"
	"slices"
	"time"
)

// Load is a target's report of itself; it is as old as At says.
type Load struct {
	// Busy is the number of requests that the target runs or has queued.
	Busy int64 `json:"busy"`
	// Instance changes each time that the target's process starts.
	Instance string `json:"instance"`
	// ReportedAt is when the report was true.
	ReportedAt time.Time `json:"at"`
}

// finishesKept bounds the remembered ends of requests; more of them than a target has slots
// cannot fall into the lag of one report.
const finishesKept = 256

// traffic is what this router sent to a target, from which a late report is corrected.
type traffic struct {
	starts   map[string]time.Time
	finishes []finish
}

type finish struct {
	started time.Time
	ended   time.Time
}

func (t *traffic) start(id string, now time.Time) {
	if t.starts == nil {
		t.starts = map[string]time.Time{}
	}
	t.starts[id] = now
}

func (t *traffic) finish(id string, now time.Time) {
	started, ok := t.starts[id]
	if !ok {
		return
	}
	delete(t.starts, id)
	if len(t.finishes) >= finishesKept {
		t.finishes = t.finishes[1:]
	}
	t.finishes = append(t.finishes, finish{started: started, ended: now})
}

// forget drops the ends that a report already counts.
func (t *traffic) forget(before time.Time) {
	t.finishes = slices.DeleteFunc(t.finishes, func(f finish) bool { return !f.ended.After(before) })
}

// estimate returns the number of requests that a target runs now: what it reported, plus what
// this router has sent since the report was true, less what has ended since. It is never
// below what this router knows to be under way. What others have under way counts less as the
// report grows old, and nothing at the age of fade; a fade of 0 keeps every report.
func (t *traffic) estimate(l Load, fade time.Duration, now time.Time) int64 {
	own := int64(len(t.starts))
	n := l.Busy
	for _, s := range t.starts {
		if s.After(l.ReportedAt) {
			n++
		}
	}
	for _, f := range t.finishes {
		if f.ended.After(l.ReportedAt) && !f.started.After(l.ReportedAt) {
			n--
		}
	}
	others := max(n-own, 0)
	if age := now.Sub(l.ReportedAt); fade > 0 && age > 0 {
		others = int64(math.Round(float64(others) * max(0, 1-float64(age)/float64(fade))))
	}
	return own + others
}
