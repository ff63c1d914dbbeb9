package jvledger

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// TestExpiringMap checks that an entry is kept for at least one window and less than two.
func TestExpiringMap(t *testing.T) {
	m := NewExpiringMap[string, int](100)
	m.Advance(1000)
	m.Put("a", 1)
	m.Advance(1099)
	m.Put("b", 2)
	m.Advance(1100)
	_, ok := m.Get("a")
	require.True(t, ok)
	m.Advance(1199)
	_, ok = m.Get("b")
	require.True(t, ok)
	m.Advance(1200)
	_, ok = m.Get("a")
	require.False(t, ok)
	m.Put("c", 3)
	m.Advance(5000)
	require.Zero(t, m.Len())
}

// TestBillSerials checks that each bill is new once, since an origin and its witnesses may report
// it several times and out of order.
func TestBillSerials(t *testing.T) {
	o := &Origin{}
	for _, c := range []struct {
		serial uint64
		isNew  bool
	}{{2, true}, {1, true}, {1, false}, {2, false}, {5, true}, {3, true}, {4, true}, {5, false}, {6, true}} {
		require.Equal(t, c.isNew, o.recordBill(c.serial), "serial %d", c.serial)
	}
	require.Equal(t, uint64(6), o.BilledThrough)
	require.Empty(t, o.BilledAbove)
}

func TestGrantSize(t *testing.T) {
	for _, c := range []struct {
		name                          string
		free, need, want, ahead, size int64
	}{
		{"the wanted size", 1000, 10, 100, 50, 100},
		{"at most the share ahead", 1000, 10, 900, 50, 500},
		{"the need where it exceeds the share", 100, 80, 80, 10, 80},
		{"nothing where less than the need is free", 79, 80, 80, 100, 0},
		{"all that is free", 100, 80, 900, 100, 100},
		{"nothing without a need", 100, 0, 50, 50, 0},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.size, GrantSize(c.free, c.need, c.want, c.ahead)) })
	}
}

// TestDropsUnknownOrigin checks that a batch of an unknown origin is dropped unless it is the
// origin's first; otherwise a late duplicate from an expired origin would change the state.
func TestDropsUnknownOrigin(t *testing.T) {
	s := NewState(DefaultRules())
	hello := jvrecord.Record{Hello: &jvrecord.Hello{VM: "a1", Zone: "a"}}
	result, err := s.Apply(Entry{Offset: 0, Time: 1, Data: jvcodec.Encode(&jvrecord.Batch{Origin: "o", Number: 2, Records: []jvrecord.Record{hello}})})
	require.NoError(t, err)
	require.Empty(t, result.Verdicts)
	require.Empty(t, s.Origins)
}

// TestGap checks that an entry beyond the next offset is an error, one before it changes
// nothing, and one that can't be decoded is skipped.
func TestGap(t *testing.T) {
	s := NewState(DefaultRules())
	_, err := s.Apply(Entry{Offset: 1, Time: 1})
	require.Error(t, err)
	_, err = s.Apply(Entry{Offset: 0, Time: 1})
	require.Error(t, err, "an entry that can't be decoded")
	require.Equal(t, uint64(1), s.NextOffset())
	_, err = s.Apply(Entry{Offset: 0, Time: 1})
	require.NoError(t, err)
	require.Equal(t, uint64(1), s.NextOffset())
}

// TestClear checks that a clear record forgets the crashes of its request only, that a release without
// the record skips it without another effect, and that the crashes count from the beginning afterwards.
func TestClear(t *testing.T) {
	s := NewState(DefaultRules())
	apply := func(number uint64, data []byte) ApplyResult {
		a, err := s.Apply(Entry{Offset: s.NextOffset(), Time: int64(number) * 1000, Data: data})
		require.NoError(t, err)
		return a
	}
	batch := func(number uint64, records ...jvrecord.Record) []byte {
		return jvcodec.Encode(jvrecord.Batch{Origin: "a1-x", Number: number, Records: records})
	}
	digest, other := NewKey("request"), NewKey("other")
	poison := func(k Key, instance string) jvrecord.Record {
		return jvrecord.Record{Poison: &jvrecord.Poison{Digest: k[:], Target: "t", Instance: instance}}
	}
	apply(1, batch(1, jvrecord.Record{Hello: &jvrecord.Hello{}}))
	apply(2, batch(2, poison(digest, "1"), poison(digest, "2"), poison(other, "1"), poison(other, "2")))
	require.Positive(t, s.QuarantinedUntil(digest))

	clearing := batch(3, jvrecord.Record{Clear: &jvrecord.Clear{Digest: digest[:]}})
	// A release without the record decodes an empty one in its place.
	older, err := jvcodec.Decode[struct {
		Records []struct {
			Poison *jvrecord.Poison `cbor:"poison,omitempty"`
		} `cbor:"records"`
	}](clearing)
	require.NoError(t, err)
	require.Len(t, older.Records, 1)
	require.Nil(t, older.Records[0].Poison)
	a := apply(3, batch(3, jvrecord.Record{}))
	require.Equal(t, ReasonInvalid, a.Verdicts[0].Reason)
	require.Positive(t, s.QuarantinedUntil(digest))

	a = apply(4, batch(4, jvrecord.Record{Clear: &jvrecord.Clear{Digest: digest[:]}}))
	require.Equal(t, ReasonAccepted, a.Verdicts[0].Reason)
	require.Equal(t, [][]byte{digest[:]}, a.Cleared)
	require.Zero(t, s.QuarantinedUntil(digest))
	require.False(t, s.Suspected(digest))
	require.Positive(t, s.QuarantinedUntil(other))
	a = apply(5, batch(5, poison(digest, "1"), jvrecord.Record{Clear: &jvrecord.Clear{Digest: []byte("short")}}))
	require.Equal(t, ReasonAccepted, a.Verdicts[0].Reason)
	require.Equal(t, ReasonInvalid, a.Verdicts[1].Reason)
	require.Empty(t, a.Cleared)
	require.Zero(t, s.QuarantinedUntil(digest))
	a = apply(6, batch(1, jvrecord.Record{Clear: &jvrecord.Clear{Digest: other[:]}}))
	require.Empty(t, a.Cleared, "a batch that was applied before")
	require.Positive(t, s.QuarantinedUntil(other))
}

