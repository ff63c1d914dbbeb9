package jvlog

import (
	"fmt"
	"io"
	"sync"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// New returns a logger that writes one JSON object per line, for messages up to a verbosity level.
func New(w io.Writer, level int) logr.Logger {
	var mu sync.Mutex
	return funcr.NewJSON(func(line string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = fmt.Fprintln(w, line)
	}, funcr.Options{LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00", Verbosity: level})
}
