package jvversion

import (
	"strings"
	"testing"
)

// FuzzDecodeRecord guards against records of another writer that end the process, or have long names.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(encodeRecord(Origin{Pool: "p", Version: "v1"}).Value)
	f.Add([]byte(strings.Repeat("\xa1\x61a", 50_000) + "\x00"))
	f.Add([]byte("\xbb\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, value []byte) {
		o, err := decodeRecord(value)
		if err == nil && (o.Pool == "" || len(o.Pool) > maxNameBytes || len(o.Version) > maxNameBytes) {
			t.Fatalf("%q", o)
		}
	})
}
