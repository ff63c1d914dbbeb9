package jvrelay

import "github.com/jasminevale/jasminevale/internal/jvconfig"

// Entry is a target's own entry in the list of targets.
type Entry struct {
	Pool   string
	Target jvconfig.Target
	// Leaving is true once the target accepts no new requests.
	Leaving bool
	// StartedAtMillis is the start of the target's process, in Unix milliseconds of its own clock.
	StartedAtMillis int64
}
