package jvledger

import (
	"fmt"
	"testing"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// benchRecords is the number of records in one batch of a benchmark.
const benchRecords = 100

// benchState returns a state with budgets and one joined origin.
func benchState(b *testing.B, budgets int) *State {
	b.Helper()
	s := NewState(DefaultRules())
	var records []jvrecord.Record
	for n := range budgets {
		name := fmt.Sprint("p", n)
		body := fmt.Sprintf(`{"name":%q,"workspace":"w","pool":"e","work":"quick","model":"m","output":10,"deadline":1000,"priority":1,"attempts":2,"ahead":40}`, name)
		records = append(records,
			jvrecord.Record{Publish: &jvrecord.Publish{ID: name, Items: []jvrecord.Item{{Kind: jvrecord.ItemProfile, Name: name, Body: []byte(body)}}}},
			jvrecord.Record{Topup: &jvrecord.Topup{ID: name, Profile: name, Tokens: 1 << 40, Expiry: 1000}})
	}
	records = append(records, jvrecord.Record{Hello: &jvrecord.Hello{VM: "a1", Zone: "a"}})
	if _, err := s.Apply(Entry{Time: 1, Data: jvcodec.Encode(&jvrecord.Batch{Origin: "o", Number: 1, Records: records})}); err != nil {
		b.Fatal(err)
	}
	return s
}

// benchmarkApply applies batches of benchRecords records and reports records per second;
// newRecord returns the n-th record.
func benchmarkApply(b *testing.B, s *State, newRecord func(n int) jvrecord.Record) {
	b.Helper()
	number := uint64(1)
	serial := 0
	for b.Loop() {
		b.StopTimer()
		number++
		batch := jvrecord.Batch{Origin: "o", Number: number}
		for range benchRecords {
			serial++
			batch.Records = append(batch.Records, newRecord(serial))
		}
		data := jvcodec.Encode(&batch)
		b.StartTimer()
		if _, err := s.Apply(Entry{Offset: s.NextOffset(), Time: 1, Data: data}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N*benchRecords)/b.Elapsed().Seconds(), "records/s")
}

func BenchmarkApplyClaims(b *testing.B) {
	benchmarkApply(b, benchState(b, 100), func(n int) jvrecord.Record {
		return jvrecord.Record{Claim: &jvrecord.Claim{Profile: fmt.Sprint("p", n%100), Need: 1, Want: 1}}
	})
}

func BenchmarkApplyReports(b *testing.B) {
	s := benchState(b, 100)
	benchmarkApply(b, s, func(n int) jvrecord.Record {
		return jvrecord.Record{Report: &jvrecord.Report{Accounts: []jvrecord.Account{{Profile: fmt.Sprint("p", n%100), Spent: int64(n)}}}}
	})
}

func BenchmarkApplyRunLocks(b *testing.B) {
	rules := DefaultRules()
	rules.MaxRunLocks = 1 << 40
	s := benchState(b, 1)
	s.rules = rules
	benchmarkApply(b, s, func(n int) jvrecord.Record {
		k := NewKey(fmt.Sprint(n))
		return jvrecord.Record{RunLock: &jvrecord.RunLock{Key: k[:], Digest: k[:], RequestID: "r"}}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	for _, budgets := range []int{100, 1000, 10000} {
		s := benchState(b, budgets)
		b.Run(fmt.Sprint(budgets, "budgets"), func(b *testing.B) {
			size := 0
			for b.Loop() {
				size = len(s.Snapshot())
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
