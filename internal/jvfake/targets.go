package jvfake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvengine"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvstandin"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// engine is one model engine.
type engine struct {
	instance int
	busy     int64
	down     bool
	usage    map[string]*jvengine.Usage
	stop     map[string]context.CancelFunc
	// crash is a text on which the engine crashes, stall a number of answers that fall silent.
	crash string
	stall int
	cross int
}

// service is one plain service.
type service struct {
	instance int
	down     bool
	crash    string
	busy     int64
}

// targetsOf is engines and services as one VM reaches them.
type targetsOf struct {
	world *World
	vm    string
}

// engineOf returns an engine by its address, which the fakes use as its name.
func (w *World) engineOf(name string) *engine {
	e := w.engines[name]
	if e == nil {
		e = &engine{instance: 1, usage: map[string]*jvengine.Usage{}, stop: map[string]context.CancelFunc{}}
		w.engines[name] = e
	}
	return e
}

func (w *World) serviceOf(name string) *service {
	s := w.calls[name]
	if s == nil {
		s = &service{instance: 1}
		w.calls[name] = s
	}
	return s
}

// CrashOn makes a target crash, and come back as a new instance, on each request with a text.
func (w *World) CrashOn(target, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engineOf(target).crash = text
	w.serviceOf(target).crash = text
}

// Crash ends an engine with all that runs on it; it is back at once as a new instance that
// knows nothing.
func (w *World) Crash(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash(w.engineOf(target))
	w.serviceOf(target).instance++
}

func (w *World) crash(e *engine) {
	e.instance++
	for _, stop := range e.stop {
		stop()
	}
	e.usage = map[string]*jvengine.Usage{}
	e.stop = map[string]context.CancelFunc{}
}

// Down makes a target refuse connections until Heal.
func (w *World) Down(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engineOf(target).down = true
	w.serviceOf(target).down = true
}

// Stall makes an engine's next answers fall silent in the middle.
func (w *World) Stall(target string, answers int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engineOf(target).stall = answers
}

// Cross makes an engine's next answers come under another attempt's id.
func (w *World) Cross(target string, answers int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engineOf(target).cross = answers
}

// Runs returns how often the call of a key ran.
func (w *World) Runs(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key]
}

// Tokens returns what engines truly used for a model.
func (w *World) Tokens(model string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tokens[model]
}

func (t *targetsOf) unsent(op string, err error) error {
	return jvfault.New(op, jvengine.KindUnsent, err)
}

func (t *targetsOf) broken(ctx context.Context, op string, err error) error {
	if ctx.Err() != nil {
		return jvfault.New(op, jvengine.KindCanceled, ctx.Err())
	}
	return jvfault.New(op, jvengine.KindBroken, err)
}

