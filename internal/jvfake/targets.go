package jvfake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvengine"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvstandin"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// engine is the state of a model engine.
type engine struct {
	// instance is the number of the current start, from 1; busy is the number of attempts in progress.
	instance int
	busy     int64
	down     bool
	// usage and cancels are by attempt ID.
	usage   map[string]*jvengine.Usage
	cancels map[string]context.CancelFunc
	// crash makes the engine crash on requests that contain this text. stallAnswers and
	// crossAnswers are the numbers of next answers that stall, or that carry another
	// attempt's ID.
	crash        string
	stallAnswers int
	crossAnswers int
}

// service is the state of a plain service.
type service struct {
	instance int
	down     bool
	crash    string
	busy     int64
}

// vmTargets is one VM's access to engines and services.
type vmTargets struct {
	sim *Simulation
	vm  string
}

// engineOf returns the engine of a name, and creates it at its first use. sm.mu must be
// held.
func (sm *Simulation) engineOf(name string) *engine {
	e := sm.engines[name]
	if e == nil {
		e = &engine{instance: 1, usage: map[string]*jvengine.Usage{}, cancels: map[string]context.CancelFunc{}}
		sm.engines[name] = e
	}
	return e
}

// serviceOf returns the service of a name, and creates it at its first use. sm.mu must be
// held.
func (sm *Simulation) serviceOf(name string) *service {
	s := sm.services[name]
	if s == nil {
		s = &service{instance: 1}
		sm.services[name] = s
	}
	return s
}

// CrashOn makes a target crash, and restart as a new instance, on each request that contains
// text.
func (sm *Simulation) CrashOn(target, text string) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.engineOf(target).crash = text
	sm.serviceOf(target).crash = text
}

// Crash restarts a target at once as a new instance. All attempts on an engine fail, and its
// usage counts are lost.
func (sm *Simulation) Crash(target string) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.crashEngine(sm.engineOf(target))
	sm.serviceOf(target).instance++
}

// crashEngine ends all attempts on an engine. sm.mu must be held.
func (sm *Simulation) crashEngine(e *engine) {
	e.instance++
	for _, cancel := range e.cancels {
		cancel()
	}
	e.usage = map[string]*jvengine.Usage{}
	e.cancels = map[string]context.CancelFunc{}
}

// TakeDown makes a target refuse connections until Heal.
func (sm *Simulation) TakeDown(target string) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.engineOf(target).down = true
	sm.serviceOf(target).down = true
}

// StallAnswers makes an engine's next answers stop after half of their tokens, with the
// connection left open.
func (sm *Simulation) StallAnswers(target string, answers int) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.engineOf(target).stallAnswers = answers
}

// CrossAnswers makes an engine's next answers carry another attempt's ID.
func (sm *Simulation) CrossAnswers(target string, answers int) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.engineOf(target).crossAnswers = answers
}

// Executions returns the number of times that the call of a key was executed.
func (sm *Simulation) Executions(key string) int {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.executions[key]
}

// UsedTokens returns the tokens that all engines used for a model.
func (sm *Simulation) UsedTokens(model string) int64 {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.usedTokens[model]
}

// unsentError classifies the failure of an exchange that had no effect.
func (t *vmTargets) unsentError(op string, err error) error {
	return jvfault.New(op, jvengine.KindUnsent, err)
}

// brokenError classifies the failure of an exchange that may have taken effect.
func (t *vmTargets) brokenError(ctx context.Context, op string, err error) error {
	if ctx.Err() != nil {
		return jvfault.New(op, jvengine.KindCanceled, ctx.Err())
	}
	return jvfault.New(op, jvengine.KindBroken, err)
}

