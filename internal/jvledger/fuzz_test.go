package jvledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// seeds returns an empty and a malformed entry, a batch with one record of each kind, and for
// each kind a batch of a hello record and one such record.
func seeds() [][]byte {
	key := make([]byte, KeySize)
	records := []jvrecord.Record{
		{Hello: &jvrecord.Hello{VM: "a1", Zone: "a", Witnesses: []string{"x", "y"}, Marks: map[string]int64{"p": 5}}},
		{Publish: &jvrecord.Publish{ID: "1", Items: []jvrecord.Item{{Kind: jvrecord.ItemDrain, Name: "t", Body: []byte(`{"target":"t","reason":"r"}`)}}}},
		{Topup: &jvrecord.Topup{ID: "1", Profile: "p", Tokens: 5, Expiry: 100}},
		{Claim: &jvrecord.Claim{Profile: "p", Need: 1, Want: 2}},
		{Report: &jvrecord.Report{
			Accounts: []jvrecord.Account{{Profile: "p", Spent: 1}},
			Loans:    []jvrecord.Loan{{From: "o", To: "x", Profile: "p", Tokens: 1}},
			Bills:    jvrecord.GroupBills([]jvrecord.Bill{{Origin: "o", Serial: 1, Key: key, Workspace: "w", Profile: "p", Tokens: 1}}),
		}},
		{RunLock: &jvrecord.RunLock{Key: key, Digest: key}},
		{Finish: &jvrecord.Finish{Key: key, Holder: "o", Outcome: jvrecord.OutcomeDone}},
		{Promise: &jvrecord.Promise{Holder: "o"}},
		{Poison: &jvrecord.Poison{Digest: key, Target: "t"}},
		{Clear: &jvrecord.Clear{Digest: key}},
		{Checkpoint: &jvrecord.Checkpoint{}},
		{Leave: &jvrecord.Leave{}},
	}
	list := [][]byte{nil, {0xff}, jvcodec.Encode(&jvrecord.Batch{Origin: "o", Number: 1, Records: records})}
	for _, r := range records {
		list = append(list, jvcodec.Encode(&jvrecord.Batch{Origin: "o", Number: 1, Records: []jvrecord.Record{records[0], r}}))
	}
	return list
}

// FuzzApply checks that no entry makes Apply panic or unbalances a budget, and that the state
// after it survives a snapshot and restore.
func FuzzApply(f *testing.F) {
	for _, s := range seeds() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState(DefaultRules())
		_, _ = s.Apply(Entry{Offset: 0, Time: 1, Data: data})
		_, _ = s.Apply(Entry{Offset: 1, Time: 100_000_000_000, Data: data})
		require.Empty(t, s.UnbalancedProfile())
		restored, err := Restore(DefaultRules(), s.Snapshot())
		require.NoError(t, err)
		require.Equal(t, s.Hash(), restored.Hash())
	})
}

// FuzzRestore checks that no snapshot, however damaged, makes Restore or a later Apply panic.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(nil))
	f.Add(NewState(DefaultRules()).Snapshot())
	s := NewState(DefaultRules())
	for i, data := range seeds() {
		_, _ = s.Apply(Entry{Offset: uint64(i), Time: int64(i), Data: data})
	}
	f.Add(s.Snapshot())
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Restore(DefaultRules(), data)
		if err != nil {
			return
		}
		for _, d := range seeds() {
			_, _ = s.Apply(Entry{Offset: s.NextOffset(), Time: s.Now + 1, Data: d})
		}
	})
}
