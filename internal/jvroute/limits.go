package jvroute

import "time"

// Limits are the limits on callers' requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout limits the time to read a request's headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle between requests.
	IdleTimeout time.Duration
}
