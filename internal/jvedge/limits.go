package jvedge

import "time"

// Limits are the limits that one port enforces on callers.
type Limits struct {
	// MaxBodyBytes limits a request's body, MaxHeaderBytes its header.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// ReadTimeout limits the time in which a caller sends a request, WriteTimeout the time in which it
	// accepts one write of a response, IdleTimeout the time that an unused connection is kept open.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
	// MaxConnections limits the open connections of one port.
	MaxConnections int
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:   4 << 20,
		MaxHeaderBytes: 16 << 10,
		ReadTimeout:    time.Minute,
		WriteTimeout:   time.Minute,
		IdleTimeout:    2 * time.Minute,
		MaxConnections: 8192,
	}
}
