package jvledger

import (
	"slices"

	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// WitnessCount is the number of witnesses that an origin names; an origin that names another
// number has none.
const WitnessCount = 2

// applyHello registers an origin, or replaces its witnesses and clears their promises.
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

// applyPromise records that a witness acknowledges no more marks for a holder. Once both
// witnesses have promised, the holder can't raise its mark any more, whether it has crashed or
// is only paused, so its tokens above the highest acknowledged mark are freed.
func (s *State) applyPromise(origin string, p *jvrecord.Promise) Verdict {
	holder := s.Origins[p.Holder]
	switch {
	case holder == nil:
		return Verdict{Reason: ReasonMissing}
	case holder.Closed:
		return Verdict{Reason: ReasonClosed}
	case !slices.Contains(holder.Witnesses, origin):
		return Verdict{Reason: ReasonInvalid, Detail: "the sender is not a witness of the holder"}
	}
	if holder.Promised == nil {
		holder.Promised = map[string]map[string]int64{}
	}
	holder.Promised[origin] = p.Marks
	if len(holder.Promised) < WitnessCount {
		return Verdict{Reason: ReasonAccepted}
	}
	freed := s.reclaim(p.Holder, holder)
	return Verdict{Reason: ReasonAccepted, Tokens: freed}
}

// reclaim closes an origin, counts the tokens up to its marks as spent, except those it lent, and
// returns how many tokens it freed.
func (s *State) reclaim(origin string, o *Origin) int64 {
	var freed int64
	for profile, b := range s.Budgets {
		a := b.Accounts[origin]
		if a == nil {
			continue
		}
		mark := o.Marks[profile]
		for _, marks := range o.Promised {
			mark = max(mark, marks[profile])
		}
		before := b.Free
		s.release(b, a, mark-a.Lent)
		freed += b.Free - before
	}
	o.Closed = true
	o.Reclaimed = true
	return freed
}

// expire removes top-ups past their expiry, closed origins past their window, and origins
// silent for so long that what they hold is written off.
func (s *State) expire() {
	for id, t := range s.Topups {
		if t.Expiry < s.Now {
			delete(s.Topups, id)
		}
	}
	for name, o := range s.Origins {
		silence := s.Now - o.LastSeen
		switch {
		case !o.Joined && silence > s.rules.PublishWindow,
			o.Closed && silence > s.rules.OriginWindow,
			silence > s.rules.SilentWindow:
			s.expireOrigin(name)
		}
	}
}

func (s *State) expireOrigin(origin string) {
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