// Generate implements jvengine.Targets.
func (t *vmTargets) Generate(ctx context.Context, target jvconfig.Target, a jvengine.Attempt, sink func(text string)) (jvengine.Usage, error) {
	const op = "generate"
	sm := t.sim
	if err := sm.runStep(ctx, Event{VM: t.vm, Step: StepGenerate, Target: target.Name}); err != nil {
		return jvengine.Usage{}, t.unsentError(op, err)
	}
	if err := sm.checkReachable(ctx, t.vm, "targets"); err != nil {
		return jvengine.Usage{}, t.unsentError(op, err)
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	e, stalled, crossed, err := sm.startAttempt(target.Name, a, cancel)
	if err != nil {
		return jvengine.Usage{}, err
	}
	defer func() {
		sm.mu.Lock()
		e.busy--
		sm.mu.Unlock()
	}()
	if crossed {
		return jvengine.Usage{}, jvfault.Newf(op, jvengine.KindCrossed, "received a line of another attempt")
	}
	start := int64(strings.Count(a.Prefix, " "))
	total := jvstandin.AnswerLength(a.Messages, start+a.MaxOutput)
	tag, execution := jvstandin.PromptTag(a.Messages), strings.ReplaceAll(a.ID, ".", "_")
	if sm.hasMutant(MutantWrongAnswer) {
		tag = jvstandin.PromptTag([]byte("another"))
	}
	if sm.hasMutant(MutantShortAnswer) {
		total--
	}
	for i := start; i < total; i++ {
		if sm.sleep(attemptCtx, sm.currentTokenTime()) != nil {
			return jvengine.Usage{}, t.brokenError(ctx, op, errUnreachable)
		}
		sm.countToken(e, a)
		if err := sm.runStep(attemptCtx, Event{VM: t.vm, Step: StepToken, TokenIndex: i, Target: target.Name}); err != nil {
			return jvengine.Usage{}, t.brokenError(ctx, op, err)
		}
		if stalled && i >= start+(total-start)/2 {
			_ = sm.sleep(attemptCtx, partitionTimeout)
			return jvengine.Usage{}, t.brokenError(ctx, op, errUnreachable)
		}
		if attemptCtx.Err() != nil {
			return jvengine.Usage{}, t.brokenError(ctx, op, errUnreachable)
		}
		sink(jvstandin.TokenText(tag, jvstandin.ExecutionOf(a.Prefix, execution), i))
	}
	if err := sm.runStep(attemptCtx, Event{VM: t.vm, Step: StepDone, Target: target.Name}); err != nil || attemptCtx.Err() != nil {
		return jvengine.Usage{}, t.brokenError(ctx, op, errUnreachable)
	}
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return *sm.usageOf(e, a.ID), nil
}

// startAttempt registers an attempt at an engine, counts its prompt tokens, and reports whether
// its answer is to stall or to carry another attempt's ID.
func (sm *Simulation) startAttempt(name string, a jvengine.Attempt, cancel context.CancelFunc) (e *engine, stalled, crossed bool, err error) {
	const op = "generate"
	sm.mu.Lock()
	defer sm.mu.Unlock()
	e = sm.engineOf(name)
	if e.down {
		return e, false, false, jvfault.New(op, jvengine.KindUnsent, errUnreachable)
	}
	e.busy++
	if e.crash != "" && strings.Contains(string(a.Messages), e.crash) {
		e.cancels[a.ID] = cancel
		sm.crashEngine(e)
		e.busy--
		return e, false, false, jvfault.New(op, jvengine.KindBroken, errUnreachable)
	}
	prompt := int64(len(a.Messages)+3)/4 + int64(strings.Count(a.Prefix, " "))
	sm.usedTokens[a.Model] += prompt
	sm.usageOf(e, a.ID).PromptTokens = prompt
	e.cancels[a.ID] = cancel
	stalled, crossed = e.stallAnswers > 0, e.crossAnswers > 0
	e.stallAnswers = max(0, e.stallAnswers-1)
	e.crossAnswers = max(0, e.crossAnswers-1)
	return e, stalled, crossed, nil
}

// usageOf returns the usage of an attempt. sm.mu must be held.
func (sm *Simulation) usageOf(e *engine, id string) *jvengine.Usage {
	if e.usage[id] == nil {
		e.usage[id] = &jvengine.Usage{}
	}
	return e.usage[id]
}

// countToken counts one output token of an attempt.
func (sm *Simulation) countToken(e *engine, a jvengine.Attempt) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.usedTokens[a.Model]++
	if sm.mutant == MutantExcessUsage {
		sm.usedTokens[a.Model] += 1000
	}
	sm.usageOf(e, a.ID).OutputTokens++
}

