package jvpressure

import (
	"errors"
	"syscall"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// Kind is the class of a failure, by what was short.
type Kind string

// Kinds of failures.
const (
	// KindDescriptors means that this process has no descriptor or port left for a connection.
	KindDescriptors Kind = "descriptors"
	// KindDelay means that this process handled no events for much of the time.
	KindDelay Kind = "delay"
	// KindSilent means that no response came, though this process handled its events.
	KindSilent Kind = "silent"
	// KindRefused means that the other system or the network ended the call.
	KindRefused Kind = "refused"

	// KindStale means that the configuration or the list of targets is too old, since this process did not read it.
	KindStale Kind = "stale"
	// KindRequests means that as many requests are in progress as the machine bears.
	KindRequests Kind = "requests"
	// KindMemory means that the process has too little memory left.
	KindMemory Kind = "memory"
	// KindBodies means that too little memory is left for what the request holds, or that its client or workspace has its
	// share. KindStalled means that the sender of a body made no progress.
	KindBodies  Kind = "bodies"
	KindStalled Kind = "stalled"
	// KindProcessor means that the process handles events late, and that the request's workspace has its share.
	KindProcessor Kind = "processor"
	// KindLate means that the request has probably waited longer than its caller does.
	KindLate Kind = "late"
	// KindLink means that the machine's network link can't carry the request in time.
	KindLink Kind = "link"
)

// Error is a failure for want of a resource.
type Error = jvfault.Error[Kind]

// Own reports whether the reason lies in this process, not in the other system or the network.
func (k Kind) Own() bool { return k == KindDescriptors || k == KindDelay }

// ownDelayShare is the share of a call's time from which on stalls of this process are the reason for its failure.
const ownDelayShare = 0.25

// Classify returns why a call of this process to another system failed that took some time, in which the process
// was stalled for a part.
func Classify(err error, took, stalled time.Duration) Kind {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS),
		errors.Is(err, syscall.ENOMEM), errors.Is(err, syscall.EADDRNOTAVAIL):
		return KindDescriptors
	case stalled > 0 && float64(stalled) >= ownDelayShare*float64(took):
		return KindDelay
	case errors.As(err, &timeout) && timeout.Timeout():
		return KindSilent
	}
	return KindRefused
}
