package jvflight

import (
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

func BenchmarkJoinContended(b *testing.B) {
	timer := jvtimer.NewService()
	defer timer.Close()
	limits := DefaultLimits()
	limits.MaxFlights = 1 << 30
	table := NewTable(limits, timer)
	var serial atomic.Int64
	digest := []byte("digest")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := strconv.FormatInt(serial.Add(1), 10)
			f, _, err := table.Join(key, key, digest)
			if err != nil {
				b.Error(err)
				return
			}
			f.Finish(End{Outcome: "done"}, timer.Now())
			table.Drop(f)
		}
	})
}
