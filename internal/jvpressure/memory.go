package jvpressure

import (
	"os"
	"runtime/metrics"
	"strconv"
	"strings"
)

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

// MachineMemory returns the bytes of memory that the system gives to the process: those of the machine, or of the process's
// control group if it has fewer. It returns 0 if neither is known.
func MachineMemory() int64 {
	const unitKB = 1 << 10
	bytes := int64(0)
	info, _ := os.ReadFile("/proc/meminfo")
	if _, rest, ok := strings.Cut(string(info), "MemTotal:"); ok {
		if fields := strings.Fields(rest); len(fields) > 0 {
			kb, _ := strconv.ParseInt(fields[0], 10, 64)
			bytes = kb * unitKB
		}
	}
	for _, file := range []string{"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"} {
		text, _ := os.ReadFile(file)
		if limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && limit > 0 { // Otherwise there is no limit.
			bytes = smaller(bytes, limit)
		}
	}
	return bytes
}
