package jvquarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
	"github.com/jasminevale/jasminevale/internal/jvproperty"
)

// TestRecordsOfEarlierReleases guards against crashes and trials that a router of one release can't read from one of another.
func TestRecordsOfEarlierReleases(t *testing.T) {
	const maxAge = time.Hour
	now := time.UnixMilli(1_760_000_010_000)
	crash := Crash{Target: "t1", StartedAtMillis: 1_760_000_000_000, SentAt: time.UnixMilli(1_760_000_001_000), EndedAt: time.UnixMilli(1_760_000_002_000), Progress: true}
	request := subject{digest: DigestOf([]byte("request"))}
	part := subject{digest: DigestOf([]byte("part")), part: true, name: "prompt/2"}
	check := func(name string, r jvkeyed.Record, of subject, verify func(t *testing.T, d decodedRecord)) {
		jvproperty.CheckRecord(t, name, r.Value, func(t *testing.T, data []byte) {
			d, err := decodeRecord(jvkeyed.Record{Key: r.Key, Value: data}, now, maxAge)
			require.NoError(t, err)
			require.Equal(t, of, d.subject)
			verify(t, d)
		})
	}
	sameCrash := func(t *testing.T, d decodedRecord) {
		require.Equal(t, []any{crash.Target, crash.StartedAtMillis, crash.SentAt, crash.EndedAt, crash.Progress}, []any{d.crash.Target, d.crash.StartedAtMillis, d.crash.SentAt, d.crash.EndedAt, d.crash.Progress})
		require.True(t, d.trialAt.IsZero())
	}
	check("crash", encodeRecord(request.keyBase()+"1", request, crash), request, sameCrash)
	partCrash := crash
	partCrash.request, partCrash.sound = request.digest, true
	check("part", encodeRecord(part.keyBase()+"1", part, partCrash), part, func(t *testing.T, d decodedRecord) {
		sameCrash(t, d)
		require.Equal(t, request.digest, d.crash.request)
		require.True(t, d.crash.sound)
	})
	check("trial", encodeTrial(part.keyBase()+trialPrefix+"1", part, crash.EndedAt), part, func(t *testing.T, d decodedRecord) {
		require.True(t, d.trialAt.Equal(crash.EndedAt))
	})
}
