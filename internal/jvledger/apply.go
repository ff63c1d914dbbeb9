package jvledger

import (
	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// sweepEvery is how often the fold forgets old origins and top-ups, in milliseconds of log time.
const sweepEvery = 60_000

// Entry is one record of the log as the platform gives it.
type Entry struct {
	Offset uint64
	// Time is the log's stamp in Unix milliseconds.
	Time int64
	Data []byte
}

// BillID identifies one bill.
type BillID struct {
	Origin string
	Serial uint64
}

// ApplyResult is what the fold made of one entry.
type ApplyResult struct {
	Offset   uint64
	Origin   string
	Number   uint64
	Verdicts []Verdict
	// Checkpoint is true where the entry holds a check record, Stated is set where it states a hash.
	Checkpoint  bool
	SnapshotHash *jvrecord.Checkpoint
	// Bills names the bills in the entry, whether they counted or were repeats.
	Bills []BillID
	// Version is the configuration version after the entry.
	Version uint64
}

// Apply folds one entry in. An entry that the state already holds changes nothing, and so
// does one that cannot be decoded: every VM passes over it alike.
func (s *State) Apply(e Entry) (ApplyResult, error) {
	if e.Offset < s.Offset {
		return ApplyResult{}, nil
	}
	if e.Offset > s.Offset {
		return ApplyResult{}, jvfault.Newf("apply entry", KindGap, "entry %d came where %d was due", e.Offset, s.Offset)
	}
	s.Offset++
	s.advance(e.Time)
	batch, err := jvcodec.Decode[jvrecord.Batch](e.Data)
	if err != nil {
		return ApplyResult{}, jvfault.New("apply entry", KindMalformed, err)
	}
	applied := s.applyBatch(e.Offset, &batch)
	applied.Offset = e.Offset
	applied.Checkpoint = s.CheckpointOffset == e.Offset+1
	applied.Version = s.Version
	for _, r := range batch.Records {
		if r.Report != nil {
			applied.Bills = append(applied.Bills, billNames(r.Report.Bills)...)
		}
		if r.Checkpoint != nil && r.Checkpoint.Offset > 0 {
			applied.SnapshotHash = r.Checkpoint
		}
	}
	return applied, nil
}

func billNames(groups []jvrecord.BillGroup) []BillID {
	var names []BillID
	for _, g := range groups {
		for _, l := range g.Lines {
			names = append(names, BillID{Origin: g.Origin, Serial: l.Serial})
		}
	}
	return names
}

func (s *State) advance(stamp int64) {
	if stamp > s.Now {
		s.Now = stamp
	}
	s.BilledKeys.Advance(s.Now)
	s.Crashes.Advance(s.Now)
	s.Publications.Advance(s.Now)
	s.advanceTakes()
	if s.Now-s.LastExpiryAt >= sweepEvery {
		s.LastExpiryAt = s.Now
		s.sweep()
	}
}

// advanceTakes forgets old requests and gives back the bytes of their answers.
func (s *State) advanceTakes() {
	if s.Now-s.RunLocks.RotatedAt < s.RunLocks.Window {
		return
	}
	s.RunLocks.Advance(s.Now)
	s.AnswerBytes = 0
	for _, t := range s.RunLocks.Previous {
		s.AnswerBytes += len(t.Body)
	}
	for _, t := range s.RunLocks.Current {
		s.AnswerBytes += len(t.Body)
	}
}

func (s *State) applyBatch(offset uint64, b *jvrecord.Batch) ApplyResult {
	o := s.Origins[b.Origin]
	if b.Origin == "" || b.Number == 0 || (o == nil && b.Number != 1) || (o != nil && b.Number <= o.LastBatch) {
		return ApplyResult{Origin: b.Origin, Number: b.Number}
	}
	if o == nil {
		o = &Origin{}
		s.Origins[b.Origin] = o
	}
	o.LastBatch = b.Number
	o.LastSeen = s.Now
	verdicts := make([]Verdict, len(b.Records))
	for i := range b.Records {
		verdicts[i] = s.applyRecord(offset, b.Origin, o, &b.Records[i])
	}
	return ApplyResult{Origin: b.Origin, Number: b.Number, Verdicts: verdicts}
}

func (s *State) applyRecord(offset uint64, origin string, o *Origin, r *jvrecord.Record) Verdict {
	switch {
	case r.Publish != nil:
		return s.applyPublish(offset, r.Publish)
	case r.Topup != nil:
		return s.applyTopup(r.Topup)
	case r.Hello != nil:
		return s.applyHello(offset, o, r.Hello)
	case r.Finish != nil:
		return s.applyFinish(r.Finish)
	}
	if !o.Joined || o.Closed {
		return s.applyClosed(o, r)
	}
	switch {
	case r.Claim != nil:
		return s.applyClaim(origin, r.Claim)
	case r.Report != nil:
		return s.applyReport(origin, r.Report)
	case r.RunLock != nil:
		return s.applyTake(origin, r.RunLock)
	case r.Promise != nil:
		return s.applyPromise(origin, r.Promise)
	case r.Poison != nil:
		return s.applyPoison(r.Poison)
	case r.Leave != nil:
		return s.applyLeave(origin, o)
	case r.Checkpoint != nil && r.Checkpoint.Offset > 0:
		return Verdict{Reason: ReasonAccepted}
	case r.Checkpoint != nil:
		s.CheckpointOffset = offset + 1
		s.CheckpointAt = s.Now
		return Verdict{Reason: ReasonAccepted}
	}
	return Verdict{Reason: ReasonInvalid, Detail: "a record of no known kind"}
}

// applyClosed serves an origin that was reclaimed while it was paused: it gets nothing
// new, but what it ran must still be billed and told.
func (s *State) applyClosed(o *Origin, r *jvrecord.Record) Verdict {
	switch {
	case !o.Joined:
		return Verdict{Reason: ReasonInvalid, Detail: "the origin has not said hello"}
	case r.Report != nil:
		s.applyBills(r.Report.Bills)
		return Verdict{Reason: ReasonClosed}
	}
	return Verdict{Reason: ReasonClosed}
}