// TestCrashLimit checks that a record may have more crashes kept than those that quarantine a request, and
// that records of releases that don't know it are applied as before.
func TestCrashLimit(t *testing.T) {
	s := NewState(DefaultRules())
	number := uint64(0)
	apply := func(r jvrecord.Record) Verdict {
		number++
		a, err := s.Apply(Entry{Offset: s.NextOffset(), Time: int64(number), Data: jvcodec.Encode(jvrecord.Batch{
			Origin: "a1-x", Number: number, Records: []jvrecord.Record{r},
		})})
		require.NoError(t, err)
		return a.Verdicts[0]
	}
	poison := func(k Key, instance, limit int) jvrecord.Record {
		return jvrecord.Record{Poison: &jvrecord.Poison{Digest: k[:], Target: "t", Instance: strconv.Itoa(instance), Limit: limit}}
	}
	request, part := NewKey("request"), NewKey("part")
	apply(jvrecord.Record{Hello: &jvrecord.Hello{}})
	for n, want := range []Reason{ReasonAccepted, ReasonAccepted, ReasonFull, ReasonFull} {
		require.Equal(t, want, apply(poison(request, n, 0)).Reason)
	}
	for n, want := range []Reason{ReasonAccepted, ReasonAccepted, ReasonAccepted, ReasonFull} {
		require.Equal(t, want, apply(poison(part, n, 3)).Reason)
	}
	require.Equal(t, 2, s.CrashCount(request))
	require.Equal(t, 3, s.CrashCount(part))
	older, err := jvcodec.Decode[struct {
		Digest   []byte `cbor:"digest"`
		Target   string `cbor:"target"`
		Instance string `cbor:"attempt"`
	}](jvcodec.Encode(jvrecord.Poison{Digest: part[:], Instance: "1", Limit: 3}))
	require.NoError(t, err)
	require.Equal(t, "1", older.Instance)
}

// olderFinish is the record of an outcome by releases that don't know how the response ended.
type olderFinish struct {
	Key     []byte `cbor:"key"`
	Holder  string `cbor:"holder"`
	Outcome string `cbor:"outcome"`
	Status  int    `cbor:"status,omitempty"`
	Body    []byte `cbor:"body,omitempty"`
}

// TestEndOfRecordedAnswer guards against a recorded answer that gets a better end than its target's response had: in the
// state, in a snapshot, and from the record of an older release, which has none.
func TestEndOfRecordedAnswer(t *testing.T) {
	s := NewState(DefaultRules())
	apply := func(number uint64, records ...any) {
		type batch struct {
			Origin  string `cbor:"origin"`
			Number  uint64 `cbor:"number"`
			Records []any  `cbor:"records"`
		}
		_, err := s.Apply(Entry{Offset: s.NextOffset(), Time: 1, Data: jvcodec.Encode(&batch{Origin: "o", Number: number, Records: records})})
		require.NoError(t, err)
	}
	finish := func(name string, ended jvend.End) jvrecord.Record {
		k := NewKey(name)
		return jvrecord.Record{Finish: &jvrecord.Finish{Key: k[:], Holder: "o", Outcome: jvrecord.OutcomeDone, Status: 200, Body: []byte(name), Ended: ended}}
	}
	var locks []any
	for _, name := range []string{"proven", "claimed", "older"} {
		k := NewKey(name)
		locks = append(locks, jvrecord.Record{RunLock: &jvrecord.RunLock{Key: k[:], Digest: k[:], RequestID: name}})
	}
	apply(1, jvrecord.Record{Hello: &jvrecord.Hello{VM: "a1", Zone: "a"}})
	apply(2, locks...)
	older := NewKey("older")
	record := map[string]any{"finish": olderFinish{Key: older[:], Holder: "o", Outcome: "done", Status: 200, Body: []byte("older")}}
	apply(3, finish("proven", jvend.Proven), finish("claimed", jvend.Claimed), record)
	restored, err := Restore(DefaultRules(), s.Snapshot())
	require.NoError(t, err)
	for _, state := range []*State{s, restored} {
		for name, ended := range map[string]jvend.End{"proven": jvend.Proven, "claimed": jvend.Claimed, "older": 0} {
			lock, ok := state.RunLock(NewKey(name))
			require.True(t, ok)
			require.Equal(t, name, string(lock.Body))
			require.Equal(t, ended, lock.Ended, name)
		}
	}
	old, err := jvcodec.Decode[struct {
		Finish olderFinish `cbor:"finish"`
	}](jvcodec.Encode(finish("older", jvend.Proven)))
	require.NoError(t, err)
	require.Equal(t, record["finish"], old.Finish)
}
