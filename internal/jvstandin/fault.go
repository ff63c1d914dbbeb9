package jvstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Faults are what goes wrong at a stand-in now; the zero value is that nothing does.
type Faults struct {
	// Down answers everything with 503.
	Down bool `json:"down"`
	// SlowMs delays every request, in milliseconds.
	SlowMs int64 `json:"slow"`
	// LoseResponses is the number of requests that take effect and whose answers are then lost.
	LoseResponses int64 `json:"lose"`
	// LateRequests is the number of requests that break off at once and take effect Delay later.
	LateRequests int64 `json:"late"`
	// DelayMs is in milliseconds.
	DelayMs int64 `json:"delay"`
	// CutZones lists the availability zones whose requests get no answer.
	CutZones []string `json:"cut"`
	// CrashText ends the process when a request holds this text.
	CrashText string `json:"crash"`
	// CrossAnswers is the number of answers that carry another attempt's id.
	CrossAnswers int64 `json:"cross"`
	// BreakStreams is the number of streams that break off after BreakAt tokens.
	BreakStreams     int64 `json:"break"`
	BreakAfterTokens int64 `json:"breakat"`
	// StallStreams is the number of streams that fall silent after BreakAt tokens.
	StallStreams int64 `json:"stall"`
}

// FaultInjector holds a stand-in's faults and applies those that any HTTP service can have.
type FaultInjector struct {
	// zones maps each availability zone to the beginning of its VMs' IP numbers.
	zones map[string]string

	mu     sync.Mutex
	faults Faults
}

// NewFaultInjector returns a switch with no fault on.
func NewFaultInjector(zones map[string]string) *FaultInjector { return &FaultInjector{zones: zones} }

// Set replaces all faults.
func (s *FaultInjector) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Current returns the faults that are on.
func (s *FaultInjector) Current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// take uses up one of a counted fault.
func (s *FaultInjector) take(count func(f *Faults) *int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := count(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (s *FaultInjector) cut(remote string) bool {
	for _, zone := range s.Current().CutZones {
		if prefix := s.zones[zone]; prefix != "" && strings.HasPrefix(remote, prefix) {
			return true
		}
	}
	return false
}

// Wrap applies down, slow, cut, lose and late to a handler. Streams are left to the engine.
func (s *FaultInjector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.cut(r.RemoteAddr) {
			<-r.Context().Done() // As in a network partition, nothing comes back at all.
			panic(http.ErrAbortHandler)
		}
		f := s.Current()
		if f.SlowMs > 0 {
			pause(r, time.Duration(f.SlowMs)*time.Millisecond)
		}
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if r.Method != http.MethodGet && !strings.HasPrefix(r.URL.Path, "/v1/generate") {
			if s.take(func(f *Faults) *int64 { return &f.LoseResponses }) {
				next.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			}
			if s.take(func(f *Faults) *int64 { return &f.LateRequests }) {
				s.applyLate(next, r, time.Duration(f.DelayMs)*time.Millisecond)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// applyLate breaks the connection off and lets the request take effect later.
func (s *FaultInjector) applyLate(next http.Handler, r *http.Request, delay time.Duration) {
	body, _ := io.ReadAll(r.Body)
	go func() {
		time.Sleep(delay)
		late, err := http.NewRequest(r.Method, r.URL.String(), strings.NewReader(string(body)))
		if err != nil {
			return
		}
		late.Header = r.Header
		next.ServeHTTP(httptest.NewRecorder(), late)
	}()
	panic(http.ErrAbortHandler)
}

func pause(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// Handler lets faults be read and set.
func (s *FaultInjector) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			var f Faults
			d := json.NewDecoder(r.Body)
			d.DisallowUnknownFields()
			if err := d.Decode(&f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			s.Set(f)
		}
		writeJSON(w, s.Current())
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Mount serves a stand-in's protocol with its faults, and under /admin/ the switches and the
// stand-in's own counts.
func (s *FaultInjector) Mount(api *http.ServeMux, counts func() any) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("/admin/fault", s.Handler())
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, counts()) })
	mux.Handle("/", s.Wrap(api))
	return mux
}
