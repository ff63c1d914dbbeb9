package jvlimit

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvproperty"
)

// TestRecordsOfEarlierReleases guards against limits that a router of one release can't read from one of another.
func TestRecordsOfEarlierReleases(t *testing.T) {
	jvproperty.CheckRecord(t, "member", encodeMember("r1", 1_760_000_000_000).Value, func(t *testing.T, data []byte) {
		m, err := decodeMember(data)
		require.NoError(t, err)
		require.Equal(t, memberRecord{At: 1_760_000_000_000}, m)
	})
	limit := limitRecord{Limit: 12.5, Born: 1_760_000_000_000}
	jvproperty.CheckRecord(t, "limit", encodeLimit("t1", limit).Value, func(t *testing.T, data []byte) {
		l, err := decodeLimit(data)
		require.NoError(t, err)
		require.Equal(t, limit, l)
	})
}
