package jvpressure

import "runtime/metrics"

// Memory returns the bytes of memory that the process has from the system, without those that the runtime has returned.
// Buffers of the system's sockets are not counted.
func Memory() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	for _, s := range samples {
		if s.Value.Kind() != metrics.KindUint64 {
			return 0 // A runtime without this metric.
		}
	}
	return int64(samples[0].Value.Uint64()) - int64(samples[1].Value.Uint64())
}