// Cancel implements jvengine.Targets.
func (t *vmTargets) Cancel(ctx context.Context, target jvconfig.Target, attempt string) (jvengine.Usage, error) {
	const op = "cancel"
	sm := t.sim
	if err := sm.runStep(ctx, Event{VM: t.vm, Step: "cancel"}); err != nil {
		return jvengine.Usage{}, t.unsentError(op, err)
	}
	if err := sm.checkReachable(ctx, t.vm, "targets"); err != nil {
		return jvengine.Usage{}, t.unsentError(op, err)
	}
	sm.mu.Lock()
	defer sm.mu.Unlock()
	e := sm.engineOf(target.Name)
	if e.down {
		return jvengine.Usage{}, t.unsentError(op, errUnreachable)
	}
	u := e.usage[attempt]
	if u == nil {
		return jvengine.Usage{}, jvfault.Newf(op, jvengine.KindInvalid, "no such attempt")
	}
	if cancel := e.cancels[attempt]; cancel != nil {
		cancel()
	}
	return *u, nil
}

// Call implements jvengine.Targets.
func (t *vmTargets) Call(ctx context.Context, target jvconfig.Target, c jvengine.Call) (jvengine.Response, error) {
	const op = "call"
	sm := t.sim
	if err := sm.runStep(ctx, Event{VM: t.vm, Step: StepCall, Target: target.Name}); err != nil {
		return jvengine.Response{}, t.unsentError(op, err)
	}
	if err := sm.checkReachable(ctx, t.vm, "targets"); err != nil {
		return jvengine.Response{}, t.unsentError(op, err)
	}
	sm.mu.Lock()
	s := sm.serviceOf(target.Name)
	switch {
	case s.down:
		sm.mu.Unlock()
		return jvengine.Response{}, t.unsentError(op, errUnreachable)
	case s.crash != "" && strings.Contains(string(c.Body), s.crash):
		s.instance++
		sm.mu.Unlock()
		return jvengine.Response{}, t.brokenError(ctx, op, errUnreachable)
	case c.Method != http.MethodGet:
		sm.executions[c.Key]++
		if sm.mutant == MutantDuplicateCall {
			sm.executions[c.Key]++
		}
	}
	sm.mu.Unlock()
	_ = sm.sleep(ctx, callTime)
	if err := sm.runStep(ctx, Event{VM: t.vm, Step: StepCalled, Target: target.Name}); err != nil {
		return jvengine.Response{}, t.brokenError(ctx, op, err)
	}
	if err := sm.checkReachable(ctx, t.vm, "targets"); err != nil {
		return jvengine.Response{}, t.brokenError(ctx, op, err)
	}
	body, err := json.Marshal(jvstandin.ServiceResponse{Path: c.Path, Key: c.Key, Echo: string(c.Body)})
	if err != nil {
		return jvengine.Response{}, t.brokenError(ctx, op, err)
	}
	return jvengine.Response{Status: http.StatusOK, ContentType: "application/json", Body: body, End: jvend.Proven}, nil
}

// Load implements jvengine.Targets.
func (t *vmTargets) Load(ctx context.Context, target jvconfig.Target) (jvtarget.Load, error) {
	const op = "read load"
	sm := t.sim
	if err := sm.runStep(ctx, Event{VM: t.vm, Step: "load"}); err != nil {
		return jvtarget.Load{}, t.unsentError(op, err)
	}
	if err := sm.checkReachable(ctx, t.vm, "targets"); err != nil {
		return jvtarget.Load{}, t.brokenError(ctx, op, err)
	}
	sm.mu.Lock()
	defer sm.mu.Unlock()
	e, s := sm.engineOf(target.Name), sm.serviceOf(target.Name)
	if e.down || s.down {
		return jvtarget.Load{}, t.unsentError(op, errUnreachable)
	}
	return jvtarget.Load{Busy: e.busy + s.busy, Instance: fmt.Sprint(e.instance, ".", s.instance), ReportedAt: sm.Timer.Now()}, nil
}
