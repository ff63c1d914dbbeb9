package jvquarantine

import "time"

// Entry is one suspected request as the operations port shows it.
type Entry struct {
	Digest string `json:"digest"`
	// Crashes is the number of targets that ended while they ran the request.
	Crashes int      `json:"crashes"`
	Targets []string `json:"targets"`
	// Until is the end of the quarantine, or nil if the request is only suspected.
	Until *time.Time `json:"until,omitempty"`
}

// Dump returns the suspected requests.
func (q *Quarantine) Dump() []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := make([]Entry, 0, len(q.table.requests))
	for d, r := range q.table.requests {
		e := Entry{Digest: d.String(), Crashes: len(r.crashes)}
		for _, c := range r.crashes {
			e.Targets = append(e.Targets, c.Target)
		}
		if until, ok := q.table.quarantinedUntil(d); ok {
			e.Until = &until
		}
		list = append(list, e)
	}
	return list
}

// RegisterGauges registers gauges of the numbers of suspected requests and of those in quarantine.
func (q *Quarantine) RegisterGauges(register func(name string, read func() float64)) {
	register("jv_quarantine_suspected", func() float64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		return float64(len(q.table.requests))
	})
	register("jv_quarantine_requests", func() float64 { return float64(q.inForce()) })
	register("jv_quarantine_unpublished", func() float64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		return float64(len(q.pending))
	})
}

// inForce returns the number of requests whose quarantine has not ended.
func (q *Quarantine) inForce() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	now := q.options.Timer.Now()
	for d := range q.table.requests {
		if until, ok := q.table.quarantinedUntil(d); ok && now.Before(until) {
			n++
		}
	}
	return n
}