// Generate implements jvengine.Targets.
func (t *targetsOf) Generate(ctx context.Context, target jvconfig.Target, a jvengine.Attempt, sink func(text string)) (jvengine.Usage, error) {
	const op = "generate"
	w := t.world
	if err := w.pass(ctx, Event{VM: t.vm, Step: StepGenerate, Target: target.Name}); err != nil {
		return jvengine.Usage{}, t.unsent(op, err)
	}
	if err := w.reach(ctx, t.vm, "targets"); err != nil {
		return jvengine.Usage{}, t.unsent(op, err)
	}
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	e, stalls, crossed, err := w.begin(target.Name, a, cancel)
	if err != nil {
		return jvengine.Usage{}, err
	}
	defer func() {
		w.mu.Lock()
		e.busy--
		w.mu.Unlock()
	}()
	if crossed {
		return jvengine.Usage{}, jvfault.Newf(op, jvengine.KindCrossed, "a line of another attempt came")
	}
	start := int64(strings.Count(a.Prefix, " "))
	total := jvstandin.AnswerLength(a.Messages, start+a.MaxOutput)
	tag, nonce := jvstandin.PromptTag(a.Messages), strings.ReplaceAll(a.ID, ".", "_")
	if w.tells(LieOtherAnswer) {
		tag = jvstandin.PromptTag([]byte("another"))
	}
	if w.tells(LieShortAnswer) {
		total--
	}
	for i := start; i < total; i++ {
		if w.sleep(run, w.tokenTime()) != nil {
			return jvengine.Usage{}, t.broken(ctx, op, errCut)
		}
		w.count(e, a)
		if err := w.pass(run, Event{VM: t.vm, Step: StepToken, Token: i, Target: target.Name}); err != nil {
			return jvengine.Usage{}, t.broken(ctx, op, err)
		}
		if stalls && i >= start+(total-start)/2 {
			_ = w.sleep(run, cutTimeout)
			return jvengine.Usage{}, t.broken(ctx, op, errCut)
		}
		if run.Err() != nil {
			return jvengine.Usage{}, t.broken(ctx, op, errCut)
		}
		sink(jvstandin.Token(tag, jvstandin.RunOf(a.Prefix, nonce), i))
	}
	if err := w.pass(run, Event{VM: t.vm, Step: StepDone, Target: target.Name}); err != nil || run.Err() != nil {
		return jvengine.Usage{}, t.broken(ctx, op, errCut)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return *w.usageOf(e, a.ID), nil
}

// begin counts an attempt's prompt in.
func (w *World) begin(name string, a jvengine.Attempt, cancel context.CancelFunc) (e *engine, stalls, crossed bool, err error) {
	const op = "generate"
	w.mu.Lock()
	defer w.mu.Unlock()
	e = w.engineOf(name)
	if e.down {
		return e, false, false, jvfault.New(op, jvengine.KindUnsent, errCut)
	}
	e.busy++
	if e.crash != "" && strings.Contains(string(a.Messages), e.crash) {
		e.stop[a.ID] = cancel
		w.crash(e)
		e.busy--
		return e, false, false, jvfault.New(op, jvengine.KindBroken, errCut)
	}
	prompt := int64(len(a.Messages)+3)/4 + int64(strings.Count(a.Prefix, " "))
	w.tokens[a.Model] += prompt
	w.usageOf(e, a.ID).PromptTokens = prompt
	e.stop[a.ID] = cancel
	stalls, crossed = e.stall > 0, e.cross > 0
	e.stall = max(0, e.stall-1)
	e.cross = max(0, e.cross-1)
	return e, stalls, crossed, nil
}

func (w *World) usageOf(e *engine, id string) *jvengine.Usage {
	if e.usage[id] == nil {
		e.usage[id] = &jvengine.Usage{}
	}
	return e.usage[id]
}

func (w *World) count(e *engine, a jvengine.Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens[a.Model]++
	if w.lie == LieLargeUse {
		w.tokens[a.Model] += 1000
	}
	w.usageOf(e, a.ID).OutputTokens++
}

// Cancel implements jvengine.Targets.
func (t *targetsOf) Cancel(ctx context.Context, target jvconfig.Target, attempt string) (jvengine.Usage, error) {
	const op = "cancel"
	w := t.world
	if err := w.pass(ctx, Event{VM: t.vm, Step: "cancel"}); err != nil {
		return jvengine.Usage{}, t.unsent(op, err)
	}
	if err := w.reach(ctx, t.vm, "targets"); err != nil {
		return jvengine.Usage{}, t.unsent(op, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engineOf(target.Name)
	if e.down {
		return jvengine.Usage{}, t.unsent(op, errCut)
	}
	u := e.usage[attempt]
	if u == nil {
		return jvengine.Usage{}, jvfault.Newf(op, jvengine.KindInvalid, "no such attempt")
	}
	if stop := e.stop[attempt]; stop != nil {
		stop()
	}
	return *u, nil
}

// Call implements jvengine.Targets.
func (t *targetsOf) Call(ctx context.Context, target jvconfig.Target, c jvengine.Call) (jvengine.Response, error) {
	const op = "call"
	w := t.world
	if err := w.pass(ctx, Event{VM: t.vm, Step: StepCall, Target: target.Name}); err != nil {
		return jvengine.Response{}, t.unsent(op, err)
	}
	if err := w.reach(ctx, t.vm, "targets"); err != nil {
		return jvengine.Response{}, t.unsent(op, err)
	}
	w.mu.Lock()
	s := w.serviceOf(target.Name)
	switch {
	case s.down:
		w.mu.Unlock()
		return jvengine.Response{}, t.unsent(op, errCut)
	case s.crash != "" && strings.Contains(string(c.Body), s.crash):
		s.instance++
		w.mu.Unlock()
		return jvengine.Response{}, t.broken(ctx, op, errCut)
	case c.Method != http.MethodGet:
		w.runs[c.Key]++
		if w.lie == LieCallTwice {
			w.runs[c.Key]++
		}
	}
	w.mu.Unlock()
	_ = w.sleep(ctx, callTime)
	if err := w.pass(ctx, Event{VM: t.vm, Step: StepCalled, Target: target.Name}); err != nil {
		return jvengine.Response{}, t.broken(ctx, op, err)
	}
	if err := w.reach(ctx, t.vm, "targets"); err != nil {
		return jvengine.Response{}, t.broken(ctx, op, err)
	}
	body, err := json.Marshal(jvstandin.ServiceAnswer{Path: c.Path, Key: c.Key, Echo: string(c.Body)})
	if err != nil {
		return jvengine.Response{}, t.broken(ctx, op, err)
	}
	return jvengine.Response{Status: http.StatusOK, ContentType: "application/json", Body: body}, nil
}

// Load implements jvengine.Targets.
func (t *targetsOf) Load(ctx context.Context, target jvconfig.Target) (jvtarget.Load, error) {
	const op = "read load"
	w := t.world
	if err := w.pass(ctx, Event{VM: t.vm, Step: "load"}); err != nil {
		return jvtarget.Load{}, t.unsent(op, err)
	}
	if err := w.reach(ctx, t.vm, "targets"); err != nil {
		return jvtarget.Load{}, t.broken(ctx, op, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e, s := w.engineOf(target.Name), w.serviceOf(target.Name)
	if e.down || s.down {
		return jvtarget.Load{}, t.unsent(op, errCut)
	}
	return jvtarget.Load{Busy: e.busy + s.busy, Instance: fmt.Sprint(e.instance, ".", s.instance), ReportedAt: w.Timer.Now()}, nil
}
