package jvrelay

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvmeter"
)

// log writes the line by which a request's way is explained.
func (r *Relay) log(ctx context.Context, f *flight, p *Problem) {
	now := r.options.Timer.Now()
	outcome := "whole"
	switch {
	case p != nil && f.begun:
		outcome = "cut"
	case p != nil:
		outcome = p.Name
	case !f.whole:
		outcome = "gone"
	}
	values := []any{
		"request", f.request.ID, "outcome", outcome, "status", f.status, "route", f.route.Name, "version", f.version,
		"workspace", f.workspace, "pool", f.pool, "target", f.target, "tries", f.tries, "runs", f.runs,
		"events", f.events, "ms", now.Sub(f.request.ArrivedAt).Milliseconds(),
	}
	if !f.first.IsZero() {
		values = append(values, "first", f.first.Sub(f.request.ArrivedAt).Milliseconds())
	}
	r.options.Meter.Outcome(f.route.Name, outcome, f.status)
	jvmeter.Observe(r.options.Meter.Total, now.Sub(f.request.ArrivedAt))
	if !f.first.IsZero() {
		jvmeter.Observe(r.options.Meter.First, f.first.Sub(f.request.ArrivedAt))
	}
	if f.reserved > 0 {
		values = append(values, "used", f.used())
		jvmeter.Observe(r.options.Meter.Reserve, f.reserved)
		values = append(values, "reserved", f.reserved.Milliseconds())
	}
	if f.cause != "" {
		values = append(values, "cause", f.cause)
	}
	if p != nil && p.RetryAfter > 0 {
		values = append(values, "retry", p.RetryAfter.Round(time.Millisecond).String())
	}
	if ctx.Err() != nil {
		values = append(values, "caller", "left")
	}
	r.options.Logger.Info("request", values...)
}
