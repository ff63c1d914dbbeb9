package jvfleet

import (
	"context"
	"fmt"
	"slices"

	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

// witness is a peer that acknowledges this VM's marks, with the origin that the log names.
type witness struct {
	peer   jvpeer.Peer
	origin string
}

// openTranche raises a mark so that need more tokens can be reserved; round counts how often the request
// did so before.
func (rt *Router) openTranche(ctx context.Context, s *session, profile string, need int64, round int) *Problem {
	a := s.escrow.Account(profile)
	mark, _ := rt.options.ClaimPolicy.NextMark(a, max(need, rt.typicalNeed(profile)))
	mark = max(mark, a.Committed()+need)
	if round < maxMarkRaises && rt.raiseMarks(ctx, s, map[string]int64{profile: mark}) {
		return nil
	}
	return &Problem{
		Name:       ProblemUnavailable,
		Message:    "neither a witness nor the platform's log acknowledged the use of more budget",
		RetryAfter: logRetryAfter,
	}
}

// raiseMarks raises marks after a witness, or the log if none responds, has acknowledged them. It
// reports whether the marks were acknowledged.
func (rt *Router) raiseMarks(ctx context.Context, s *session, marks map[string]int64) bool {
	epoch := s.escrow.Epoch()
	witnesses := s.witnessList()
	acknowledged := false
	for _, w := range rt.recentFirst(witnesses) {
		if rt.requestMark(ctx, w, &jvpeer.MarkRequest{Marks: marks}) {
			acknowledged = true
			break
		}
	}
	if !acknowledged {
		acknowledged = rt.logMarks(ctx, s, witnesses, marks)
	}
	if !acknowledged {
		return false
	}
	for profile, mark := range marks {
		s.escrow.RaiseMark(epoch, profile, mark)
	}
	return true
}

// recentFirst returns the witnesses with those seen recently first.
func (rt *Router) recentFirst(witnesses []witness) []witness {
	ordered := slices.Clone(witnesses)
	slices.SortStableFunc(ordered, func(a, b witness) int {
		return rt.silenceRank(a.peer.VM) - rt.silenceRank(b.peer.VM)
	})
	return ordered
}

func (rt *Router) silenceRank(vm string) int {
	if rt.seenRecently(vm) {
		return 0
	}
	return 1
}

func (rt *Router) requestMark(ctx context.Context, w witness, request *jvpeer.MarkRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, rt.options.Timing.PeerTimeout)
	defer cancel()
	response, err := rt.send(ctx, w.peer, jvpeer.Request{Mark: request})
	return err == nil && response.From == w.origin && response.Mark != nil && response.Mark.Acknowledged
}

// logMarks has marks acknowledged by the log, in a hello record that repeats the witnesses.
func (rt *Router) logMarks(ctx context.Context, s *session, witnesses []witness, marks map[string]int64) bool {
	if !rt.journal.Reachable(rt.options.Timing.UnreachableAfter) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, rt.options.Timing.UnreachableAfter)
	defer cancel()
	hello := &jvrecord.Hello{VM: rt.options.VM, Zone: rt.options.Zone, Witnesses: originsOf(witnesses), Marks: marks}
	verdicts, err := rt.journal.Submit(ctx, s.origin, jvrecord.Record{Hello: hello})
	return err == nil && verdicts[0].Accepted()
}

func originsOf(witnesses []witness) []string {
	var origins []string
	for _, w := range witnesses {
		origins = append(origins, w.origin)
	}
	return origins
}

// maintainWitnesses names new witnesses when one of the current ones is missing and the log is
// reachable. Until then a single remaining witness is enough to open tranches. If the log has
// closed the session, it is renewed.
func (rt *Router) maintainWitnesses() {
	s := rt.current()
	if rt.stopping.Load() || !rt.hasJoined(s) {
		return
	}
	if rt.closedByLog(s) {
		rt.renew(s)
		return
	}
	if !rt.journal.Reachable(rt.options.Timing.UnreachableAfter) || rt.witnessesPresent(s) {
		return
	}
	selected := rt.selectWitnesses()
	if len(selected) < jvledger.WitnessCount && len(s.witnessList()) == 0 {
		return
	}
	rt.nameWitnesses(s, selected)
}

func (rt *Router) closedByLog(s *session) (closed bool) {
	rt.journal.View(func(state *jvledger.State) {
		o := state.Origins[s.origin]
		closed = o != nil && o.Closed
	})
	return closed
}

// nameWitnesses appends a hello record that names the session's new witnesses. Marks are frozen until
// the log has accepted it.
func (rt *Router) nameWitnesses(s *session, selected []witness) {
	marks := s.escrow.FreezeMarks()
	hello := &jvrecord.Hello{VM: rt.options.VM, Zone: rt.options.Zone, Witnesses: originsOf(selected), Marks: marks}
	verdicts, err := rt.journal.Submit(rt.ctx, s.origin, jvrecord.Record{Hello: hello})
	if err != nil || !verdicts[0].Accepted() {
		return // If the log has closed the session, maintainWitnesses renews it.
	}
	s.mu.Lock()
	s.witnesses = selected
	s.mu.Unlock()
	s.escrow.UnfreezeMarks(len(selected) == jvledger.WitnessCount)
	rt.trace.Add(jvtrace.Decision{Step: jvtrace.StepMember, Why: fmt.Sprintf("witnesses are %v", originsOf(selected))})
}

