package jvedge

import "time"

// Limits bound what one caller may take.
type Limits struct {
	// MaxBodyBytes is the largest request body in bytes, Header the largest header.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// ReadTimeout is how long a caller may take to send a request, Write how long one write of an
	// answer may stall, Idle how long an unused connection is kept.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
	// MaxConnections is the number of connections on one port.
	MaxConnections int
}

// DefaultLimits returns the limits of this release.
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
