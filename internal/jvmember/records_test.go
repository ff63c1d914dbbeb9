package jvmember

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvproperty"
)

// TestRecordsOfEarlierReleases guards against registrations that a router of one release can't read from one of another.
func TestRecordsOfEarlierReleases(t *testing.T) {
	member := Member{Name: "r1", Zone: "a", Address: "10.0.0.1:7000"}
	jvproperty.CheckRecord(t, "member", encodeMember(member, 1_760_000_000_000).Value, func(t *testing.T, data []byte) {
		m, at, err := decodeMember(member.Name, data)
		require.NoError(t, err)
		require.Equal(t, member, m)
		require.Equal(t, int64(1_760_000_000_000), at)
	})
}
