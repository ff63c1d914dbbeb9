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

// Faults are the faults injected into a stand-in; the zero value injects none.
type Faults struct {
	// Down responds to every request with 503.
	Down bool `json:"down"`
	// SlowMs is the delay of every request, in milliseconds.
	SlowMs int64 `json:"slow"`
	// LoseResponses is the number of requests that take effect but whose responses are lost.
	LoseResponses int64 `json:"lose"`
	// LateRequests is the number of requests whose connections are closed at once, and which
	// take effect DelayMs later.
	LateRequests int64 `json:"late"`
	// DelayMs is the delay of LateRequests, in milliseconds.
	DelayMs int64 `json:"delay"`
	// DisconnectedZones lists the availability zones whose requests get no response.
	DisconnectedZones []string `json:"cut"`
	// CrashText makes the process exit when a request contains this text.
	CrashText string `json:"crash"`
	// CrossAnswers is the number of answers that carry another attempt's ID.
	CrossAnswers int64 `json:"cross"`
	// BreakStreams is the number of streams that are aborted after BreakAfterTokens tokens.
	BreakStreams     int64 `json:"break"`
	BreakAfterTokens int64 `json:"breakat"`
	// StallStreams is the number of streams that stay open but send nothing after
	// BreakAfterTokens tokens.
	StallStreams int64 `json:"stall"`
}

// FaultInjector holds a stand-in's faults and applies those that any HTTP service can have.
type FaultInjector struct {
	// zones maps each availability zone to the prefix of its VMs' IP addresses.
	zones map[string]string

	mu     sync.Mutex
	faults Faults
}

// NewFaultInjector returns an injector without faults.
func NewFaultInjector(zones map[string]string) *FaultInjector { return &FaultInjector{zones: zones} }

// Set replaces all faults.
func (fi *FaultInjector) Set(f Faults) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.faults = f
}

// Current returns the faults in force.
func (fi *FaultInjector) Current() Faults {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return fi.faults
}

// consume decrements a counted fault and reports whether it was above zero.
func (fi *FaultInjector) consume(count func(f *Faults) *int64) bool {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	n := count(&fi.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// isDisconnected reports whether the address remote belongs to a disconnected zone.
func (fi *FaultInjector) isDisconnected(remote string) bool {
	for _, zone := range fi.Current().DisconnectedZones {
		if prefix := fi.zones[zone]; prefix != "" && strings.HasPrefix(remote, prefix) {
			return true
		}
	}
	return false
}

// Wrap returns next with DisconnectedZones, SlowMs, Down, LoseResponses and LateRequests
// applied. The engine itself loses the responses of /v1/generate, which are streams.
func (fi *FaultInjector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fi.isDisconnected(r.RemoteAddr) {
			<-r.Context().Done() // As in a network partition, no response is sent.
			panic(http.ErrAbortHandler)
		}
		f := fi.Current()
		if f.SlowMs > 0 {
			sleep(r, time.Duration(f.SlowMs)*time.Millisecond)
		}
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if r.Method != http.MethodGet && !strings.HasPrefix(r.URL.Path, "/v1/generate") {
			if fi.consume(func(f *Faults) *int64 { return &f.LoseResponses }) {
				next.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			}
			if fi.consume(func(f *Faults) *int64 { return &f.LateRequests }) {
				fi.applyLate(next, r, time.Duration(f.DelayMs)*time.Millisecond)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// applyLate aborts the connection and passes the request to next after delay.
func (fi *FaultInjector) applyLate(next http.Handler, r *http.Request, delay time.Duration) {
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

// sleep waits for d or until the request is canceled.
func sleep(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// Handler serves the faults as JSON; a POST replaces them and responds with the new ones.
func (fi *FaultInjector) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			var f Faults
			d := json.NewDecoder(r.Body)
			d.DisallowUnknownFields()
			if err := d.Decode(&f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			fi.Set(f)
		}
		writeJSON(w, fi.Current())
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Mount returns a mux that serves api with the faults applied, and the faults and counts of
// the stand-in under /admin/.
func (fi *FaultInjector) Mount(api *http.ServeMux, counts func() any) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("/admin/fault", fi.Handler())
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, counts()) })
	mux.Handle("/", fi.Wrap(api))
	return mux
}