// witnessesPresent reports whether all witnesses were seen recently under the origins that the log
// names.
func (rt *Router) witnessesPresent(s *session) bool {
	witnesses := s.witnessList()
	for _, w := range witnesses {
		c := rt.lastSeen(w.peer.VM)
		if c.origin != w.origin || rt.options.Timer.Since(c.at) > rt.options.Timing.SuspectAfter {
			return false
		}
	}
	return len(witnesses) == jvledger.WitnessCount
}

// selectWitnesses returns the nearest peers that were seen recently under an open origin, or nil
// if there are too few.
func (rt *Router) selectWitnesses() []witness {
	var selected []witness
	for _, p := range rt.peers() {
		c := rt.lastSeen(p.VM)
		if rt.options.Timer.Since(c.at) > rt.options.Timing.SuspectAfter || !rt.originOpen(c.origin) {
			continue
		}
		selected = append(selected, witness{peer: p, origin: c.origin})
		if len(selected) == jvledger.WitnessCount {
			return selected
		}
	}
	return nil
}

func (rt *Router) originOpen(origin string) (open bool) {
	rt.journal.View(func(state *jvledger.State) {
		o := state.Origins[origin]
		open = o != nil && o.Joined && !o.Closed
	})
	return open
}

// promiseForMissing promises to acknowledge no more marks of the missing holders that named this VM
// as witness, and reports their bills. The VM list and the clock only trigger the promise; the
// promise itself makes the reclaim safe if the holder is merely paused.
func (rt *Router) promiseForMissing() {
	if rt.stopping.Load() {
		return
	}
	s := rt.current()
	for _, h := range rt.missingHolders(s) {
		marks := rt.holders.promise(h.origin)
		bills := rt.holders.bills(h.origin)
		rt.options.Logger.Info("witness promised for a missing holder", "holder", h.origin, "vm", h.vm, "bills", len(bills))
		records := []jvrecord.Record{{Promise: &jvrecord.Promise{Holder: h.origin, Marks: marks}}}
		if len(bills) > 0 {
			records = append(records, jvrecord.Record{Report: &jvrecord.Report{Bills: jvrecord.GroupBills(bills)}})
		}
		verdicts, err := rt.journal.Submit(rt.ctx, s.origin, records...)
		if err != nil {
			return
		}
		if freed := verdicts[0].Tokens; freed > 0 {
			rt.trace.Add(jvtrace.Decision{Step: jvtrace.StepBudget, Why: fmt.Sprintf("%d tokens of %s are free again", freed, h.origin)})
			rt.options.Logger.Info("grants reclaimed", "holder", h.origin, "tokens", freed)
		}
	}
}

// suspect is a holder that seems to be missing.
type suspect struct {
	origin string
	vm     string
}

// missingHolders returns the holders of this witness for which it has not promised yet, whose VM is
// not on the list or runs under a newer origin, and which have been silent for a time.
func (rt *Router) missingHolders(s *session) []suspect {
	live := rt.liveVMs()
	if live == nil {
		return nil
	}
	var missing []suspect
	rt.journal.View(func(state *jvledger.State) {
		newest := newestOrigins(state)
		for origin, o := range state.Origins {
			if o.Closed || !o.Joined || !slices.Contains(o.Witnesses, s.origin) {
				continue
			}
			if _, promised := o.Promised[s.origin]; promised {
				continue
			}
			if !live[o.VM] || newest[o.VM] != origin {
				missing = append(missing, suspect{origin: origin, vm: o.VM})
			}
		}
	})
	var silent []suspect
	for _, m := range missing {
		c := rt.lastSeen(m.vm)
		if c.origin != m.origin || rt.options.Timer.Since(c.at) > rt.options.Timing.SuspectAfter {
			silent = append(silent, m)
		}
	}
	return rt.holders.longMissing(silent, rt.options.Timer.Now(), rt.options.Timing.SuspectAfter)
}

// liveVMs returns the VMs on the list, or nil if the list was never read or the last read failed.
func (rt *Router) liveVMs() map[string]bool {
	rt.members.mu.Lock()
	defer rt.members.mu.Unlock()
	if !rt.members.loaded || rt.members.failure != "" {
		return nil
	}
	live := map[string]bool{}
	for _, v := range rt.members.vms {
		live[v.Name] = true
	}
	return live
}

// newestOrigins returns the origin that last joined, for each VM.
func newestOrigins(state *jvledger.State) map[string]string {
	newest := map[string]string{}
	for origin, o := range state.Origins {
		if !o.Joined {
			continue
		}
		known, ok := newest[o.VM]
		if !ok || o.HelloOffset > state.Origins[known].HelloOffset {
			newest[o.VM] = origin
		}
	}
	return newest
}
