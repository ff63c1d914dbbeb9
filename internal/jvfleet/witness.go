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

// openTranche raises a mark so that need more tokens can be reserved.
func (f *Router) openTranche(ctx context.Context, s *session, profile string, need int64, try int) *Problem {
	a := s.escrow.Account(profile)
	mark, _ := f.options.ClaimPolicy.NextMark(a, max(need, f.typicalNeed(profile)))
	mark = max(mark, a.Committed()+need)
	if try <= maxShortClaims && f.raiseMarks(ctx, s, map[string]int64{profile: mark}) {
		return nil
	}
	return &Problem{
		Name:       ProblemUnavailable,
		Message:    "neither a witness nor the platform's log acknowledged the use of more budget",
		RetryAfter: logRetryAfter,
	}
}

// raiseMarks raises marks after a witness, or if none answers the log, has acknowledged them. It
// reports whether the marks were acknowledged.
func (f *Router) raiseMarks(ctx context.Context, s *session, marks map[string]int64) bool {
	epoch := s.escrow.Epoch()
	witnesses := s.witnessList()
	acknowledged := false
	for _, w := range f.recentFirst(witnesses) {
		if f.requestMark(ctx, w, &jvpeer.MarkRequest{Marks: marks}) {
			acknowledged = true
			break
		}
	}
	if !acknowledged {
		acknowledged = f.logMarks(ctx, s, witnesses, marks)
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
func (f *Router) recentFirst(witnesses []witness) []witness {
	ordered := slices.Clone(witnesses)
	slices.SortStableFunc(ordered, func(a, b witness) int {
		return f.silenceRank(a.peer.VM) - f.silenceRank(b.peer.VM)
	})
	return ordered
}

func (f *Router) silenceRank(vm string) int {
	if f.seenRecently(vm) {
		return 0
	}
	return 1
}

func (f *Router) requestMark(ctx context.Context, w witness, ask *jvpeer.MarkRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, f.options.Timing.PeerTimeout)
	defer cancel()
	answer, err := f.send(ctx, w.peer, jvpeer.Request{Mark: ask})
	return err == nil && answer.From == w.origin && answer.Mark != nil && answer.Mark.Acknowledged
}

// logMarks has marks acknowledged by the log, in a hello record that repeats the witnesses.
func (f *Router) logMarks(ctx context.Context, s *session, witnesses []witness, marks map[string]int64) bool {
	if !f.journal.Reachable(f.options.Timing.UnreachableAfter) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.Timing.UnreachableAfter)
	defer cancel()
	hello := &jvrecord.Hello{VM: f.options.VM, Zone: f.options.Zone, Witnesses: originsOf(witnesses), Marks: marks}
	verdicts, err := f.journal.Submit(ctx, s.origin, jvrecord.Record{Hello: hello})
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
func (f *Router) maintainWitnesses() {
	s := f.current()
	if f.stopping.Load() || !f.hasJoined(s) {
		return
	}
	if f.closedByLog(s) {
		f.renew(s)
		return
	}
	if !f.journal.Reachable(f.options.Timing.UnreachableAfter) || f.witnessesPresent(s) {
		return
	}
	chosen := f.selectWitnesses()
	if len(chosen) < jvledger.WitnessCount && len(s.witnessList()) == 0 {
		return
	}
	f.nameWitnesses(s, chosen)
}

func (f *Router) closedByLog(s *session) (closed bool) {
	f.journal.View(func(state *jvledger.State) {
		o := state.Origins[s.origin]
		closed = o != nil && o.Closed
	})
	return closed
}

func (f *Router) nameWitnesses(s *session, chosen []witness) {
	marks := s.escrow.FreezeMarks()
	hello := &jvrecord.Hello{VM: f.options.VM, Zone: f.options.Zone, Witnesses: originsOf(chosen), Marks: marks}
	verdicts, err := f.journal.Submit(f.ctx, s.origin, jvrecord.Record{Hello: hello})
	if err != nil || !verdicts[0].Accepted() {
		return // The log has closed the session; tendWitnesses renews it.
	}
	s.mu.Lock()
	s.witnesses = chosen
	s.mu.Unlock()
	s.escrow.UnfreezeMarks(len(chosen) == jvledger.WitnessCount)
	f.trace.Note(jvtrace.Decision{Step: jvtrace.StepMember, Why: fmt.Sprintf("witnesses are %v", originsOf(chosen))})
}

// witnessesPresent reports whether all witnesses were seen recently under the origins that the log
// names.
func (f *Router) witnessesPresent(s *session) bool {
	witnesses := s.witnessList()
	for _, w := range witnesses {
		c := f.lastSeen(w.peer.VM)
		if c.origin != w.origin || f.options.Timer.Since(c.at) > f.options.Timing.SuspectAfter {
			return false
		}
	}
	return len(witnesses) == jvledger.WitnessCount
}

// selectWitnesses returns the nearest peers that were seen recently under an open origin, or nil
// if there are too few.
func (f *Router) selectWitnesses() []witness {
	var chosen []witness
	for _, p := range f.peers() {
		c := f.lastSeen(p.VM)
		if f.options.Timer.Since(c.at) > f.options.Timing.SuspectAfter || !f.originOpen(c.origin) {
			continue
		}
		chosen = append(chosen, witness{peer: p, origin: c.origin})
		if len(chosen) == jvledger.WitnessCount {
			return chosen
		}
	}
	return nil
}

func (f *Router) originOpen(origin string) (open bool) {
	f.journal.View(func(state *jvledger.State) {
		o := state.Origins[origin]
		open = o != nil && o.Joined && !o.Closed
	})
	return open
}

// promiseForMissing promises to acknowledge no more marks of the missing holders that named this VM as
// witness, and reports their bills. The VM list and the clock only trigger the promise; the promise
// itself makes the reclaim safe if the holder is merely paused.
func (f *Router) promiseForMissing() {
	if f.stopping.Load() {
		return
	}
	s := f.current()
	for _, h := range f.missingHolders(s) {
		marks := f.holders.promise(h.origin)
		bills := f.holders.bills(h.origin)
		f.options.Logger.Info("witness promised for a missing holder", "holder", h.origin, "vm", h.vm, "bills", len(bills))
		records := []jvrecord.Record{{Promise: &jvrecord.Promise{Holder: h.origin, Marks: marks}}}
		if len(bills) > 0 {
			records = append(records, jvrecord.Record{Report: &jvrecord.Report{Bills: jvrecord.GroupBills(bills)}})
		}
		verdicts, err := f.journal.Submit(f.ctx, s.origin, records...)
		if err != nil {
			return
		}
		if freed := verdicts[0].Tokens; freed > 0 {
			f.trace.Note(jvtrace.Decision{Step: jvtrace.StepBudget, Why: fmt.Sprintf("%d tokens of %s are free again", freed, h.origin)})
			f.options.Logger.Info("grants reclaimed", "holder", h.origin, "tokens", freed)
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
func (f *Router) missingHolders(s *session) []suspect {
	live := f.liveVMs()
	if live == nil {
		return nil
	}
	var gone []suspect
	f.journal.View(func(state *jvledger.State) {
		newest := newestOrigins(state)
		for origin, o := range state.Origins {
			if o.Closed || !o.Joined || !slices.Contains(o.Witnesses, s.origin) {
				continue
			}
			if _, promised := o.Promised[s.origin]; promised {
				continue
			}
			if !live[o.VM] || newest[o.VM] != origin {
				gone = append(gone, suspect{origin: origin, vm: o.VM})
			}
		}
	})
	var silent []suspect
	for _, g := range gone {
		c := f.lastSeen(g.vm)
		if c.origin != g.origin || f.options.Timer.Since(c.at) > f.options.Timing.SuspectAfter {
			silent = append(silent, g)
		}
	}
	return f.holders.longMissing(silent, f.options.Timer.Now(), f.options.Timing.SuspectAfter)
}

// liveVMs returns the VMs on the list, or nil if the list was never read or the last read failed.
func (f *Router) liveVMs() map[string]bool {
	f.members.mu.Lock()
	defer f.members.mu.Unlock()
	if !f.members.loaded || f.members.cause != "" {
		return nil
	}
	live := map[string]bool{}
	for _, v := range f.members.vms {
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
		held, ok := newest[o.VM]
		if !ok || o.HelloOffset > state.Origins[held].HelloOffset {
			newest[o.VM] = origin
		}
	}
	return newest
}
