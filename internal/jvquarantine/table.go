package jvquarantine

import (
	"cmp"
	"slices"
	"time"
)

// request is what is known about one request.
type request struct {
	// reports are the crashes by the key of their record.
	reports map[string]Crash
	// crashes are the distinct crashes in order of their end.
	crashes []Crash
	// weight is the sum of the crashes' weights.
	weight int
	// lastCrash is the end of the latest crash.
	lastCrash time.Time
	// trialAt is when a copy was last admitted after the quarantine.
	trialAt time.Time
}

// update derives the distinct crashes from the reports. Of several reports on one crash, one that shows
// progress decides the weight.
func (r *request) update() {
	reports := make([]Crash, 0, len(r.reports))
	for _, c := range r.reports {
		reports = append(reports, c)
	}
	slices.SortFunc(reports, func(a, b Crash) int {
		return cmp.Or(a.EndedAt.Compare(b.EndedAt), a.SentAt.Compare(b.SentAt), cmp.Compare(a.StartedAtMillis, b.StartedAtMillis))
	})
	r.crashes = nil
	r.weight = 0
	r.lastCrash = time.Time{}
	for _, c := range reports {
		if c.at.After(r.lastCrash) {
			r.lastCrash = c.at
		}
		if n := slices.IndexFunc(r.crashes, c.same); n >= 0 {
			r.crashes[n].Progress = r.crashes[n].Progress || c.Progress
			continue
		}
		r.crashes = append(r.crashes, c)
	}
	for _, c := range r.crashes {
		r.weight += c.weight()
	}
}

// table holds the suspected requests. It is not safe for concurrent use.
type table struct {
	options  Options
	requests map[Digest]*request
	digests  map[string]Digest
}

func newTable(o Options) *table {
	return &table{options: o, requests: map[Digest]*request{}, digests: map[string]Digest{}}
}

// add adds or replaces a report.
func (t *table) add(key string, d Digest, c Crash) {
	r := t.requests[d]
	if r == nil {
		if len(t.requests) >= t.options.MaxRequests {
			t.evict()
		}
		r = &request{reports: map[string]Crash{}}
		t.requests[d] = r
	}
	r.reports[key] = c
	t.digests[key] = d
	r.update()
}

// remove removes a report, if it is known.
func (t *table) remove(key string) {
	d, ok := t.digests[key]
	if !ok {
		return
	}
	delete(t.digests, key)
	r := t.requests[d]
	delete(r.reports, key)
	if len(r.reports) == 0 {
		delete(t.requests, d)
		return
	}
	r.update()
}

// evict removes the request whose last crash is the oldest.
func (t *table) evict() {
	var oldest Digest
	var at time.Time
	for d, r := range t.requests {
		if at.IsZero() || r.lastCrash.Before(at) {
			oldest, at = d, r.lastCrash
		}
	}
	for key := range t.requests[oldest].reports {
		delete(t.digests, key)
	}
	delete(t.requests, oldest)
}

// expired returns the keys of the reports on requests whose last crash is older than the window.
func (t *table) expired(now time.Time) []string {
	var keys []string
	for _, r := range t.requests {
		if now.Sub(r.lastCrash) < t.options.Window {
			continue
		}
		for key := range r.reports {
			keys = append(keys, key)
		}
	}
	return keys
}

// blame returns the weight of the crashes that no other request accounts for.
func (t *table) blame(d Digest) int {
	r := t.requests[d]
	if r == nil || r.weight < limitWeight {
		return 0 // Too little in any case.
	}
	weight := 0
	for _, c := range r.crashes {
		if !t.attributed(c, d, r.weight) {
			weight += c.weight()
		}
	}
	return weight
}

// attributed reports whether another request that was running in a crash has reached the limit and
// weighs more.
func (t *table) attributed(c Crash, d Digest, weight int) bool {
	for other, r := range t.requests {
		if other != d && r.weight >= limitWeight && r.weight > weight && slices.ContainsFunc(r.crashes, c.same) {
			return true
		}
	}
	return false
}

// quarantinedUntil returns the end of a request's quarantine, or false if it was never quarantined.
// The pause doubles with each crash beyond the limit. It differs between requests, so that several
// that were running in the same crashes are tried again at different times.
func (t *table) quarantinedUntil(d Digest) (time.Time, bool) {
	weight := t.blame(d)
	if weight < limitWeight {
		return time.Time{}, false
	}
	pause := t.options.MinPause + t.options.MinPause*time.Duration(d[0])/256
	doublings := (weight - limitWeight) / crashWeight
	pause = min(pause<<min(doublings, maxDoublings), t.options.MaxPause)
	return t.requests[d].lastCrash.Add(pause), true
}

// maxDoublings keeps the shifted pause from overflowing.
const maxDoublings = 20
