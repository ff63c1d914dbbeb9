package jvmeter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Meter holds the metrics of one router.
type Meter struct {
	set *metrics.Set
	// FirstToken is the time from arrival to the first token, and Gap the time between two tokens,
	// in seconds.
	FirstToken *metrics.Histogram
	Gap        *metrics.Histogram
	// ReserveWait is the time in seconds that an attempt waited for its reservation.
	ReserveWait *metrics.Histogram
	// Reserved and Settled count the tokens that were reserved and charged. WorstCase counts those
	// charged at the worst case, because the target confirmed no usage.
	Reserved  *metrics.Counter
	Settled   *metrics.Counter
	WorstCase *metrics.Counter
	// Attempts counts dispatches to targets, and Retries those after a failed attempt.
	Attempts *metrics.Counter
	Retries  *metrics.Counter
	// Crossed counts responses that belong to another attempt, and Crashes crashes of targets.
	Crossed *metrics.Counter
	Crashes *metrics.Counter
	// Claims counts claims of tokens submitted to the log, Loans loans of tokens from peers, and
	// Returns returns of idle tokens to the budget.
	Claims  *metrics.Counter
	Loans   *metrics.Counter
	Returns *metrics.Counter
	// Joined counts requests that joined the flight of an earlier copy, and Relayed those whose
	// answer was relayed from another VM.
	Joined  *metrics.Counter
	Relayed *metrics.Counter
	// Unreplicated counts bills that no witness had stored when the answer ended.
	Unreplicated *metrics.Counter
}

// NewMeter returns metrics in a new set.
func NewMeter() *Meter {
	s := metrics.NewSet()
	return &Meter{
		set:          s,
		FirstToken:   s.NewHistogram("jv_first_token_seconds"),
		Gap:          s.NewHistogram("jv_token_gap_seconds"),
		ReserveWait:  s.NewHistogram("jv_reserve_wait_seconds"),
		Reserved:     s.NewCounter("jv_tokens_reserved_total"),
		Settled:      s.NewCounter("jv_tokens_settled_total"),
		WorstCase:    s.NewCounter("jv_tokens_worst_case_total"),
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

// CountOutcome counts a response by outcome and problem; problem is empty for a complete answer.
func (m *Meter) CountOutcome(outcome, problem string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jv_requests_total{outcome=%q,problem=%q}", outcome, problem)).Inc()
}

// CountEnd counts a response of a plain service by how it ended.
func (m *Meter) CountEnd(end string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jv_call_ends_total{end=%q}", end)).Inc()
}

// Gauge registers a gauge that is read when the metrics are written; name may include labels.
func (m *Meter) Gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge(name, read)
}

// Set sets a gauge; name may include labels.
func (m *Meter) Set(name string, value float64) {
	m.set.GetOrCreateFloatCounter(name).Set(value)
}

// Observe adds a duration to a histogram, in seconds.
func Observe(h *metrics.Histogram, d time.Duration) { h.Update(d.Seconds()) }

// Write writes all metrics, including those of the process.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
