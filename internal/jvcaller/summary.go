package jvcaller

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// Summary collects results. It is safe for concurrent use.
type Summary struct {
	mu      sync.Mutex
	results []Result
}

// Add adds a result.
func (s *Summary) Add(r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, r)
}

// Results returns a copy of all results.
func (s *Summary) Results() []Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.results)
}

// Quantiles are the quantiles of a set of durations, in milliseconds.
type Quantiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// QuantilesOf returns the quantiles of durations in any order.
func QuantilesOf(d []time.Duration) Quantiles {
	if len(d) == 0 {
		return Quantiles{}
	}
	d = slices.Clone(d)
	slices.Sort(d)
	at := func(q float64) float64 {
		return float64(d[min(int(q*float64(len(d))), len(d)-1)].Microseconds()) / 1000
	}
	return Quantiles{Count: len(d), P50: at(0.50), P95: at(0.95), P99: at(0.99), Max: at(1)}
}

// KindReport is the summary of the jobs of one kind. Its quantiles are those of served jobs.
type KindReport struct {
	Sent    int `json:"sent"`
	Served  int `json:"served"`
	NotRun  int `json:"notrun"`
	Unknown int `json:"unknown"`
	// Unanswered counts jobs whose last attempt got no outcome from a router.
	Unanswered int `json:"unanswered"`
	// Cut counts incomplete answers, Crossed those that belong to another request or mix
	// executions.
	Cut        int            `json:"cut"`
	Crossed    int            `json:"crossed"`
	Problems   map[string]int `json:"problems"`
	FirstToken Quantiles      `json:"firsttoken"`
	Gap        Quantiles      `json:"gap"`
	Total      Quantiles      `json:"total"`
}

// Report returns the reports by kind, and that of all kinds under "all".
func (s *Summary) Report() map[string]*KindReport {
	reports := map[string]*KindReport{}
	first, gaps, total := map[string][]time.Duration{}, map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, r := range s.Results() {
		for _, kind := range []string{string(r.Job.Kind), "all"} {
			k := reports[kind]
			if k == nil {
				k = &KindReport{Problems: map[string]int{}}
				reports[kind] = k
			}
			k.add(r)
			if r.Served() {
				first[kind] = append(first[kind], r.FirstToken)
				gaps[kind] = append(gaps[kind], r.Gaps...)
				total[kind] = append(total[kind], r.Total)
			}
		}
	}
	for kind, k := range reports {
		k.FirstToken = QuantilesOf(first[kind])
		k.Gap = QuantilesOf(gaps[kind])
		k.Total = QuantilesOf(total[kind])
	}
	return reports
}

func (k *KindReport) add(r Result) {
	k.Sent++
	if r.Problem != "" {
		k.Problems[r.Problem]++
	}
	switch {
	case r.Served():
		k.Served++
	case r.Outcome == "notrun":
		k.NotRun++
	case r.Outcome == "":
		k.Unanswered++
	default:
		k.Unknown++
	}
	switch {
	case strings.HasPrefix(r.Defect, "cut"):
		k.Cut++
	case r.Defect != "":
		k.Crossed++
	}
}

// WriteText writes the reports as a table.
func WriteText(w io.Writer, reports map[string]*KindReport) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "kind\tsent\tserved\tnotrun\tunknown\tunanswered\tcut\tcrossed\tfirst p50 ms\tp95\tp99\tgap p50 ms\tp95\tp99\t")
	for _, kind := range slices.Sorted(keysOf(reports)) {
		k := reports[kind]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", kind, k.Sent, k.Served, k.NotRun, k.Unknown, k.Unanswered, k.Cut, k.Crossed,
			k.FirstToken.P50, k.FirstToken.P95, k.FirstToken.P99, k.Gap.P50, k.Gap.P95, k.Gap.P99)
	}
	_ = t.Flush()
}

// keysOf returns an iterator over the keys of m.
func keysOf[V any](m map[string]V) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// WithResults returns a new summary that holds just results.
func (s *Summary) WithResults(results []Result) *Summary { return &Summary{results: results} }
