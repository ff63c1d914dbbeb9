package jvmeter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Meter is one router's metrics.
type Meter struct {
	set *metrics.Set
	// FirstToken and Gap are times in seconds from arrival to the first token, and between tokens.
	FirstToken *metrics.Histogram
	Gap        *metrics.Histogram
	// ReserveWait is the time in seconds that a request waited for its reservation.
	ReserveWait *metrics.Histogram
	// Reserved, Settled and Worst count tokens reserved, settled as used, and settled at worst case.
	Reserved *metrics.Counter
	Settled  *metrics.Counter
	WorstCase    *metrics.Counter
	Attempts *metrics.Counter
	Retries  *metrics.Counter
	Crossed  *metrics.Counter
	Crashes  *metrics.Counter
	Claims   *metrics.Counter
	Loans    *metrics.Counter
	Returns  *metrics.Counter
	Joined   *metrics.Counter
	Relayed  *metrics.Counter
	// Unreplicated counts bills that no witness held when the answer ended.
	Unreplicated *metrics.Counter
}

// NewMeter returns metrics in a set of their own.
func NewMeter() *Meter {
	s := metrics.NewSet()
	return &Meter{
		set:          s,
		FirstToken:   s.NewHistogram("jv_first_token_seconds"),
		Gap:          s.NewHistogram("jv_token_gap_seconds"),
		ReserveWait:  s.NewHistogram("jv_reserve_wait_seconds"),
		Reserved:     s.NewCounter("jv_tokens_reserved_total"),
		Settled:      s.NewCounter("jv_tokens_settled_total"),
		WorstCase:        s.NewCounter("jv_tokens_worst_case_total"),
		Attempts:     s.NewCounter("jv_attempts_total"),
		Retries:      s.NewCounter("jv_retries_total"),
		Crossed:      s.NewCounter("jv_answers_crossed_total"),
		Crashes:      s.NewCounter("jv_target_crashes_total"),
		Claims:       s.NewCounter("jv_claims_total"),
		Loans:        s.NewCounter("jv_loans_total"),
		Returns:      s.NewCounter("jv_returns_total"),
		Joined:       s.NewCounter("jv_requests_joined_total"),
		Relayed:      s.NewCounter("jv_answers_relayed_total"),
		Unreplicated: s.NewCounter("jv_bills_unreplicated_total"),
	}
}

// CountOutcome counts a final answer by outcome and problem name, which is empty for a whole answer.
func (m *Meter) CountOutcome(outcome, problem string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jv_requests_total{outcome=%q,problem=%q}", outcome, problem)).Inc()
}

// Gauge registers a value that is read when the metrics are written; name may carry labels.
func (m *Meter) Gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge(name, read)
}

// Set sets a gauge that has labels.
func (m *Meter) Set(name string, value float64) {
	m.set.GetOrCreateFloatCounter(name).Set(value)
}

// Observe adds a duration to a histogram.
func Observe(h *metrics.Histogram, d time.Duration) { h.Update(d.Seconds()) }

// Write writes all metrics, those of the process included.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
