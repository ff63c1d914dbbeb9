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

// PlatformOptions are the limits of the platform's services.
type PlatformOptions struct {
	// MaxEntries and MaxAge bound the retention of a stream. AppendRate is the limit of appends
	// per second, 0 for none. VMListLag is the delay until readers see a changed VM list.
	MaxEntries int
	MaxAge     time.Duration
	AppendRate float64
	VMListLag  time.Duration
}

// Platform is a stand-in for the log and the VM list.
type Platform struct {
	options PlatformOptions
	faults  *FaultInjector

	mu      sync.Mutex
	streams map[string]*Stream
	// allowance is the number of appends that the rate limit's token bucket held at refilledAt.
	allowance  float64
	refilledAt time.Time
	// vms is the VM list, changed at changedAt; visible is the list that readers see.
	vms       []jvplatform.VM
	visible   []jvplatform.VM
	changedAt time.Time
	appends   int64
	rejected  int64
	bytes     int64
}

// PlatformCounts are the appends that took effect, their bytes, and the appends rejected.
type PlatformCounts struct {
	Appends  int64 `json:"appends"`
	Rejected int64 `json:"rejected"`
	Bytes    int64 `json:"bytes"`
}

// NewPlatform returns a platform with empty streams.
func NewPlatform(o PlatformOptions, faults *FaultInjector) *Platform {
	return &Platform{options: o, faults: faults, streams: map[string]*Stream{}, allowance: o.AppendRate, refilledAt: time.Now()}
}

// Handler serves the platform's protocol, and its faults, counts and VM list under /admin/.
func (p *Platform) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/streams/{stream}", p.append)
	api.HandleFunc("GET /v1/streams/{stream}", p.read)
	api.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.visibleVMs()) })
	mux := p.faults.Mount(api, func() any { return p.Counts() })
	mux.HandleFunc("PUT /admin/vms", p.setVMs)
	return mux
}

// Counts returns the platform's counts.
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

// admit reports whether the rate limit, a token bucket, admits an append of size bytes, and
// counts it as appended or rejected.
func (p *Platform) admit(size int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.allowance = min(p.options.AppendRate, p.allowance+now.Sub(p.refilledAt).Seconds()*p.options.AppendRate)
	p.refilledAt = now
	if p.options.AppendRate > 0 && p.allowance < 1 {
		p.rejected++
		return false
	}
	p.allowance--
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

// setVMs replaces the VM list. Readers see the first list at once and later ones after
// VMListLag.
func (p *Platform) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []jvplatform.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.visibleVMs()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.vms == nil {
		p.visible = vms
	}
	p.vms = vms
	p.changedAt = time.Now()
}

// visibleVMs returns the VM list as readers see it.
func (p *Platform) visibleVMs() []jvplatform.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.changedAt) >= p.options.VMListLag {
		p.visible = p.vms
	}
	return p.visible
}
