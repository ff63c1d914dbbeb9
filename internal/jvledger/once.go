package jvledger

import (
	"bytes"
	"slices"

	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// applyTake gives the right to run a request to the first taker in the log's order.
func (s *State) applyTake(origin string, t *jvrecord.RunLock) Verdict {
	k, valid := KeyOf(t.Key)
	if held, ok := s.RunLocks.Get(k); ok {
		if !bytes.Equal(held.Digest, t.Digest) {
			return Verdict{Reason: ReasonMismatch, RunLock: held}
		}
		return Verdict{Reason: ReasonTaken, RunLock: held}
	}
	switch {
	case !valid:
		return Verdict{Reason: ReasonInvalid, Detail: "the key has the wrong length"}
	case s.stale(t.CreatedAt):
		return Verdict{Reason: ReasonStale, Detail: "the key's own time is outside the window in which keys are remembered"}
	case s.RunLocks.Len() >= s.rules.MaxRunLocks:
		return Verdict{Reason: ReasonFull, Detail: "too many keys are remembered"}
	}
	held := RunLock{Digest: t.Digest, Holder: origin, RequestID: t.RequestID}
	s.RunLocks.Put(k, held)
	return Verdict{Reason: ReasonAccepted, RunLock: held}
}

// stale tells whether a key born at a time may have been forgotten already, or lies in the future.
func (s *State) stale(born int64) bool {
	if born == 0 {
		return false
	}
	return born < s.Now-s.rules.RunLockWindow+s.rules.MaxClockSkew || born > s.Now+s.rules.MaxClockSkew
}

// applyFinish records the outcome of a request; the first outcome stands.
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
	if !f.TooLarge && len(f.Body) <= s.rules.MaxAnswerBytes && s.AnswerBytes+len(f.Body) <= s.rules.MaxTotalAnswerBytes {
		held.Body = f.Body
		s.AnswerBytes += len(f.Body)
	} else {
		held.BodyDropped = true
	}
	s.RunLocks.Set(k, held)
	return Verdict{Reason: ReasonAccepted, RunLock: held}
}

func (s *State) applyPoison(p *jvrecord.Poison) Verdict {
	k, valid := KeyOf(p.Digest)
	if !valid {
		return Verdict{Reason: ReasonInvalid, Detail: "the digest has the wrong length"}
	}
	c, _ := s.Crashes.Get(k)
	crash := p.Target + "/" + p.Attempt
	if slices.Contains(c.Attempts, crash) {
		return Verdict{Reason: ReasonDuplicate}
	}
	if len(c.Attempts) >= s.rules.QuarantineCrashes {
		return Verdict{Reason: ReasonFull}
	}
	c.Attempts = append(slices.Clone(c.Attempts), crash)
	s.Crashes.Put(k, c)
	return Verdict{Reason: ReasonAccepted}
}
