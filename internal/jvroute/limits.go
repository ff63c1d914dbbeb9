package jvroute

import "time"

// Limits bound what a caller may send and how long it may take or stay idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
