package jvstandin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvengine"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// EngineOptions are the speed and bounds of an engine.
type EngineOptions struct {
	Name  string
	Slots int
	// Queue is how many requests wait for a slot before the engine refuses.
	Queue int
	// Token is the time for one token of a lone request, Step what each further request in the
	// batch adds, Prefill the time for 1,000 bytes of a prompt that are not cached.
	Token   time.Duration
	Step    time.Duration
	Prefill time.Duration
	// Lag is how old a load report is.
	Lag time.Duration
	// Blocks is the size of the prefix cache, in blocks of 256 bytes.
	Blocks int
	// Fenced refuses orders that carry an older fencing number than one seen.
	Fenced bool
}

// Engine is a model engine that batches continuously.
type Engine struct {
	options  EngineOptions
	faults   *Switch
	chance   *jvchance.Source
	instance string

	mu       sync.Mutex
	running  int
	waiting  []*turn
	cache    *cache
	reported jvtarget.Load
	usage    map[string]*jvengine.Usage
	cancels  map[string]context.CancelFunc
	fence    uint64
	counts   EngineCounts
}

// turn is a request that waits for a slot.
type turn struct {
	priority int
	ready    chan struct{}
}

// EngineCounts are what an engine truly did.
type EngineCounts struct {
	Attempts int64 `json:"attempts"`
	Whole    int64 `json:"whole"`
	// Tokens are prompt and output by model.
	Tokens map[string]int64 `json:"tokens"`
	Cached int64            `json:"cached"`
	Orders int64            `json:"orders"`
	Stale  int64            `json:"stale"`
}

// NewEngine returns an engine.
func NewEngine(o EngineOptions, faults *Switch, chance *jvchance.Source) *Engine {
	return &Engine{
		options:  o,
		faults:   faults,
		chance:   chance,
		instance: chance.ID(),
		cache:    newCache(o.Blocks),
		usage:    map[string]*jvengine.Usage{},
		cancels:  map[string]context.CancelFunc{},
		counts:   EngineCounts{Tokens: map[string]int64{}},
	}
}

// Handler serves the engine's protocol, and the switches under /admin/.
func (e *Engine) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/generate", e.generate)
	api.HandleFunc("POST /v1/cancel", e.cancel)
	api.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.load()) })
	api.HandleFunc("POST /v1/orders", e.order)
	return e.faults.Mount(api, func() any { return e.Counts() })
}

// Counts returns what the engine did.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Tokens = map[string]int64{}
	for m, n := range e.counts.Tokens {
		c.Tokens[m] = n
	}
	return c
}

// load returns a report that is up to Lag old.
func (e *Engine) load() jvtarget.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.reported.ReportedAt) >= e.options.Lag {
		e.reported = jvtarget.Load{Busy: int64(e.running + len(e.waiting)), Instance: e.instance, ReportedAt: now}
	}
	return e.reported
}

// enter waits for a slot, in order of priority.
func (e *Engine) enter(ctx context.Context, priority int) bool {
	e.mu.Lock()
	if e.running < e.options.Slots {
		e.running++
		e.mu.Unlock()
		return true
	}
	if len(e.waiting) >= e.options.Queue {
		e.mu.Unlock()
		return false
	}
	t := &turn{priority: priority, ready: make(chan struct{})}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].priority < priority {
		at--
	}
	e.waiting = append(e.waiting[:at], append([]*turn{t}, e.waiting[at:]...)...)
	e.mu.Unlock()
	select {
	case <-t.ready:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, w := range e.waiting {
		if w == t {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return false
		}
	}
	return true // The slot came in the same moment.
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) > 0 {
		close(e.waiting[0].ready)
		e.waiting = e.waiting[1:]
		return
	}
	e.running--
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var a jvengine.Attempt
	if err == nil {
		err = json.Unmarshal(data, &a)
	}
	if err != nil || a.ID == "" || a.MaxOutput < 1 {
		http.Error(w, "the attempt can't be read", http.StatusBadRequest)
		return
	}
	if crash := e.faults.Now().Crash; crash != "" && strings.Contains(string(data), crash) {
		os.Exit(3)
	}
	if e.faults.take(func(f *Faults) *int64 { return &f.Lose }) {
		w = discard{}
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if !e.enter(ctx, a.Priority) {
		http.Error(w, "the queue is full", http.StatusTooManyRequests)
		return
	}
	defer e.leave()
	e.begin(&a, cancel)
	e.write(ctx, w, &a)
	if _, lost := w.(discard); lost {
		panic(http.ErrAbortHandler)
	}
}

