package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	must(err)
	return &record{file: f, startedAt: time.Now()}
}

// add writes a line with the time since the start.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, values...))
	must(err)
}
