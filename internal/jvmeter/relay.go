package jvmeter

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Relay holds the metrics of a router that forwards requests unchanged.
type Relay struct {
	set *metrics.Set
	// FirstByte and Total are the times from arrival to the beginning and the end of the response,
	// and ReserveWait the time from arrival until the tokens were reserved or refused, in seconds.
	FirstByte   *metrics.Histogram
	Total       *metrics.Histogram
	ReserveWait *metrics.Histogram
}

// NewRelay returns metrics in a new set.
func NewRelay() *Relay {
	s := metrics.NewSet()
	return &Relay{
		set:         s,
		FirstByte:   s.NewHistogram("jv_relay_first_seconds"),
		Total:       s.NewHistogram("jv_relay_total_seconds"),
		ReserveWait: s.NewHistogram("jv_relay_reserve_seconds"),
	}
}

// CountOutcome counts a response by route, outcome and status.
func (m *Relay) CountOutcome(route, outcome string, status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jv_relay_requests_total{route=%q,outcome=%q,status=\"%d\"}", route, outcome, status)).Inc()
}

// CountAttempt counts an attempt by pool and kind of failure; kind is empty for a complete response.
func (m *Relay) CountAttempt(pool, kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jv_relay_attempts_total{pool=%q,failure=%q}", pool, kind)).Inc()
}

// CountVersionAttempt counts an attempt by pool, by the version of its target's software, and by whether it
// resumes a stream.
func (m *Relay) CountVersionAttempt(pool, version string, resumes bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jv_relay_version_attempts_total{pool=%q,version=%q,resumes=\"%t\"}", pool, version, resumes)).Inc()
}

// CountResumption counts a request that resumes a stream, by pool and by how the version that began the stream
// is known.
func (m *Relay) CountResumption(pool, source string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jv_relay_resumptions_total{pool=%q,source=%q}", pool, source)).Inc()
}

// CountForwarded counts an attempt that another router makes for this one ("out") or that this one makes for
// another one ("in"), by kind of failure.
func (m *Relay) CountForwarded(direction, kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jv_relay_forwarded_total{direction=%q,failure=%q}", direction, kind)).Inc()
}

// CountCrash counts an attempt during which its target ended, by pool and by what shows it.
func (m *Relay) CountCrash(pool, evidence string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jv_relay_crashes_total{pool=%q,evidence=%q}", pool, evidence)).Inc()
}

// CountEnd counts a response that has begun, by the end that its target's framing can show, by how it ended, and by the
// caller's version of HTTP.
func (m *Relay) CountEnd(framing, end, protocol string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jv_relay_ends_total{framing=%q,end=%q,protocol=%q}", framing, end, protocol)).Inc()
}

// CountHedge counts what became of an extra attempt by pool and event: "sent", "won", "canceled", or why none was sent.
func (m *Relay) CountHedge(pool, event string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jv_relay_hedges_total{pool=%q,event=%q}", pool, event)).Inc()
}

// CountTopicFailure counts a failed call of a topic by its reason.
func (m *Relay) CountTopicFailure(topic, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jv_topic_failures_total{topic=%q,reason=%q}", topic, reason)).Inc()
}

// Gauge registers a gauge that is read when the metrics are written; name may include labels.
func (m *Relay) Gauge(name string, read func() float64) { m.set.GetOrCreateGauge(name, read) }

// Write writes all metrics, including those of the process.
func (m *Relay) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