// begin counts the prompt, which is used whatever becomes of the answer.
func (e *Engine) begin(a *jvengine.Attempt, cancel context.CancelFunc) {
	prompt := int64(len(a.Messages)+3) / 4
	if a.Prefix != "" {
		prompt += int64(strings.Count(a.Prefix, " "))
	}
	e.mu.Lock()
	e.counts.Attempts++
	e.counts.Tokens[a.Model] += prompt
	e.usage[a.ID] = &jvengine.Usage{PromptTokens: prompt}
	e.cancels[a.ID] = cancel
	cached := e.cache.use(a.Messages)
	e.counts.Cached += int64(cached)
	e.mu.Unlock()
	time.Sleep(e.options.Prefill * time.Duration(len(a.Messages)-cached) / 1000)
}

func (e *Engine) write(ctx context.Context, w http.ResponseWriter, a *jvengine.Attempt) {
	l := &lines{w: w, id: a.ID, digest: sha256.New()}
	if e.faults.take(func(f *Faults) *int64 { return &f.Cross }) {
		l.id = "crossed-" + a.ID
	}
	f := e.faults.Now()
	breaks := e.faults.take(func(f *Faults) *int64 { return &f.Break })
	stalls := e.faults.take(func(f *Faults) *int64 { return &f.Stall })
	tag, run := PromptTag(a.Messages), RunOf(a.Prefix, e.chance.ID()[:tagSize])
	start := int64(strings.Count(a.Prefix, " "))
	total := min(AnswerLength(a.Messages, start+a.MaxOutput), start+a.MaxOutput)
	for i := start; i < total; i++ {
		time.Sleep(e.step())
		if ctx.Err() != nil {
			return
		}
		if breaks && i-start >= f.BreakAt {
			panic(http.ErrAbortHandler)
		}
		if stalls && i-start >= f.BreakAt {
			<-ctx.Done()
			return
		}
		e.count(a)
		l.text(Token(tag, run, i))
	}
	e.mu.Lock()
	usage := *e.usage[a.ID]
	e.counts.Whole++
	e.mu.Unlock()
	l.end(usage)
}

// step is the time for the next token at the present size of the batch.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.options.Token + time.Duration(e.running-1)*e.options.Step
}

func (e *Engine) count(a *jvengine.Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Tokens[a.Model]++
	e.usage[a.ID].OutputTokens++
}

// cancel ends an attempt and tells what it used.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("attempt")
	e.mu.Lock()
	cancel := e.cancels[id]
	e.mu.Unlock()
	if cancel == nil {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	cancel()
	time.Sleep(e.step()) // A token that is being made is still counted.
	e.mu.Lock()
	usage := *e.usage[id]
	e.mu.Unlock()
	writeJSON(w, usage)
}

// Order is an order to load a model, adapter or version, or to change role.
type Order struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Fence uint64 `json:"fence"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		e.counts.Stale++
		if e.options.Fenced {
			http.Error(w, fmt.Sprintf("fencing number %d is older than %d", o.Fence, e.fence), http.StatusConflict)
			return
		}
	}
	e.fence = max(e.fence, o.Fence)
	e.counts.Orders++
	writeJSON(w, o)
}

// lines writes an answer as the engine's protocol has it.
type lines struct {
	w      http.ResponseWriter
	id     string
	next   int64
	digest interface {
		io.Writer
		Sum([]byte) []byte
	}
}

func (l *lines) text(t string) {
	_, _ = l.digest.Write([]byte(t))
	l.send(jvengine.Line{Attempt: l.id, Index: l.next, Text: t})
}

func (l *lines) end(u jvengine.Usage) {
	l.send(jvengine.Line{Attempt: l.id, Index: l.next, Done: true, Usage: &u, Digest: hex.EncodeToString(l.digest.Sum(nil))})
}

func (l *lines) send(line jvengine.Line) {
	l.next++
	data, err := json.Marshal(line)
	if err != nil {
		return
	}
	_, _ = l.w.Write(append(data, '\n'))
	if f, ok := l.w.(http.Flusher); ok {
		f.Flush()
	}
}

// discard takes an answer that is lost.
type discard struct{}

// Header implements http.ResponseWriter.
func (discard) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (discard) WriteHeader(int) {}
