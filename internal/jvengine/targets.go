package jvengine

import (
	"context"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// Targets reaches engines and plain services.
type Targets interface {
	// Generate runs an attempt and passes each piece of text on as it comes. Where the answer
	// breaks off, the usage is what is known, 0 for unknown.
	Generate(ctx context.Context, target jvconfig.Target, a Attempt, sink func(text string)) (Usage, error)
	// Cancel ends an attempt and returns what it used, if the engine knows.
	Cancel(ctx context.Context, target jvconfig.Target, attempt string) (Usage, error)
	// Call passes a call to a plain service.
	Call(ctx context.Context, target jvconfig.Target, c Call) (Response, error)
	// Load asks a target for its load.
	Load(ctx context.Context, target jvconfig.Target) (jvtarget.Load, error)
}
