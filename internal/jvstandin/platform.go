package jvstandin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
)

// PlatformOptions are the bounds of the platform's services.
type PlatformOptions struct {
	// MaxEntries and Age bound what a stream keeps, Rate the appends a second, Lag the delay of the
	// VM list.
	MaxEntries int
	MaxAge     time.Duration
	AppendRate float64
	VMListLag  time.Duration
}

// Platform is the log and the VM list.
type Platform struct {
	options PlatformOptions
	faults  *FaultInjector

	mu       sync.Mutex
	streams  map[string]*Stream
	bucket   float64
	filled   time.Time
	vms      []jvplatform.VM
	shown    []jvplatform.VM
	changed  time.Time
	appends  int64
	rejected int64
	bytes    int64
}

// PlatformCounts are what the platform truly did.
type PlatformCounts struct {
	Appends  int64 `json:"appends"`
	Rejected int64 `json:"rejected"`
	Bytes    int64 `json:"bytes"`
}

// NewPlatform returns a platform with empty streams.
func NewPlatform(o PlatformOptions, faults *FaultInjector) *Platform {
	return &Platform{options: o, faults: faults, streams: map[string]*Stream{}, bucket: o.AppendRate, filled: time.Now()}
}

// Handler serves the published protocol, and the switches under /admin/.
func (p *Platform) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/streams/{stream}", p.append)
	api.HandleFunc("GET /v1/streams/{stream}", p.read)
	api.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.list()) })
	mux := p.faults.Mount(api, func() any { return p.Counts() })
	mux.HandleFunc("PUT /admin/vms", p.setVMs)
	return mux
}

// Counts returns what the platform did.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PlatformCounts{Appends: p.appends, Rejected: p.rejected, Bytes: p.bytes}
}

func (p *Platform) stream(name string) *Stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.streams[name]
	if s == nil {
		s = NewStream(p.options.MaxEntries, p.options.MaxAge)
		p.streams[name] = s
	}
	return s
}

// admit takes one append out of the rate limit.
func (p *Platform) admit(size int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.bucket = min(p.options.AppendRate, p.bucket+now.Sub(p.filled).Seconds()*p.options.AppendRate)
	p.filled = now
	if p.options.AppendRate > 0 && p.bucket < 1 {
		p.rejected++
		return false
	}
	p.bucket--
	p.appends++
	p.bytes += int64(size)
	return true
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.admit(len(data)) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	e := p.stream(r.PathValue("stream")).Append(data, time.Now())
	w.WriteHeader(http.StatusCreated)
	writeJSON(w, jvplatform.WireEntry{Offset: e.Offset, Time: e.Time})
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	page, err := p.stream(r.PathValue("stream")).Read(ctx, from)
	wire := jvplatform.WirePage{First: page.First, Next: page.Next, Entries: make([]jvplatform.WireEntry, len(page.Entries))}
	for i, e := range page.Entries {
		wire.Entries[i] = jvplatform.WireEntry(e)
	}
	if jvfault.KindOf[jvplatform.Kind](err) == jvplatform.KindHorizon {
		w.WriteHeader(http.StatusGone)
	}
	writeJSON(w, wire)
}

// setVMs changes the VM list; readers see it after the lag.
func (p *Platform) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []jvplatform.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.list()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.vms == nil {
		p.shown = vms
	}
	p.vms = vms
	p.changed = time.Now()
}

func (p *Platform) list() []jvplatform.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.changed) >= p.options.VMListLag {
		p.shown = p.vms
	}
	return p.shown
}
