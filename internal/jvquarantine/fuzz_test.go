package jvquarantine

import (
	"strings"
	"testing"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// FuzzDecodeRecord guards against records of another writer that end the process, or that are kept for longer than
// others.
func FuzzDecodeRecord(f *testing.F) {
	const maxAge = time.Minute
	of := subject{digest: DigestOf([]byte("q"))}
	at := time.Unix(1000, 0)
	valid := encodeRecord(of.keyBase()+"x", of, Crash{Target: "t0", SentAt: at, EndedAt: at})
	f.Add(valid.Key, valid.Value)
	trial := encodeTrial(of.keyBase()+trialPrefix+"1", of, at)
	f.Add(trial.Key, trial.Value)
	f.Add(valid.Key, []byte(strings.Repeat("\xa1\x61a", 50_000)+"\x00"))
	f.Add(partPrefix+valid.Key, []byte("\xbb\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		now := time.Unix(2000, 0)
		d, err := decodeRecord(jvkeyed.Record{Key: key, Value: value}, now, maxAge)
		if err != nil {
			return
		}
		for _, at := range []time.Time{d.trialAt, d.crash.at} {
			if !at.IsZero() && (at.After(now) || now.Sub(at) > maxAge) {
				t.Fatalf("a time of %s at %s", at, now)
			}
		}
	})
}
