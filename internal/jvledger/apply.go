package jvledger

import (
	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// expireIntervalMillis is the log time between two removals of expired origins and top-ups.
const expireIntervalMillis = 60_000

// Entry is one entry of the log as the platform returns it.
type Entry struct {
	Offset uint64
	// Time is the log's timestamp, in Unix milliseconds.
	Time int64
	Data []byte
}

// BillID identifies one bill.
type BillID struct {
	Origin string
	Serial uint64
}

// ApplyResult is the result of applying one entry.
type ApplyResult struct {
	Offset uint64
	// Origin and Number identify the batch in the entry.
	Origin string
	Number uint64
	// Verdicts has one verdict per record, and is empty where the batch was dropped.
	Verdicts []Verdict
	// Checkpoint reports whether the entry has a checkpoint record; SnapshotHash is the record
	// that publishes the hash of a snapshot, or nil.
	Checkpoint   bool
	SnapshotHash *jvrecord.Checkpoint
	// Bills lists the bills in the entry, including repeated ones.
	Bills []BillID
	// Cleared lists the digests of the clear records in the entry that were applied.
	Cleared [][]byte
	// Version is the configuration version after the entry.
	Version uint64
}

// Apply applies one entry. An entry below the next offset changes nothing; one above it is a
// KindGap error. An entry that can't be decoded is a KindMalformed error and only advances
// offset and time: every VM skips it, so that their states stay equal.
func (s *State) Apply(e Entry) (ApplyResult, error) {
	if e.Offset < s.Offset {
		return ApplyResult{}, nil
	}
	if e.Offset > s.Offset {
		return ApplyResult{}, jvfault.Newf("apply entry", KindGap, "got entry %d, expected %d", e.Offset, s.Offset)
	}
	s.Offset++
	s.advance(e.Time)
	batch, err := jvcodec.Decode[jvrecord.Batch](e.Data)
	if err != nil {
		return ApplyResult{}, jvfault.New("apply entry", KindMalformed, err)
	}
	result := s.applyBatch(e.Offset, &batch)
	result.Offset = e.Offset
	result.Checkpoint = s.CheckpointOffset == e.Offset+1
	result.Version = s.Version
	for n, r := range batch.Records {
		if r.Report != nil {
			result.Bills = append(result.Bills, billIDs(r.Report.Bills)...)
		}
		if r.Clear != nil && n < len(result.Verdicts) && result.Verdicts[n].cleared() {
			result.Cleared = append(result.Cleared, r.Clear.Digest)
		}
		if r.Checkpoint != nil && r.Checkpoint.Offset > 0 {
			result.SnapshotHash = r.Checkpoint
		}
	}
	return result, nil
}

func billIDs(groups []jvrecord.BillGroup) []BillID {
	var ids []BillID
	for _, g := range groups {
		for _, l := range g.Lines {
			ids = append(ids, BillID{Origin: g.Origin, Serial: l.Serial})
		}
	}
	return ids
}

// advance moves the log time forward to an entry's time and removes what has expired by then.
func (s *State) advance(entryTime int64) {
	if entryTime > s.Now {
		s.Now = entryTime
	}
	s.BilledKeys.Advance(s.Now)
	s.Crashes.Advance(s.Now)
	s.Publications.Advance(s.Now)
	s.advanceRunLocks()
	if s.Now-s.LastExpiryAt >= expireIntervalMillis {
		s.LastExpiryAt = s.Now
		s.expire()
	}
}

// advanceRunLocks removes expired run locks and recounts the bytes of the answers kept.
func (s *State) advanceRunLocks() {
	if s.Now-s.RunLocks.RotatedAt < s.RunLocks.Window {
		return
	}
	s.RunLocks.Advance(s.Now)
	s.AnswerBytes = 0
	for _, l := range s.RunLocks.Previous {
		s.AnswerBytes += len(l.Body)
	}
	for _, l := range s.RunLocks.Current {
		s.AnswerBytes += len(l.Body)
	}
}

// applyBatch drops a batch whose number has been applied, and one of an unknown origin unless
// it is that origin's first.
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

// applyRecord applies one record. Publish, top-up and finish records are applied for every origin,
// hello records for origins that are not closed, and all others only for open origins, except for
// the bills that applyClosed charges.
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
		return s.applyRunLock(origin, r.RunLock)
	case r.Promise != nil:
		return s.applyPromise(origin, r.Promise)
	case r.Poison != nil:
		return s.applyPoison(r.Poison)
	case r.Clear != nil:
		return s.applyClear(r.Clear)
	case r.Leave != nil:
		return s.applyLeave(origin, o)
	case r.Checkpoint != nil && r.Checkpoint.Offset > 0:
		return Verdict{Reason: ReasonAccepted}
	case r.Checkpoint != nil:
		s.CheckpointOffset = offset + 1
		s.CheckpointAt = s.Now
		return Verdict{Reason: ReasonAccepted}
	}
	return Verdict{Reason: ReasonInvalid, Detail: "unknown record kind"}
}

// applyClosed applies a record of an origin that is not open. An origin that was reclaimed
// while its process was paused gets no grant or run lock any more, but the bills in its
// reports are still charged, since it ran those requests. For the same reason applyRecord
// applies the finish records of closed origins.
func (s *State) applyClosed(o *Origin, r *jvrecord.Record) Verdict {
	switch {
	case !o.Joined:
		return Verdict{Reason: ReasonInvalid, Detail: "the origin has sent no hello record"}
	case r.Report != nil:
		s.applyBills(r.Report.Bills)
		return Verdict{Reason: ReasonClosed}
	}
	return Verdict{Reason: ReasonClosed}
}
