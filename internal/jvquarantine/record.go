package jvquarantine

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// crashRecord is the value of a record. Its times are in Unix milliseconds of the router's clock.
type crashRecord struct {
	Target   string `cbor:"target"`
	Born     int64  `cbor:"born,omitempty"`
	Sent     int64  `cbor:"sent"`
	Ended    int64  `cbor:"ended"`
	Progress bool   `cbor:"progress,omitempty"`
}

// keySeparator stands between the digest and the report's own ID in a record's key.
const keySeparator = "/"

func encodeRecord(key string, c Crash) jvkeyed.Record {
	return jvkeyed.Record{Key: key, Value: jvcodec.Encode(crashRecord{
		Target: c.Target, Born: c.StartedAtMillis, Sent: c.SentAt.UnixMilli(), Ended: c.EndedAt.UnixMilli(), Progress: c.Progress,
	})}
}

// decodeRecord decodes a record. Clocks differ between routers, so on this router's steady clock an end
// that lies in the future or more than maxAge ago is moved into that range.
func decodeRecord(r jvkeyed.Record, now time.Time, maxAge time.Duration) (Digest, Crash, error) {
	const op = "decode crash"
	text, _, ok := strings.Cut(r.Key, keySeparator)
	digest, err := hex.DecodeString(text)
	if !ok || err != nil || len(digest) != len(Digest{}) {
		return Digest{}, Crash{}, jvfault.Newf(op, KindMalformed, "the key %q has no digest", r.Key)
	}
	v, err := jvcodec.Decode[crashRecord](r.Value)
	if err != nil {
		return Digest{}, Crash{}, jvfault.New(op, KindMalformed, err)
	}
	if v.Target == "" || v.Sent > v.Ended {
		return Digest{}, Crash{}, jvfault.Newf(op, KindMalformed, "the record has no target or ends before its start")
	}
	age := time.Duration(now.UnixMilli()-v.Ended) * time.Millisecond
	return DigestOf(digest), Crash{
		Target: v.Target, StartedAtMillis: v.Born, SentAt: time.UnixMilli(v.Sent), EndedAt: time.UnixMilli(v.Ended), Progress: v.Progress,
		at: now.Add(-min(max(age, 0), maxAge)),
	}, nil
}
