package jvtarget

import (
	"math"
	"slices"
	"time"
)

// Load is a target's load report.
type Load struct {
	// Busy is the number of requests that the target runs or has queued.
	Busy int64 `json:"busy"`
	// Instance changes each time the target's process starts.
	Instance string `json:"instance"`
	// ReportedAt is when the target made the report.
	ReportedAt time.Time `json:"at"`
	// Figure is how long work takes on the target at present, 100 as usual, or 0 if the report does not say.
	Figure float64 `json:"figure,omitempty"`
	// Slots is the number of slots that the target reports, or 0 if the report does not say.
	Slots int64 `json:"slots,omitempty"`
}

// maxFinished limits the finished requests that are kept for one target. While one report is on its
// way, no more requests finish than the target has slots.
const maxFinished = 256

// traffic is the requests that this router sent to a target. It is used to correct load reports
// for what happened after they were made.
type traffic struct {
	// starts are the start times of the requests in progress, by attempt ID.
	starts   map[string]time.Time
	finished []finishedRequest
}

type finishedRequest struct {
	startedAt time.Time
	endedAt   time.Time
}

func (t *traffic) start(id string, now time.Time) {
	if t.starts == nil {
		t.starts = map[string]time.Time{}
	}
	t.starts[id] = now
}

func (t *traffic) finish(id string, now time.Time) {
	startedAt, ok := t.starts[id]
	if !ok {
		return
	}
	delete(t.starts, id)
	if len(t.finished) >= maxFinished {
		t.finished = t.finished[1:]
	}
	t.finished = append(t.finished, finishedRequest{startedAt: startedAt, endedAt: now})
}

// inProgress reports whether a request in progress was started at or before a time.
func (t *traffic) inProgress(before time.Time) bool {
	for _, startedAt := range t.starts {
		if !startedAt.After(before) {
			return true
		}
	}
	return false
}

// expire removes the finished requests that a report made at the given time already accounts for.
func (t *traffic) expire(reportedAt time.Time) {
	t.finished = slices.DeleteFunc(t.finished, func(f finishedRequest) bool { return !f.endedAt.After(reportedAt) })
}

// estimate returns the number of requests that a target runs now: the number that it reported,
// plus those that this router has sent since, minus those that have ended since. It is at least
// the number of this router's own requests in progress. The requests of other routers count less
// as the report ages and not at all from maxAge on; a maxAge of 0 counts them in full.
func (t *traffic) estimate(l Load, maxAge time.Duration, now time.Time) int64 {
	return int64(len(t.starts)) + decayed(t.others(l), now.Sub(l.ReportedAt), maxAge)
}

// decayed returns how many of other routers' requests count at an age of the report.
func decayed(others int64, age, maxAge time.Duration) int64 {
	if maxAge > 0 && age > 0 {
		return int64(math.Round(float64(others) * max(0, 1-float64(age)/float64(maxAge))))
	}
	return others
}

// others returns the number of other routers' requests by a report, whatever its age.
func (t *traffic) others(l Load) int64 {
	n := l.Busy
	for _, s := range t.starts {
		if s.After(l.ReportedAt) {
			n++
		}
	}
	for _, f := range t.finished {
		if f.endedAt.After(l.ReportedAt) && !f.startedAt.After(l.ReportedAt) {
			n--
		}
	}
	return max(n-int64(len(t.starts)), 0)
}
