package jvmeter

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Relay is the metrics of a router that passes requests on as they came.
type Relay struct {
	set *metrics.Set
	// FirstByte and Total are times in seconds from arrival to the answer's beginning and its end,
	// Reserve the time until the budget was there.
	FirstByte   *metrics.Histogram
	Total   *metrics.Histogram
	ReserveWait *metrics.Histogram
}

// NewRelay returns metrics in a set of their own.
func NewRelay() *Relay {
	s := metrics.NewSet()
	return &Relay{
		set:     s,
		FirstByte:   s.NewHistogram("jv_relay_first_seconds"),
		Total:   s.NewHistogram("jv_relay_total_seconds"),
		ReserveWait: s.NewHistogram("jv_relay_reserve_seconds"),
	}
}

// CountOutcome counts a final answer by route and what became of the request.
func (m *Relay) CountOutcome(route, outcome string, status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jv_relay_requests_total{route=%q,outcome=%q,status=\"%d\"}", route, outcome, status)).Inc()
}

// CountAttempt counts an attempt by pool and kind of failure, which is empty for a whole answer.
func (m *Relay) CountAttempt(pool, kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jv_relay_attempts_total{pool=%q,failure=%q}", pool, kind)).Inc()
}

// Gauge registers a value that is read when the metrics are written; name may carry labels.
func (m *Relay) Gauge(name string, read func() float64) { m.set.GetOrCreateGauge(name, read) }

// Write writes all metrics, those of the process included.
func (m *Relay) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
