package jvledger

import (
	"slices"

	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// WitnessCount is the number of witnesses that an origin names; with fewer it has none.
const WitnessCount = 2

func (s *State) applyHello(offset uint64, o *Origin, h *jvrecord.Hello) Verdict {
	if o.Closed {
		return Verdict{Reason: ReasonClosed}
	}
	if !o.Joined {
		o.HelloOffset = offset
	}
	o.VM = h.VM
	o.Zone = h.Zone
	o.Joined = true
	o.Witnesses = nil
	if len(h.Witnesses) == WitnessCount {
		o.Witnesses = h.Witnesses
	}
	o.Promised = nil
	if o.Marks == nil && len(h.Marks) > 0 {
		o.Marks = map[string]int64{}
	}
	for p, m := range h.Marks {
		o.Marks[p] = max(o.Marks[p], m)
	}
	return Verdict{Reason: ReasonAccepted}
}

// applyPromise notes that a witness acknowledges no more marks for a holder. Once both
// have promised, no mark above those they acknowledged can open, so what lies above the
// highest of them is free again, whether the holder is dead or only paused.
func (s *State) applyPromise(origin string, p *jvrecord.Promise) Verdict {
	h := s.Origins[p.Holder]
	switch {
	case h == nil:
		return Verdict{Reason: ReasonMissing}
	case h.Closed:
		return Verdict{Reason: ReasonClosed}
	case !slices.Contains(h.Witnesses, origin):
		return Verdict{Reason: ReasonInvalid, Detail: "the sender is no witness of the holder"}
	}
	if h.Promised == nil {
		h.Promised = map[string]map[string]int64{}
	}
	h.Promised[origin] = p.Marks
	if len(h.Promised) < WitnessCount {
		return Verdict{Reason: ReasonAccepted}
	}
	freed := s.reclaim(p.Holder, h)
	return Verdict{Reason: ReasonAccepted, Tokens: freed}
}

func (s *State) reclaim(holder string, h *Origin) int64 {
	var freed int64
	for name, b := range s.Budgets {
		a := b.Accounts[holder]
		if a == nil {
			continue
		}
		mark := h.Marks[name]
		for _, marks := range h.Promised {
			mark = max(mark, marks[name])
		}
		before := b.Free
		s.release(b, a, mark-a.Lent)
		freed += b.Free - before
	}
	h.Closed = true
	h.Reclaimed = true
	return freed
}

// sweep forgets top-ups that have expired, closed origins whose window has passed, and
// origins that were silent so long that what they hold is written off.
func (s *State) sweep() {
	for id, t := range s.Topups {
		if t.Expiry < s.Now {
			delete(s.Topups, id)
		}
	}
	for name, o := range s.Origins {
		quiet := s.Now - o.LastSeen
		switch {
		case !o.Joined && quiet > s.rules.PublishWindow,
			o.Closed && quiet > s.rules.OriginWindow,
			quiet > s.rules.SilentWindow:
			s.forget(name)
		}
	}
}

func (s *State) forget(origin string) {
	delete(s.Origins, origin)
	for _, b := range s.Budgets {
		if a := b.Accounts[origin]; a != nil {
			b.Expired += a.Holding()
			b.ExpiredSpent += a.Spent
			delete(b.Accounts, origin)
		}
		delete(b.Loans, origin)
	}
}
