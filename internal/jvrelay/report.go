package jvrelay

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvmeter"
	"github.com/jasminevale/jasminevale/internal/jvquarantine"
)

// outcomeStopping is the outcome of requests that did not run since this router stops.
const outcomeStopping = "stopping"

// Outcomes of requests without a problem of their own name, in log lines and metrics.
const (
	outcomeWhole = "whole"
	outcomeCut   = "cut"
	outcomeGone  = "gone"
)

// report writes the request's log line and records its metrics.
func (r *Relay) report(ctx context.Context, a *activeRequest, p *Problem) {
	now := r.options.Timer.Now()
	outcome := outcomeWhole
	switch {
	case p != nil && a.headersSent:
		outcome = outcomeCut
	case p != nil:
		outcome = p.Name
	case a.end == jvend.Broken && r.drained.Load():
		outcome = outcomeCut
	case a.end == jvend.Broken:
		outcome = outcomeGone
	}
	r.open.countEnd(outcome, p)
	r.recordDuration(a, now)
	values := []any{
		"request", a.request.ID, "outcome", outcome, "status", a.status, "route", a.route.Name, "version", a.configVersion,
		"age", a.configAge.Milliseconds(), "delay", a.delay.Milliseconds(),
		"workspace", a.workspace, "pool", a.pool, "target", a.target, "build", a.version, "via", a.via, "tries", a.attempts, "runs", a.possibleRuns,
		"events", a.eventsForwarded, "ms", now.Sub(a.request.ArrivedAt).Milliseconds(),
	}
	if a.headersSent {
		values = append(values, "framing", a.framing.String(), "end", a.end.String(), "protocol", a.request.Protocol)
		r.options.Meter.CountEnd(a.framing.String(), a.end.String(), a.request.Protocol)
	}
	if a.probed != "" {
		values = append(values, "probe", string(a.probed))
	}
	if !a.firstByteAt.IsZero() {
		values = append(values, "first", a.firstByteAt.Sub(a.request.ArrivedAt).Milliseconds())
	}
	r.options.Meter.CountOutcome(a.route.Name, outcome, a.status)
	jvmeter.Observe(r.options.Meter.Total, now.Sub(a.request.ArrivedAt))
	if !a.firstByteAt.IsZero() {
		jvmeter.Observe(r.options.Meter.FirstByte, a.firstByteAt.Sub(a.request.ArrivedAt))
	}
	if a.reserveWait > 0 {
		values = append(values, "used", a.used(), "uncounted", a.uncounted)
		jvmeter.Observe(r.options.Meter.ReserveWait, a.reserveWait)
		values = append(values, "reserved", a.reserveWait.Milliseconds())
	}
	if a.features.Request != (jvquarantine.Digest{}) {
		values = append(values, "digest", a.features.Request.String())
	}
	if a.request.Resumes != "" || a.request.LastEventID != "" {
		values = append(values, "resumes", a.request.Resumes, "after", a.request.LastEventID)
	}
	if a.hedge != "" {
		values = append(values, "hedge", a.hedge)
	}
	if a.cause != "" {
		values = append(values, "cause", a.cause)
	}
	if p != nil && p.RetryAfter > 0 {
		values = append(values, "retry", p.RetryAfter.Round(time.Millisecond).String())
	}
	if s := r.stop.Load(); s != nil && outcome == outcomeStopping {
		values = append(values, "wait", a.endsAt.Sub(now).Milliseconds(), "left", s.lastEnd.Sub(now).Milliseconds())
	}
	if ctx.Err() != nil {
		values = append(values, "caller", "left")
	}
	r.options.Logger.Info("request", values...)
}
