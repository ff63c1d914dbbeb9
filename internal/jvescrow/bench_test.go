package jvescrow

import "testing"

func BenchmarkReserveSettle(b *testing.B) {
	e := NewEscrow()
	e.RaiseGranted("p", 1<<60, 0)
	b.ReportAllocs()
	for b.Loop() {
		r, err := e.Reserve("p", 100)
		if err != nil {
			b.Fatal(err)
		}
		e.Settle(r, 40)
	}
}

func BenchmarkReserveSettleContended(b *testing.B) {
	e := NewEscrow()
	e.RaiseGranted("p", 1<<60, 0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, err := e.Reserve("p", 100)
			if err != nil {
				b.Error(err)
				return
			}
			e.Settle(r, 40)
		}
	})
}
