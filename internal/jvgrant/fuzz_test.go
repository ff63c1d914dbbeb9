package jvgrant

import (
	"strings"
	"testing"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// FuzzDecodeRecords guards against records of another writer that end the process.
func FuzzDecodeRecords(f *testing.F) {
	f.Add("r1\nw", Holding{Granted: 5, Returned: 3}.Encode("r1", "w").Value)
	f.Add("r1", Statement{Epoch: 1, BootID: "b", Rows: []Row{{Workspace: "w", Used: 5, BoundRate: 1 << 62}}}.Encode("r1").Value)
	f.Add("r1\nw", []byte("\x82\x1b\x7f\xff\xff\xff\xff\xff\xff\xff\x3b\x7f\xff\xff\xff\xff\xff\xff\xff"))
	f.Add("\n", []byte(strings.Repeat("\x81", 50_000)+"\x00"))
	f.Add("", []byte("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Add("r1", message{Router: "r1", Kind: messageTaken, Held: []heldRow{{Workspace: "w", Granted: 5, Returned: 3}}}.parts()[0])
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		if m, err := decodeGrantMessage(value); err == nil && (len(m.Held) > maxHeldRows || m.Part >= m.Parts) {
			t.Fatalf("%d rows, part %d of %d", len(m.Held), m.Part, m.Parts)
		}
		r := jvkeyed.Record{Key: key, Value: value}
		if router, workspace, h, err := decodeHolding(r); err == nil {
			_ = h.Net()
			if len(router)+len(workspace) > len(key) {
				t.Fatalf("%q names %q and %q", key, router, workspace)
			}
		}
		s, err := decodeStatement(r)
		if err != nil {
			return
		}
		if len(s.Rows) > len(value) {
			t.Fatalf("%d rows of %d bytes", len(s.Rows), len(value))
		}
		for _, row := range s.Rows {
			_, _ = s.SpendingBound(row.Workspace, time.Hour)
		}
	})
}
