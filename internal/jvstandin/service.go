package jvstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// ServiceOptions are the speed and the load reports of a plain service.
type ServiceOptions struct {
	Name string
	// CallTime is the time that one call takes, LoadLag the maximum age of a load report.
	CallTime time.Duration
	LoadLag  time.Duration
}

// Service is a stand-in for a plain service. A GET has no effect; every other call is executed
// each time it arrives.
type Service struct {
	options  ServiceOptions
	faults   *FaultInjector
	instance string

	mu         sync.Mutex
	busy       int64
	lastReport jvtarget.Load
	counts     ServiceCounts
}

// ServiceCounts are the calls that a service executed.
type ServiceCounts struct {
	// Lookups counts GET requests.
	Lookups int64 `json:"lookups"`
	// Executions counts the other calls by Idempotency-Key.
	Executions map[string]int64 `json:"runs"`
}

// NewService returns a service.
func NewService(o ServiceOptions, faults *FaultInjector, random *jvchance.Source) *Service {
	return &Service{options: o, faults: faults, instance: random.ID(), counts: ServiceCounts{Executions: map[string]int64{}}}
}

// Handler serves calls, and the service's faults and counts under /admin/.
func (s *Service) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.load()) })
	api.HandleFunc("/", s.call)
	return s.faults.Mount(api, func() any { return s.Counts() })
}

// Counts returns a copy of the service's counts.
func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := ServiceCounts{Lookups: s.counts.Lookups, Executions: map[string]int64{}}
	for k, n := range s.counts.Executions {
		c.Executions[k] = n
	}
	return c
}

// load returns a load report, which is less than LoadLag old.
func (s *Service) load() jvtarget.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.lastReport.ReportedAt) >= s.options.LoadLag {
		s.lastReport = jvtarget.Load{Busy: s.busy, Instance: s.instance, ReportedAt: now}
	}
	return s.lastReport
}

// ServiceResponse is the response to a call.
type ServiceResponse struct {
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
	// Number is the number of distinct keys that the service has executed.
	Number int64 `json:"number"`
	// Echo is the body of the call.
	Echo string `json:"echo,omitempty"`
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // An incomplete call has no effect.
	}
	if crash := s.faults.Current().CrashText; crash != "" && strings.Contains(string(body), crash) {
		os.Exit(3)
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.busy++
	if r.Method == http.MethodGet {
		s.counts.Lookups++
	} else {
		s.counts.Executions[key]++
	}
	number := int64(len(s.counts.Executions))
	s.mu.Unlock()
	time.Sleep(s.options.CallTime)
	s.mu.Lock()
	s.busy--
	s.mu.Unlock()
	attempt := r.Header.Get("Attempt")
	if s.faults.consume(func(f *Faults) *int64 { return &f.CrossAnswers }) {
		attempt = "crossed-" + attempt
	}
	w.Header().Set("Attempt", attempt)
	if load, err := json.Marshal(s.load()); err == nil {
		w.Header().Set("Target-Load", string(load))
	}
	writeJSON(w, ServiceResponse{Path: r.URL.Path, Key: key, Number: number, Echo: string(body)})
}
