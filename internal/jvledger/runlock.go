package jvledger

import (
	"bytes"
	"slices"

	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// applyRunLock gives the run lock of a key to the first origin in the log that claims it.
func (s *State) applyRunLock(origin string, r *jvrecord.RunLock) Verdict {
	k, valid := KeyOf(r.Key)
	if held, ok := s.RunLocks.Get(k); ok {
		if !bytes.Equal(held.Digest, r.Digest) {
			return Verdict{Reason: ReasonMismatch, RunLock: held}
		}
		return Verdict{Reason: ReasonTaken, RunLock: held}
	}
	switch {
	case !valid:
		return Verdict{Reason: ReasonInvalid, Detail: "the key has the wrong length"}
	case s.stale(r.CreatedAt):
		return Verdict{Reason: ReasonStale, Detail: "the key's timestamp is outside the window in which run locks are kept"}
	case s.RunLocks.Len() >= s.rules.MaxRunLocks:
		return Verdict{Reason: ReasonFull, Detail: "too many run locks are kept"}
	}
	held := RunLock{Digest: r.Digest, Holder: origin, RequestID: r.RequestID}
	s.RunLocks.Put(k, held)
	return Verdict{Reason: ReasonAccepted, RunLock: held}
}

// stale reports whether a key's timestamp is so old that its run lock may have expired, or
// lies in the future. A key without a timestamp (0) is never stale.
func (s *State) stale(createdAt int64) bool {
	if createdAt == 0 {
		return false
	}
	return createdAt < s.Now-s.rules.RunLockWindow+s.rules.MaxClockSkew || createdAt > s.Now+s.rules.MaxClockSkew
}

// applyFinish records the outcome of a request; the first outcome in the log stands.
func (s *State) applyFinish(f *jvrecord.Finish) Verdict {
	k, _ := KeyOf(f.Key)
	held, ok := s.RunLocks.Get(k)
	switch {
	case !ok:
		return Verdict{Reason: ReasonMissing}
	case held.Holder != f.Holder:
		return Verdict{Reason: ReasonInvalid, RunLock: held}
	case held.Outcome != "":
		return Verdict{Reason: ReasonDuplicate, RunLock: held}
	}
	if f.Outcome == jvrecord.OutcomeFree {
		s.RunLocks.Delete(k)
		return Verdict{Reason: ReasonAccepted, RunLock: held}
	}
	held.Outcome = f.Outcome
	held.Status = f.Status
	held.ContentType = f.ContentType
	held.Ended = f.Ended
	if !f.TooLarge && len(f.Body) <= s.rules.MaxAnswerBytes && s.AnswerBytes+len(f.Body) <= s.rules.MaxTotalAnswerBytes {
		held.Body = f.Body
		s.AnswerBytes += len(f.Body)
	} else {
		held.BodyDropped = true
	}
	s.RunLocks.Set(k, held)
	return Verdict{Reason: ReasonAccepted, RunLock: held}
}

// applyPoison counts a target crash for a request digest, unless the digest is quarantined
// already.
func (s *State) applyPoison(p *jvrecord.Poison) Verdict {
	k, valid := KeyOf(p.Digest)
	if !valid {
		return Verdict{Reason: ReasonInvalid, Detail: "the digest has the wrong length"}
	}
	c, _ := s.Crashes.Get(k)
	instance := p.Target + "/" + p.Instance
	if slices.Contains(c.Instances, instance) {
		return Verdict{Reason: ReasonDuplicate}
	}
	if len(c.Instances) >= max(s.rules.QuarantineCrashes, p.Limit) {
		return Verdict{Reason: ReasonFull}
	}
	c.Instances = append(slices.Clone(c.Instances), instance)
	s.Crashes.Put(k, c)
	return Verdict{Reason: ReasonAccepted}
}

// applyClear forgets the target crashes of a request digest.
func (s *State) applyClear(c *jvrecord.Clear) Verdict {
	k, valid := KeyOf(c.Digest)
	if !valid {
		return Verdict{Reason: ReasonInvalid, Detail: "the digest has the wrong length"}
	}
	if _, ok := s.Crashes.Get(k); !ok {
		return Verdict{Reason: ReasonMissing}
	}
	s.Crashes.Delete(k)
	return Verdict{Reason: ReasonAccepted}
}

// cleared reports whether a clear record with this verdict was applied; the log may have had no crashes
// of its request.
func (v Verdict) cleared() bool { return v.Reason == ReasonAccepted || v.Reason == ReasonMissing }
