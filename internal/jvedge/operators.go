package jvedge

import (
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/jasminevale/jasminevale/internal/gen/operator"
	"github.com/jasminevale/jasminevale/internal/jvfleet"
)

// Operators implements the service of the operators' port.
type Operators struct {
	router *jvfleet.Router
	// stop starts a planned stop of the router and does not wait for its end.
	stop func()
}

// NewOperators returns the operators' service of a router; stop starts a planned stop.
func NewOperators(router *jvfleet.Router, stop func()) *Operators {
	return &Operators{router: router, stop: stop}
}

// Health implements operator.Service.
func (o *Operators) Health(context.Context) (string, error) { return "ok\n", nil }

// Ready implements operator.Service.
func (o *Operators) Ready(context.Context) (string, error) {
	if reason := o.router.NotReadyReason(); reason != "" {
		return "", operator.Unready(reason)
	}
	return "ready\n", nil
}

// Metrics implements operator.Service.
func (o *Operators) Metrics(context.Context) (*operator.MetricsResult, io.ReadCloser, error) {
	var b bytes.Buffer
	o.router.Meter().Write(&b)
	return &operator.MetricsResult{Content: "text/plain; version=0.0.4"}, io.NopCloser(&b), nil
}

// Dump implements operator.Service.
func (o *Operators) Dump(_ context.Context, p *operator.DumpPayload) (*operator.DumpResult, io.ReadCloser, error) {
	data, err := json.MarshalIndent(o.router.Dump(jvfleet.DumpQuery{Part: stringOrEmpty(p.Part), Request: stringOrEmpty(p.Request)}), "", "  ")
	if err != nil {
		return nil, nil, err
	}
	return &operator.DumpResult{Content: "application/json"}, io.NopCloser(bytes.NewReader(append(data, '\n'))), nil
}

// Stop implements operator.Service.
func (o *Operators) Stop(context.Context) (string, error) {
	o.stop()
	return "stopping\n", nil
}
