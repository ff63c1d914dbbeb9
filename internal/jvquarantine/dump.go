package jvquarantine

import "time"

// Entry is one suspect as the operations port shows it.
type Entry struct {
	Digest string `json:"digest"`
	// Part is the name of a part of prompts, or empty for a request.
	Part string `json:"part,omitempty"`
	// Crashes is the number of targets that ended while they ran the request, or requests with the part.
	Crashes int      `json:"crashes"`
	Targets []string `json:"targets"`
	// Until is the end of the quarantine, or nil if the suspect is not blamed.
	Until *time.Time `json:"until,omitempty"`
	// Trials is the number of copies that were tried after the quarantine, by all routers.
	Trials int `json:"trials,omitempty"`
}

// Dump returns the suspects.
func (q *Quarantine) Dump() []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := make([]Entry, 0, len(q.table.suspects))
	for d, s := range q.table.suspects {
		e := Entry{Digest: d.String(), Part: s.name, Crashes: len(s.crashes), Trials: len(s.trials)}
		for _, c := range s.crashes {
			e.Targets = append(e.Targets, c.Target)
		}
		if until, ok := q.table.quarantinedUntil(s); ok {
			e.Until = &until
		}
		list = append(list, e)
	}
	return list
}

// RegisterGauges registers gauges of the numbers of suspects and of those in quarantine.
func (q *Quarantine) RegisterGauges(register func(name string, read func() float64)) {
	register("jv_quarantine_suspected", func() float64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		return float64(len(q.table.suspects))
	})
	register("jv_quarantine_requests", func() float64 { return float64(q.inForce(false)) })
	register("jv_quarantine_parts", func() float64 { return float64(q.inForce(true)) })
	register("jv_quarantine_unpublished", func() float64 { return float64(q.publisher.Len()) })
}

// inForce returns the number of requests, or of parts, whose quarantine has not ended.
func (q *Quarantine) inForce(parts bool) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	now := q.options.Timer.Now()
	for _, s := range q.table.accused {
		if until, ok := q.table.quarantinedUntil(s); ok && s.part == parts && now.Before(until) {
			n++
		}
	}
	return n
}
