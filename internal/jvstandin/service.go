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

// ServiceOptions are the speed and bounds of a plain service.
type ServiceOptions struct {
	Name string
	// CallTime is the time that one call takes, Lag how old a load report is.
	CallTime time.Duration
	LoadLag  time.Duration
}

// Service is a plain service: GET is idempotent, everything else runs each time it arrives.
type Service struct {
	options  ServiceOptions
	faults   *FaultInjector
	instance string

	mu       sync.Mutex
	busy     int64
	reported jvtarget.Load
	counts   ServiceCounts
}

// ServiceCounts are what a service truly did.
type ServiceCounts struct {
	Lookups int64 `json:"lookups"`
	// Executions counts how often each key ran.
	Executions map[string]int64 `json:"runs"`
}

// NewService returns a service.
func NewService(o ServiceOptions, faults *FaultInjector, chance *jvchance.Source) *Service {
	return &Service{options: o, faults: faults, instance: chance.ID(), counts: ServiceCounts{Executions: map[string]int64{}}}
}

// Handler serves calls, and the switches under /admin/.
func (s *Service) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.load()) })
	api.HandleFunc("/", s.call)
	return s.faults.Mount(api, func() any { return s.Counts() })
}

// Counts returns what the service did.
func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := ServiceCounts{Lookups: s.counts.Lookups, Executions: map[string]int64{}}
	for k, n := range s.counts.Executions {
		c.Executions[k] = n
	}
	return c
}

func (s *Service) load() jvtarget.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.reported.ReportedAt) >= s.options.LoadLag {
		s.reported = jvtarget.Load{Busy: s.busy, Instance: s.instance, ReportedAt: now}
	}
	return s.reported
}

// ServiceResponse is what a call is answered with.
type ServiceResponse struct {
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
	// Number counts the calls of this service that took effect.
	Number int64 `json:"number"`
	// Echo is the body that came.
	Echo string `json:"echo,omitempty"`
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The call did not arrive whole, so it takes no effect.
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
	if s.faults.take(func(f *Faults) *int64 { return &f.CrossAnswers }) {
		attempt = "crossed-" + attempt
	}
	w.Header().Set("Attempt", attempt)
	if load, err := json.Marshal(s.load()); err == nil {
		w.Header().Set("Target-Load", string(load))
	}
	writeJSON(w, ServiceResponse{Path: r.URL.Path, Key: key, Number: number, Echo: string(body)})
}
