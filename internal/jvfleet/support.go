package jvfleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strconv"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvpeer"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// readArguments say which part of which answer to read at a peer.
type readArguments struct {
	key    string
	digest []byte
	index  int64
}

// askRead reads the next part of an answer that a peer holds.
func (f *Fleet) askRead(ctx context.Context, p jvpeer.Peer, r *readArguments) (*jvpeer.ReadAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*readWait)
	defer cancel()
	answer, err := f.ask(ctx, p, jvpeer.Ask{Read: &jvpeer.ReadAsk{Key: r.key, Digest: r.digest, Index: r.index}})
	return answer.Read, err
}

// problemOf turns a refusal of the target table into what the caller is told.
func problemOf(err error) *Problem {
	var r *jvtarget.Refusal
	if !errors.As(err, &r) {
		return &Problem{Name: ProblemFailed, Message: err.Error(), Retry: time.Second}
	}
	p := &Problem{Message: r.Cause.Err.Error(), Retry: r.Retry}
	switch r.Cause.Kind {
	case jvtarget.KindNone:
		p.Name = ProblemUnavailable
	case jvtarget.KindOverloaded:
		p.Name = ProblemOverloaded
	case jvtarget.KindDeadline:
		p.Name = ProblemDeadline
	}
	return p
}

func textDigest(text string) string {
	d := sha256.Sum256([]byte(text))
	return hex.EncodeToString(d[:])
}

func utoa(n uint64) string { return strconv.FormatUint(n, 10) }
