package jvengine

import (
	"context"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// Targets is the client interface to model engines and plain services.
type Targets interface {
	// Generate runs an attempt and passes each piece of text to sink as it arrives. On an error the
	// usage is what the engine reported, or 0 if it reported none.
	Generate(ctx context.Context, target jvconfig.Target, a Attempt, sink func(text string)) (Usage, error)
	// Cancel ends an attempt and returns the usage that the engine reports.
	Cancel(ctx context.Context, target jvconfig.Target, attempt string) (Usage, error)
	// Call sends a call to a plain service.
	Call(ctx context.Context, target jvconfig.Target, c Call) (Response, error)
	// Load requests a target's load report. An error of KindInvalid means that it responds with something else.
	Load(ctx context.Context, target jvconfig.Target) (jvtarget.Load, error)
}
