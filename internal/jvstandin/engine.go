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

// EngineOptions are the speed and the limits of an engine.
type EngineOptions struct {
	Name string
	// Slots is the maximum number of requests that run at a time.
	Slots int
	// QueueLimit is the maximum number of requests that wait for a slot; more are refused.
	QueueLimit int
	// TokenTime is the time to generate one token while a single request runs. BatchTokenTime
	// is added for each further request in the batch. PrefillTime is the time to process
	// 1,000 bytes of a prompt that are not cached.
	TokenTime      time.Duration
	BatchTokenTime time.Duration
	PrefillTime    time.Duration
	// LoadLag is the maximum age of a load report.
	LoadLag time.Duration
	// CacheBlocks is the capacity of the prefix cache, in blocks of 256 bytes.
	CacheBlocks int
	// Fenced makes the engine refuse orders whose fencing number is lower than the highest seen.
	Fenced bool
}

// Engine is a stand-in for a model engine with continuous batching.
type Engine struct {
	options  EngineOptions
	faults   *FaultInjector
	random   *jvchance.Source
	instance string

	mu         sync.Mutex
	running    int
	waiting    []*waiter
	cache      *cache
	lastReport jvtarget.Load
	// usage and cancels are by attempt ID; fence is the highest fencing number seen.
	usage   map[string]*jvengine.Usage
	cancels map[string]context.CancelFunc
	fence   uint64
	counts  EngineCounts
}

// waiter is a request that waits for a slot. The channel ready is closed when it gets one.
type waiter struct {
	priority int
	ready    chan struct{}
}

// EngineCounts are the operations that took effect at an engine.
type EngineCounts struct {
	Attempts int64 `json:"attempts"`
	// Completed counts the attempts that generated their last token.
	Completed int64 `json:"whole"`
	// Tokens are the prompt and output tokens used, by model.
	Tokens map[string]int64 `json:"tokens"`
	// CachedBytes counts prompt bytes found in the prefix cache.
	CachedBytes int64 `json:"cached"`
	// Orders counts the accepted orders, StaleOrders those with an outdated fencing number.
	Orders      int64 `json:"orders"`
	StaleOrders int64 `json:"stale"`
}

// NewEngine returns an engine.
func NewEngine(o EngineOptions, faults *FaultInjector, random *jvchance.Source) *Engine {
	return &Engine{
		options:  o,
		faults:   faults,
		random:   random,
		instance: random.ID(),
		cache:    newCache(o.CacheBlocks),
		usage:    map[string]*jvengine.Usage{},
		cancels:  map[string]context.CancelFunc{},
		counts:   EngineCounts{Tokens: map[string]int64{}},
	}
}

// Handler serves the engine's protocol, and its faults and counts under /admin/.
func (e *Engine) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/generate", e.generate)
	api.HandleFunc("POST /v1/cancel", e.cancel)
	api.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.load()) })
	api.HandleFunc("POST /v1/orders", e.order)
	return e.faults.Mount(api, func() any { return e.Counts() })
}

// Counts returns a copy of the engine's counts.
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

// load returns a load report, which is less than LoadLag old.
func (e *Engine) load() jvtarget.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.lastReport.ReportedAt) >= e.options.LoadLag {
		e.lastReport = jvtarget.Load{Busy: int64(e.running + len(e.waiting)), Instance: e.instance, ReportedAt: now}
	}
	return e.lastReport
}

