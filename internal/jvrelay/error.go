package jvrelay

import (
	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// Kind is the class of a failed attempt.
type Kind string

// Kinds of failed attempts.
const (
	// KindUnsent means that no byte of the attempt reached the target.
	KindUnsent Kind = "unsent"
	// KindRefused means that the target responded that it did not run the attempt.
	KindRefused Kind = "refused"
	// KindUnproven means that the target may have refused the attempt, or an earlier one.
	KindUnproven Kind = "unproven"
	// KindFailed means that the target ran the attempt and responded with a failure.
	KindFailed Kind = "failed"
	// KindBroken means that the attempt may have run and no complete response arrived.
	KindBroken Kind = "broken"
	// KindCrossed means that the response is not the one to this attempt.
	KindCrossed Kind = "crossed"
	// KindCallerDisconnected means that the caller has disconnected.
	KindCallerDisconnected Kind = "gone"
	// KindClaimed means that the response ended with its connection where only a framing that shows its end would do.
	KindClaimed Kind = "claimed"
	// KindStopped means that this router's stop ended the attempt, which may have run.
	KindStopped Kind = "stopped"
)

// ErrConnectionRefused is the cause of a KindUnsent error if nothing listens at the target's address.
var ErrConnectionRefused = errors.New("connection refused")

// Error is the error of a failed attempt.
type Error = jvfault.Error[Kind]
