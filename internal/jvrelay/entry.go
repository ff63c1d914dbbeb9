package jvrelay

import "github.com/jasminevale/jasminevale/internal/jvconfig"

// Entry is what a target says of itself in the list of targets.
type Entry struct {
	Pool   string
	Target jvconfig.Target
	// Leaving is true once the target takes no new work.
	Leaving bool
	// StartedAtMillis is when the target's process started, in Unix milliseconds of its own clock.
	StartedAtMillis int64
}