// acquireSlot waits for a slot and reports whether the caller holds one. Waiters of higher
// priority come first, and first come, first served among equals.
func (e *Engine) acquireSlot(ctx context.Context, priority int) bool {
	e.mu.Lock()
	if e.running < e.options.Slots {
		e.running++
		e.mu.Unlock()
		return true
	}
	if len(e.waiting) >= e.options.QueueLimit {
		e.mu.Unlock()
		return false
	}
	added := &waiter{priority: priority, ready: make(chan struct{})}
	position := len(e.waiting)
	for position > 0 && e.waiting[position-1].priority < priority {
		position--
	}
	e.waiting = append(e.waiting[:position], append([]*waiter{added}, e.waiting[position:]...)...)
	e.mu.Unlock()
	select {
	case <-added.ready:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, w := range e.waiting {
		if w == added {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return false
		}
	}
	return true // The slot was assigned as ctx ended.
}

// releaseSlot passes the slot to the first waiter, or frees it.
func (e *Engine) releaseSlot() {
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
		http.Error(w, "the attempt can't be decoded", http.StatusBadRequest)
		return
	}
	if crash := e.faults.Current().CrashText; crash != "" && strings.Contains(string(data), crash) {
		os.Exit(3)
	}
	if e.faults.consume(func(f *Faults) *int64 { return &f.LoseResponses }) {
		w = discardWriter{}
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if !e.acquireSlot(ctx, a.Priority) {
		http.Error(w, "the queue is full", http.StatusTooManyRequests)
		return
	}
	defer e.releaseSlot()
	e.startAttempt(&a, cancel)
	e.writeAnswer(ctx, w, &a)
	if _, lost := w.(discardWriter); lost {
		panic(http.ErrAbortHandler)
	}
}

// startAttempt counts the prompt tokens, which are used even if the attempt fails, and takes
// the time that the prefill needs.
func (e *Engine) startAttempt(a *jvengine.Attempt, cancel context.CancelFunc) {
	prompt := int64(len(a.Messages)+3) / 4
	if a.Prefix != "" {
		prompt += int64(strings.Count(a.Prefix, " "))
	}
	e.mu.Lock()
	e.counts.Attempts++
	e.counts.Tokens[a.Model] += prompt
	e.usage[a.ID] = &jvengine.Usage{PromptTokens: prompt}
	e.cancels[a.ID] = cancel
	cached := e.cache.lookupAndInsert(a.Messages)
	e.counts.CachedBytes += int64(cached)
	e.mu.Unlock()
	time.Sleep(e.options.PrefillTime * time.Duration(len(a.Messages)-cached) / 1000)
}

func (e *Engine) writeAnswer(ctx context.Context, w http.ResponseWriter, a *jvengine.Attempt) {
	l := &lineWriter{w: w, id: a.ID, digest: sha256.New()}
	if e.faults.consume(func(f *Faults) *int64 { return &f.CrossAnswers }) {
		l.id = "crossed-" + a.ID
	}
	f := e.faults.Current()
	breaks := e.faults.consume(func(f *Faults) *int64 { return &f.BreakStreams })
	stalls := e.faults.consume(func(f *Faults) *int64 { return &f.StallStreams })
	tag, execution := PromptTag(a.Messages), ExecutionOf(a.Prefix, e.random.ID()[:tagLength])
	start := int64(strings.Count(a.Prefix, " "))
	total := min(AnswerLength(a.Messages, start+a.MaxOutput), start+a.MaxOutput)
	for i := start; i < total; i++ {
		time.Sleep(e.tokenTime())
		if ctx.Err() != nil {
			return
		}
		if breaks && i-start >= f.BreakAfterTokens {
			panic(http.ErrAbortHandler)
		}
		if stalls && i-start >= f.BreakAfterTokens {
			<-ctx.Done()
			return
		}
		e.countToken(a)
		l.writeText(TokenText(tag, execution, i))
	}
	e.mu.Lock()
	usage := *e.usage[a.ID]
	e.counts.Completed++
	e.mu.Unlock()
	l.writeEnd(usage)
}

// tokenTime returns the time that the next token takes at the current batch size.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.options.TokenTime + time.Duration(e.running-1)*e.options.BatchTokenTime
}

func (e *Engine) countToken(a *jvengine.Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Tokens[a.Model]++
	e.usage[a.ID].OutputTokens++
}

// cancel ends an attempt and responds with its usage.
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
	time.Sleep(e.tokenTime()) // The usage includes a token that is being generated.
	e.mu.Lock()
	usage := *e.usage[id]
	e.mu.Unlock()
	writeJSON(w, usage)
}

// Order is an order to load a model, an adapter or a version, or to change the role.
type Order struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fence is the fencing number; an engine accepts none lower than the highest it has seen.
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
		e.counts.StaleOrders++
		if e.options.Fenced {
			http.Error(w, fmt.Sprintf("fencing number %d is older than %d", o.Fence, e.fence), http.StatusConflict)
			return
		}
	}
	e.fence = max(e.fence, o.Fence)
	e.counts.Orders++
	writeJSON(w, o)
}

// lineWriter writes an answer as lines of the engine's protocol, and computes its digest.
type lineWriter struct {
	w      http.ResponseWriter
	id     string
	index  int64
	digest interface {
		io.Writer
		Sum([]byte) []byte
	}
}

func (l *lineWriter) writeText(t string) {
	_, _ = l.digest.Write([]byte(t))
	l.writeLine(jvengine.Line{Attempt: l.id, Index: l.index, Text: t})
}

func (l *lineWriter) writeEnd(u jvengine.Usage) {
	l.writeLine(jvengine.Line{Attempt: l.id, Index: l.index, Done: true, Usage: &u, Digest: hex.EncodeToString(l.digest.Sum(nil))})
}

func (l *lineWriter) writeLine(line jvengine.Line) {
	l.index++
	data, err := json.Marshal(line)
	if err != nil {
		return
	}
	_, _ = l.w.Write(append(data, '\n'))
	if f, ok := l.w.(http.Flusher); ok {
		f.Flush()
	}
}

// discardWriter is the response writer of an answer that is lost.
type discardWriter struct{}

// Header implements http.ResponseWriter.
func (discardWriter) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (discardWriter) WriteHeader(int) {}
