package jvlimit

import (
	"strings"
	"testing"
)

// FuzzDecodeRecord guards against records of another writer that end the process, or name a limit below 0.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(targetPrefix+"t0", encodeLimit("t0", limitRecord{Limit: 2, Born: 5}).Value)
	f.Add(routerPrefix+"r1", encodeMember("r1", 5).Value)
	f.Add(routerPrefix, []byte(strings.Repeat("\x81", 50_000)+"\x00"))
	f.Add("", []byte("\xa1\x65limit\xfb\x7f\xf8\x00\x00\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		if name, prefix := splitKey(key); prefix != "" && prefix+name != key {
			t.Fatalf("%q names %q", key, name)
		}
		if l, err := decodeLimit(value); err == nil && !(l.Limit >= 0) {
			t.Fatalf("a limit of %g", l.Limit)
		}
		_, _ = decodeMember(value)
	})
}
